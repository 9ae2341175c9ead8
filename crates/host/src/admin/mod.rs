//! The operators' HTTP API: authenticates each call, executes it and logs it with its operator.

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

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 8 << 20;
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A running listener.
pub struct Listener {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    handle: xitca_server::ServerHandle,
    terminated: oneshot::Receiver<()>,
}

/// State of the application's handlers.
#[derive(Clone)]
struct State {
    host: Arc<Host>,
    runtime: Handle,
}

type Context<'a> = WebContext<'a, State>;

/// Why a call failed; its text is the `detail` of the response.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The call carries no valid operator key.
    #[display("no operator holds the key")]
    Unauthorized,
    /// The body cannot be read or does not parse.
    #[display("{_0}")]
    #[from(ignore)]
    Malformed(#[error(not(source))] String),
    /// The plan, key or client account does not exist.
    #[display("not found")]
    NotFound,
    /// The fleet already has a configuration, so a first one cannot be published.
    #[display("there is a configuration already")]
    Exists,
    /// The configuration has changed since the plan was proposed; lists the differences.
    #[display("stale")]
    #[from(ignore)]
    Stale(#[error(not(source))] Vec<String>),
    /// The plan is already confirmed.
    #[display("confirmed")]
    Confirmed,
    /// No plan can be made for the intent.
    #[from]
    Plan(core_plan::Fault),
    /// The change to the configuration was not accepted, or its outcome is unknown.
    #[from]
    Change(change::Fault),
    /// A call to the platform failed.
    #[from]
    Host(crate::Error),
}

type CallResult = std::result::Result<(StatusCode, Value), Fault>;

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
    let (sender, terminated) = oneshot::channel::<()>();
    // The server owns a runtime, which must not be dropped inside another runtime.
    let wait = move || {
        if let Err(error) = server.wait() {
            log::error!("operators' listener failed: {error}");
        }
        drop(sender);
    };
    std::thread::Builder::new().name("operators".to_owned()).spawn(wait)?;
    Ok(Listener { address, handle, terminated })
}

impl Listener {
    /// Stops the listener. Calls in progress still run to their end, on the host's runtime.
    pub async fn stop(mut self) {
        self.handle.stop(false);
        drop((&mut self.terminated).await);
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
    serve(ctx, "show configuration", |call| async move { ok(config::redacted(&call.host)) }).await
}

async fn put_config(ctx: &Context<'_>) -> WebResponse {
    serve(ctx, "put configuration", config::create).await
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
    /// Parses the body as JSON.
    fn parse<T: serde::de::DeserializeOwned>(&self) -> std::result::Result<T, Fault> {
        serde_json::from_slice(&self.body).map_err(|error| Fault::Malformed(error.to_string()))
    }
}

fn ok(value: Value) -> CallResult {
    Ok((StatusCode::OK, value))
}

/// Authenticates a call, runs `work` on the host's runtime, logs the call and responds.
///
/// The work is a task of its own, so it completes even if the operator disconnects.
async fn serve<F, Fut>(ctx: &Context<'_>, action: &str, work: F) -> WebResponse
where
    F: FnOnce(Call) -> Fut + Send + 'static,
    Fut: Future<Output = CallResult> + Send + 'static,
{
    let State { host, runtime } = ctx.state();
    let (operator, answer) = match authenticate(ctx, host).await {
        Ok(call) => {
            let operator = call.operator.clone();
            let result = runtime.spawn(work(call)).await;
            let task_failed =
                |error| Err(Fault::Malformed(format!("the call failed inside: {error}")));
            (operator, result.unwrap_or_else(task_failed))
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

async fn authenticate(ctx: &Context<'_>, host: &Arc<Host>) -> std::result::Result<Call, Fault> {
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
            // Put the rest back: the connection closes if the body is left unread.
            *ctx.body_borrow_mut() = body;
            return Err(Fault::Malformed(format!("body over {MAX_BODY_BYTES} bytes")));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
