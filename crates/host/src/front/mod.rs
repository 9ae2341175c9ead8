//! The callers' listener.

pub mod body;
pub mod problem;
pub mod request;

use crate::error::Result;
use crate::exec::{self, Answer};
use crate::shared::Host;
use bergamotvale_core::refusal::{Reason, Refusal};
use request::Request;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use xitca_web::handler::handler_service;
use xitca_web::handler::params::Params;
use xitca_web::http::WebResponse;
use xitca_web::route::post;
use xitca_web::{App, HttpServer, WebContext};

/// A running listener.
pub struct Listener {
    /// Where it listens.
    pub address: SocketAddr,
    handle: xitca_server::ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

/// State of the application's handlers.
type State = Arc<Host>;
type Context<'a> = WebContext<'a, State>;

/// Starts serving callers on `listener`.
pub fn start(host: Arc<Host>, listener: TcpListener) -> Result<Listener> {
    let address = listener.local_addr()?;
    let settings = &host.settings;
    let app = App::new()
        .with_state(host.clone())
        .at("/v1/services/{service}/read", post(handler_service(read)))
        .at("/v1/services/{service}/write", post(handler_service(write)))
        .finish();
    let mut server = HttpServer::serve(app)
        .disable_signal()
        .worker_threads(settings.workers)
        .keep_alive_timeout(settings.limits.idle)
        .request_head_timeout(settings.limits.header_time)
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    let task = tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("callers' listener ended: {error}");
        }
    });
    Ok(Listener { address, handle, task })
}

impl Listener {
    /// Stops the listener after what runs has finished.
    pub async fn stop(self) {
        self.handle.stop(true);
        drop(self.task.await);
    }
}

async fn read(ctx: &Context<'_>, Params(service): Params<String>) -> WebResponse {
    respond(ctx, service, |host, r| async move {
        exec::read::run(&host, r.account, r.service, &r.statement, r.token, r.deadline).await
    })
    .await
}

async fn write(ctx: &Context<'_>, Params(service): Params<String>) -> WebResponse {
    respond(ctx, service, |host, r| async move {
        exec::write::run(&host, r.account, r.service, &r.statement, r.token, r.deadline).await
    })
    .await
}

async fn respond<F, Fut>(ctx: &Context<'_>, service: String, run: F) -> WebResponse
where
    F: FnOnce(Arc<Host>, Request) -> Fut,
    Fut: Future<Output = std::result::Result<Answer, Refusal>>,
{
    let host = ctx.state().clone();
    let answer = match admit(ctx, &host, &service).await {
        Ok(request) => run(host.clone(), request).await,
        Err(refusal) => Err(refusal),
    };
    match answer {
        Ok(answer) => body::response(&answer),
        Err(refusal) => {
            host.metric.refusal(refusal.reason);
            problem::response(&refusal)
        }
    }
}

async fn admit(
    ctx: &Context<'_>,
    host: &Host,
    service: &str,
) -> std::result::Result<Request, Refusal> {
    if host.is_stopping() {
        return Err(Refusal::new(Reason::Stopping, "this host is stopping"));
    }
    request::parse(ctx, host, service).await
}
