//! Runs an HTTP server on a listener, over TLS if it has a certificate.
//!
//! The framework's server supports TLS only when it binds the address itself, which excludes a
//! listener that watches its connections. This module therefore assembles the server from the
//! framework's parts.

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

/// Threads and timeouts of a server.
pub struct Bounds {
    /// Number of threads that serve.
    pub workers: usize,
    /// Time that a connection may be idle before it is closed.
    pub idle: Duration,
    /// Timeout of a TLS handshake, and of reading a request's head.
    pub header_time: Duration,
}

impl Bounds {
    /// Bounds of a server with `workers` threads and the timeouts in `limits`.
    pub fn new(workers: usize, limits: &Limits) -> Bounds {
        Bounds { workers, idle: limits.idle, header_time: limits.header_time }
    }
}

/// Serves `app` on `listener`; `on_error` is called with the caller's address for each TLS
/// connection that ends with an error.
pub fn run<S, L, B, F>(
    app: S,
    listener: L,
    (tls, on_error): (Option<Arc<ServerConfig>>, F),
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
            let https = app.enclosed(http.rustls(tls)).enclosed(ReportErrors(on_error));
            builder.listen("https", listener, https)
        }
        None => builder.listen("http", listener, app.enclosed(http)),
    };
    builder.build()
}

/// Reports connections that end with an error.
///
/// After a failed handshake the framework only drops its socket, which does not close the
/// connection while a second handle to the socket is open.
struct ReportErrors<F>(F);

/// [`ReportErrors`] around the service of one thread.
struct Reporting<S, F> {
    service: S,
    on_error: F,
}

impl<S, E, F: Clone> Service<Result<S, E>> for ReportErrors<F> {
    type Response = Reporting<S, F>;
    type Error = E;

    async fn call(&self, service: Result<S, E>) -> Result<Reporting<S, F>, E> {
        service.map(|service| Reporting { service, on_error: self.0.clone() })
    }
}

impl<S, F> Service<Stream> for Reporting<S, F>
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
        let result = self.service.call(stream).await;
        if let (Err(_), Some(address)) = (&result, address) {
            (self.on_error)(address);
        }
        result
    }
}

impl<S: ReadyService, F> ReadyService for Reporting<S, F> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.service.ready().await
    }
}
