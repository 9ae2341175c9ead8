//! The callers' listener.
//!
//! Handlers read the request, the work itself runs on the host's runtime. It ends with the
//! request: when the caller goes away, whatever still runs for it is dropped, its connection to
//! the target closed and its statement cancelled.

pub mod body;
pub mod gone;
pub mod problem;
pub mod request;
mod route;
pub mod serve;
pub mod stream;
pub mod unrouted;

use crate::error::Result;
use crate::shared::Host;
use bergamotvale_core::refusal::{Reason, Refusal};
use gone::{Callers, Watched};
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

/// Time between two looks for idle connections while the listener stops.
const IDLE_SWEEP: Duration = Duration::from_millis(25);
/// Time without a request after which a connection counts as idle while the listener stops.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(500);

/// A running listener.
pub struct Listener {
    /// Where it listens.
    pub address: SocketAddr,
    callers: Callers,
    handle: xitca_server::ServerHandle,
    ended: oneshot::Receiver<()>,
}

/// State of the application's handlers.
#[derive(Clone)]
pub struct State {
    /// The host.
    pub host: Arc<Host>,
    callers: Callers,
    runtime: Handle,
}

type Context<'a> = WebContext<'a, State>;

/// Starts serving callers on `listener`.
pub fn start(host: Arc<Host>, listener: TcpListener) -> Result<Listener> {
    let address = listener.local_addr()?;
    let settings = &host.settings;
    let tls = settings.tls.for_callers()?;
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
        .enclosed_fn(unrouted::settle)
        .finish();
    let bounds = serve::Bounds::new(settings.workers, &settings.limits);
    let failed = callers.clone();
    let tls = (tls, move |address| failed.cut(address));
    let mut server = serve::run(app, Watched::new(listener, callers.clone()), tls, &bounds);
    let handle = server.handle()?;
    let (sender, ended) = oneshot::channel::<()>();
    // The server brings a runtime of its own, which may only be dropped on a plain thread.
    let wait = move || {
        if let Err(error) = server.wait() {
            log::error!("callers' listener ended: {error}");
        }
        drop(sender);
    };
    std::thread::Builder::new().name("callers".to_owned()).spawn(wait)?;
    Ok(Listener { address, callers, handle, ended })
}

impl Listener {
    /// Requests under way.
    pub fn requests_in_flight(&self) -> u32 {
        self.callers.requests_in_flight()
    }

    /// Stops the listener after what runs has finished, or cuts it after `limit`.
    ///
    /// Callers that are busy hear of it by `connection: close`; connections that stay idle are
    /// closed, so that they hold nothing up.
    pub async fn stop(mut self, limit: Duration) {
        self.handle.stop(true);
        let mut ticks = tokio::time::interval(IDLE_SWEEP);
        let end = tokio::time::sleep(limit);
        tokio::pin!(end);
        loop {
            tokio::select! {
                _ = &mut self.ended => return,
                () = &mut end => return,
                _ = ticks.tick() => self.callers.close_idle(IDLE_BEFORE_CLOSE),
            }
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.handle.stop(false);
        self.callers.cut_all();
    }
}

/// Work that ends when it is no longer waited for.
struct Work<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for Work<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs `work` on the host's runtime until it is done or the caller is gone.
async fn attend<T: Send + 'static>(
    ctx: &Context<'_>,
    work: impl Future<Output = std::result::Result<T, Refusal>> + Send + 'static,
) -> std::result::Result<T, Refusal> {
    let state = ctx.state();
    let address = *ctx.req().body().socket_addr();
    let _request = state.callers.request(address);
    let mut work = Work(state.runtime.spawn(work));
    let done = tokio::select! {
        done = &mut work.0 => done,
        () = state.callers.gone(address) => {
            state.host.metric.count("caller.gone");
            return Err(Refusal::new(Reason::DeadlineExceeded, "the caller is gone"));
        }
    };
    done.unwrap_or_else(|error| {
        log::error!("a request failed inside: {error}");
        let refusal = Refusal::new(Reason::ConnectionLost, "internal fault");
        Err(refusal.with_ran(bergamotvale_core::refusal::Ran::Unknown))
    })
}

/// The answer to a request, or its refusal; a host that stops closes the connection after it.
fn respond(ctx: &Context<'_>, answer: std::result::Result<WebResponse, Refusal>) -> WebResponse {
    let host = &ctx.state().host;
    let mut response = answer.unwrap_or_else(|refusal| {
        host.metric.count_refusal(refusal.reason);
        problem::response(&refusal)
    });
    if host.is_stopping() || *host.leaving.borrow() {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    response
}
