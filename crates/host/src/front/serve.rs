//! An HTTP server on a listener, over TLS where there is a certificate.
//!
//! The framework's own server takes TLS only together with an address to bind, which leaves no
//! place for a listener that watches its connections; so its parts are put together here.

use crate::settings::Limits;
use rustls::ServerConfig;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xitca_http::HttpServiceBuilder;
use xitca_http::body::{Body, RequestBody};
use xitca_http::bytes::Bytes;
use xitca_http::config::HttpServiceConfig;
use xitca_http::http::{Request, RequestExt, Response};
use xitca_io::net::Stream;
use xitca_server::net::IntoListener;
use xitca_server::{Builder, ServerFuture};
use xitca_web::service::ready::ReadyService;
use xitca_web::service::{Service, ServiceExt};

/// What bounds a server.
pub struct Bounds {
    /// Threads that serve.
    pub workers: usize,
    /// Time that a connection may be idle.
    pub idle: Duration,
    /// Time for a handshake, and for a request's head.
    pub header_time: Duration,
}

impl Bounds {
    /// The bounds of a listener with so many threads.
    pub fn new(workers: usize, limits: &Limits) -> Bounds {
        Bounds { workers, idle: limits.idle, header_time: limits.header_time }
    }
}

/// Serves `app` on `listener`; `failed` hears of each TLS connection that ended with an error.
pub fn run<S, L, B, F>(
    app: S,
    listener: L,
    (tls, failed): (Option<Arc<ServerConfig>>, F),
    bounds: &Bounds,
) -> ServerFuture
where
    S: Service + Send + Sync + 'static,
    S::Response: ReadyService + Service<Request<RequestExt<RequestBody>>, Response = Response<B>>,
    S::Response: 'static,
    S::Error: Debug + 'static,
    <S::Response as Service<Request<RequestExt<RequestBody>>>>::Error: Debug,
    B: Body<Data = Bytes> + 'static,
    B::Error: Debug + 'static,
    L: IntoListener + 'static,
    F: Fn(SocketAddr) + Clone + Send + Sync + 'static,
{
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(bounds.idle)
        .request_head_timeout(bounds.header_time)
        .tls_accept_timeout(bounds.header_time);
    let http = HttpServiceBuilder::with_config(config);
    let builder = Builder::new().disable_signal().worker_threads(bounds.workers);
    let builder = match tls {
        Some(tls) => {
            let https = app.enclosed(http.rustls(tls)).enclosed(Watch(failed));
            builder.listen("https", listener, https)
        }
        None => builder.listen("http", listener, app.enclosed(http)),
    };
    builder.build()
}

/// Tells how connections end: after a failed handshake the framework just drops its socket.
struct Watch<F>(F);

/// The same around the service of one thread.
struct Watched<S, F> {
    service: S,
    failed: F,
}

impl<S, E, F: Clone> Service<Result<S, E>> for Watch<F> {
    type Response = Watched<S, F>;
    type Error = E;

    async fn call(&self, service: Result<S, E>) -> Result<Watched<S, F>, E> {
        service.map(|service| Watched { service, failed: self.0.clone() })
    }
}

impl<S, F> Service<Stream> for Watched<S, F>
where
    S: Service<Stream>,
    F: Fn(SocketAddr),
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, stream: Stream) -> Result<S::Response, S::Error> {
        let address = match &stream {
            Stream::Tcp(_, address) => Some(*address),
            _ => None,
        };
        let ended = self.service.call(stream).await;
        if let (Err(_), Some(address)) = (&ended, address) {
            (self.failed)(address);
        }
        ended
    }
}

impl<S: ReadyService, F> ReadyService for Watched<S, F> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.service.ready().await
    }
}
