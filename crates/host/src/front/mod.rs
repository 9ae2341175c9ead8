//! The callers' HTTP listener.
//!
//! Handlers parse the request; its work runs as a task on the host's runtime. When the caller
//! disconnects, the task is aborted: its connection to the target is closed and its statement
//! cancelled.

pub mod body;
pub mod connection;
pub mod problem;
pub mod request;
mod route;
pub mod serve;
pub mod stream;
pub mod unrouted;

use crate::error::Result;
use crate::shared::Host;
use bergamotvale_core::refusal::{Reason, Refusal};
use connection::{Callers, WatchedListener};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use unrouted::CLOSE;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONNECTION;
use xitca_web::route::{get, post};
use xitca_web::{App, WebContext};

/// Interval at which a stopping listener closes idle connections.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a request after which a stopping listener closes a connection.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(500);

/// A running listener.
pub struct Listener {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    callers: Callers,
    handle: xitca_server::ServerHandle,
    terminated: oneshot::Receiver<()>,
}

/// State of the application's handlers.
#[derive(Clone)]
pub struct State {
    /// The host that serves.
    pub host: Arc<Host>,
    callers: Callers,
    runtime: Handle,
}

type Context<'a> = WebContext<'a, State>;

/// Starts serving callers on `listener`.
pub fn start(host: Arc<Host>, listener: TcpListener) -> Result<Listener> {
    let address = listener.local_addr()?;
    let settings = &host.settings;
    let tls = settings.tls.callers_config()?;
    let runtime = Handle::current();
    let callers = Callers::new(runtime.clone());
    let state = State { host: host.clone(), callers: callers.clone(), runtime };
    let app = App::new()
        .with_state(state)
        .at("/v1/services/{service}/read", post(handler_service(route::read)))
        .at("/v1/services/{service}/write", post(handler_service(route::write)))
        .at("/v1/services/{service}/transactions", post(handler_service(route::begin)))
        .at("/v1/transactions/{id}/run", post(handler_service(route::run)))
        .at("/v1/transactions/{id}/commit", post(handler_service(route::commit)))
        .at("/v1/transactions/{id}/rollback", post(handler_service(route::rollback)))
        .at("/v1/open/{route}", get(handler_service(route::open)))
        .enclosed_fn(unrouted::respond)
        .finish();
    let bounds = serve::Bounds::new(settings.workers, &settings.limits);
    let aborting_callers = callers.clone();
    let tls = (tls, move |address| aborting_callers.abort(address));
    let mut server = serve::run(app, WatchedListener::new(listener, callers.clone()), tls, &bounds);
    let handle = server.handle()?;
    let (sender, terminated) = oneshot::channel::<()>();
    // The server owns a runtime, which must not be dropped inside another runtime.
    let wait = move || {
        if let Err(error) = server.wait() {
            log::error!("callers' listener failed: {error}");
        }
        drop(sender);
    };
    std::thread::Builder::new().name("callers".to_owned()).spawn(wait)?;
    Ok(Listener { address, callers, handle, terminated })
}

impl Listener {
    /// Number of requests in flight.
    pub fn requests_in_flight(&self) -> u32 {
        self.callers.requests_in_flight()
    }

    /// Stops the listener once the requests in flight are done, or aborts them after `timeout`.
    ///
    /// Responses carry `connection: close`; idle connections are closed, so that they do not delay
    /// the stop.
    pub async fn stop(mut self, timeout: Duration) {
        self.handle.stop(true);
        let mut ticks = tokio::time::interval(IDLE_POLL_INTERVAL);
        let deadline = tokio::time::sleep(timeout);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                _ = &mut self.terminated => return,
                () = &mut deadline => return,
                _ = ticks.tick() => self.callers.close_idle(IDLE_BEFORE_CLOSE),
            }
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.handle.stop(false);
        self.callers.abort_all();
    }
}

/// A task that is aborted when this handle is dropped.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs `work` on the host's runtime and aborts it if the caller disconnects.
async fn run_while_connected<T: Send + 'static>(
    ctx: &Context<'_>,
    work: impl Future<Output = std::result::Result<T, Refusal>> + Send + 'static,
) -> std::result::Result<T, Refusal> {
    let state = ctx.state();
    let address = *ctx.req().body().socket_addr();
    let _request = state.callers.start_request(address);
    let mut task = AbortOnDrop(state.runtime.spawn(work));
    let result = tokio::select! {
        result = &mut task.0 => result,
        () = state.callers.wait_disconnected(address) => {
            state.host.metric.count("caller.gone");
            return Err(Refusal::new(Reason::DeadlineExceeded, "the caller is gone"));
        }
    };
    result.unwrap_or_else(|error| {
        log::error!("the task of a request failed: {error}; the outcome is unknown");
        let refusal = Refusal::new(Reason::ConnectionLost, "internal fault");
        Err(refusal.with_ran(bergamotvale_core::refusal::Ran::Unknown))
    })
}

/// The response to a request, or the problem document of its refusal.
///
/// A host that is stopping or leaving closes the connection after the response.
fn respond(ctx: &Context<'_>, result: std::result::Result<WebResponse, Refusal>) -> WebResponse {
    let host = &ctx.state().host;
    let mut response = result.unwrap_or_else(|refusal| {
        host.metric.count_refusal(refusal.reason);
        problem::response(&refusal)
    });
    if host.is_stopping() || *host.leaving.borrow() {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    response
}
