//! The operators' listener: every call is authenticated, carried out, and logged with its operator.

pub mod access;
pub mod audit;
pub mod config;
pub mod plan;
pub mod runner;
pub mod status;

use crate::error::Result;
use crate::fleet::change;
use crate::front::{serve, unrouted};
use crate::shared::Host;
use bergamotvale_core::plan as core_plan;
use derive_more::{Display, Error, From};
use serde_json::{Value, json};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use xitca_web::body::BodyExt;
use xitca_web::handler::handler_service;
use xitca_web::handler::params::Params;
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post, put};
use xitca_web::{App, WebContext};

/// Bytes of a request's body.
const MAX_BODY_BYTES: usize = 8 << 20;
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A running listener.
pub struct Listener {
    /// Where it listens.
    pub address: SocketAddr,
    handle: xitca_server::ServerHandle,
    ended: oneshot::Receiver<()>,
}

/// State of the application's handlers.
#[derive(Clone)]
struct State {
    host: Arc<Host>,
    runtime: Handle,
}

type Context<'a> = WebContext<'a, State>;

/// A call that was not carried out, or not to its end.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// No operator's key.
    #[display("no operator holds the key")]
    Unauthorized,
    /// The body cannot be read, or makes no sense.
    #[display("{_0}")]
    #[from(ignore)]
    Malformed(#[error(not(source))] String),
    /// No such thing.
    #[display("not found")]
    NotFound,
    /// There is a configuration already.
    #[display("there is a configuration already")]
    Exists,
    /// The plan's version has passed.
    #[display("stale")]
    #[from(ignore)]
    Stale(#[error(not(source))] Vec<String>),
    /// The plan was confirmed before.
    #[display("confirmed")]
    Confirmed,
    /// There is no plan for the intent.
    #[from]
    Plan(core_plan::Fault),
    /// The change was not accepted.
    #[from]
    Change(change::Fault),
    /// The platform failed.
    #[from]
    Host(crate::Error),
}

type Answer = std::result::Result<(StatusCode, Value), Fault>;

impl Fault {
    fn status(&self) -> StatusCode {
        match self {
            Fault::Unauthorized => StatusCode::UNAUTHORIZED,
            Fault::Malformed(_) | Fault::Change(change::Fault::Config(_)) => {
                StatusCode::BAD_REQUEST
            }
            Fault::NotFound => StatusCode::NOT_FOUND,
            Fault::Exists | Fault::Stale(_) | Fault::Confirmed => StatusCode::CONFLICT,
            Fault::Plan(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Fault::Change(change::Fault::Unknown) => StatusCode::GATEWAY_TIMEOUT,
            Fault::Change(_) | Fault::Host(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn reason(&self) -> &'static str {
        match self {
            Fault::Unauthorized => "unauthorized",
            Fault::Malformed(_) | Fault::Change(change::Fault::Config(_)) => "malformed",
            Fault::NotFound => "not_found",
            Fault::Exists => "exists",
            Fault::Stale(_) => "stale",
            Fault::Confirmed => "confirmed",
            Fault::Plan(_) => "impossible",
            Fault::Change(change::Fault::Unknown) => "unknown",
            Fault::Change(change::Fault::Overtaken) => "overtaken",
            Fault::Change(_) | Fault::Host(_) => "unavailable",
        }
    }

    fn body(&self) -> Value {
        let mut body = json!({ "reason": self.reason(), "detail": self.to_string() });
        if let Fault::Stale(changed) = self {
            body["changed"] = json!(changed);
        }
        body
    }
}

/// Starts serving operators on `listener`.
pub fn start(host: Arc<Host>, listener: TcpListener) -> Result<Listener> {
    let address = listener.local_addr()?;
    let bounds = serve::Bounds::new(1, &host.settings.limits);
    let tls = host.settings.tls.operators_config()?;
    let state = State { host, runtime: Handle::current() };
    let app = App::new()
        .with_state(state)
        .at("/v1/status", get(handler_service(get_status)))
        .at("/v1/metrics", get(handler_service(get_metrics)))
        .at("/v1/log-level", put(handler_service(put_log_level)))
        .at("/v1/config", get(handler_service(get_config)).put(handler_service(put_config)))
        .at("/v1/keys", post(handler_service(post_key)))
        .at("/v1/keys/{id}/withdraw", post(handler_service(post_withdraw)))
        .at("/v1/plans", get(handler_service(get_plans)).post(handler_service(post_plan)))
        .at("/v1/plans/{id}", get(handler_service(get_plan)))
        .at("/v1/plans/{id}/confirm", post(handler_service(post_confirm)))
        .at("/v1/audit", get(handler_service(get_audit)))
        .enclosed_fn(unrouted::respond)
        .finish();
    let mut server = serve::run(app, listener, (tls, |_| ()), &bounds);
    let handle = server.handle()?;
    let (sender, ended) = oneshot::channel::<()>();
    // The server brings a runtime of its own, which may only be dropped on a plain thread.
    let wait = move || {
        if let Err(error) = server.wait() {
            log::error!("operators' listener ended: {error}");
        }
        drop(sender);
    };
    std::thread::Builder::new().name("operators".to_owned()).spawn(wait)?;
    Ok(Listener { address, handle, ended })
}

impl Listener {
    /// Stops the listener; what an operator's call began is carried out all the same.
    pub async fn stop(mut self) {
        self.handle.stop(false);
        drop((&mut self.ended).await);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.handle.stop(false);
    }
}

async fn get_status(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "status", |call| async move { ok(status::status(&call.host)) }).await
}

async fn get_metrics(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "metrics", |call| async move { ok(status::metrics(&call.host)) }).await
}

async fn put_log_level(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "set log level", config::set_log_level).await
}

async fn get_config(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "show configuration", |call| async move { ok(config::shown(&call.host)) }).await
}

async fn put_config(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "put configuration", config::found).await
}

async fn post_key(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "issue key", config::issue_key).await
}

async fn post_withdraw(ctx: &Context<'_>, Params(id): Params<u64>) -> WebResponse {
    let action = format!("withdraw key {id}");
    serve(ctx, &action, move |call| config::withdraw_key(call, id)).await
}

async fn get_plans(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "list plans", plan::list).await
}

async fn post_plan(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "propose", plan::propose).await
}

async fn get_plan(ctx: &Context<'_>, Params(id): Params<u64>) -> WebResponse {
    serve(ctx, "show plan", move |call| plan::show(call, id)).await
}

async fn post_confirm(ctx: &Context<'_>, Params(id): Params<u64>) -> WebResponse {
    let action = format!("confirm plan {id}");
    serve(ctx, &action, move |call| plan::confirm(call, id)).await
}

async fn get_audit(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "show audit trail", audit::list).await
}

/// An authenticated call.
struct Call {
    host: Arc<Host>,
    operator: String,
    body: Vec<u8>,
}

impl Call {
    /// The body as JSON of a known form.
    fn parse<T: serde::de::DeserializeOwned>(&self) -> std::result::Result<T, Fault> {
        serde_json::from_slice(&self.body).map_err(|error| Fault::Malformed(error.to_string()))
    }
}

fn ok(value: Value) -> Answer {
    Ok((StatusCode::OK, value))
}

/// Authenticates a call, runs it on the host's runtime, logs it and answers.
async fn serve<F, Fut>(ctx: &Context<'_>, action: &str, work: F) -> WebResponse
where
    F: FnOnce(Call) -> Fut + Send + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let State { host, runtime } = ctx.state();
    let (operator, answer) = match admit(ctx, host).await {
        Ok(call) => {
            let operator = call.operator.clone();
            let work = runtime.spawn(work(call)).await;
            let failed = |error| Err(Fault::Malformed(format!("the call failed inside: {error}")));
            (operator, work.unwrap_or_else(failed))
        }
        Err(fault) => ("nobody".to_owned(), Err(fault)),
    };
    let (status, body) = match &answer {
        Ok((status, body)) => (*status, body.clone()),
        Err(fault) => (fault.status(), fault.body()),
    };
    host.metric.count(&format!("operator.{}", status.as_u16()));
    log::info!("operator {operator}: {action}: {status}");
    let mut response = WebResponse::new(body.to_string().into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

async fn admit(ctx: &Context<'_>, host: &Arc<Host>) -> std::result::Result<Call, Fault> {
    let operator = access::identify(&host.settings.operators, ctx.req().headers())?;
    let body = read_body(ctx).await?;
    Ok(Call { host: host.clone(), operator, body })
}

async fn read_body(ctx: &Context<'_>) -> std::result::Result<Vec<u8>, Fault> {
    let mut body = std::mem::take(&mut *ctx.body_borrow_mut());
    let mut bytes = Vec::new();
    while let Some(chunk) = Pin::new(&mut body).data().await {
        let chunk = chunk.map_err(|_| Fault::Malformed("the body cannot be read".to_owned()))?;
        if bytes.len() + chunk.len() > MAX_BODY_BYTES {
            // What is left of it is seen to be unread.
            *ctx.body_borrow_mut() = body;
            return Err(Fault::Malformed(format!("body over {MAX_BODY_BYTES} bytes")));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
