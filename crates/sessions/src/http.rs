//! HTTP server for the balancer's readiness checks, metrics and the host's status.

use crate::event::Event;
use crate::state::Host;
use crate::{maintenance, status};
use bergamotvale_platform::ready;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Connections that one listener serves at a time.
const MAX_CONNECTIONS: usize = 16;
/// Time in which the head of a request has to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer for the head of a request.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Reason of closing an HTTP connection for a new one.
pub const HTTP_CONNECTIONS: &str = "http_connections";
const METRICS_PATH: &str = "/metrics";
const STATUS_PATH: &str = "/status";

/// Serves the connections of one listener until the process ends. All paths are served on every
/// listener.
///
/// At the limit the oldest connection is closed for a new one, so that readiness checks are answered
/// during a flood.
pub async fn serve(host: Rc<Host>, listener: TcpListener) {
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|connection| !connection.is_finished());
                if connections.len() >= MAX_CONNECTIONS
                    && let Some(oldest) = connections.pop_front()
                {
                    host.metrics.count("bound_http_connections");
                    host.journal
                        .write(&Event::SessionClosed { database: "", reason: HTTP_CONNECTIONS });
                    oldest.abort();
                    // The descriptor is free once the task has ended; its result is the abort.
                    drop(oldest.await);
                }
                connections.push_back(tokio::task::spawn_local(serve_stream(host.clone(), stream)));
            }
            Err(error) => {
                log::warn!("cannot accept an HTTP connection; retrying: {error}");
                tokio::time::sleep(crate::run::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_stream(host: Rc<Host>, stream: TcpStream) {
    let service = service_fn(|request: Request<hyper::body::Incoming>| {
        let response = respond(&host, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("HTTP connection failed: {error}");
    }
}

/// Renders the reduced limits of targets as metrics.
fn render_limits(host: &Host) -> String {
    let reduced = host.targets.capacity.borrow().reduced();
    let lines =
        reduced.iter().map(|(name, limit)| format!("target_limit_{name} {}\n", limit.permille()));
    lines.collect()
}

fn respond(host: &Host, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        ready::PATH if maintenance::is_ready(host) => (StatusCode::OK, String::new()),
        ready::PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        METRICS_PATH => (StatusCode::OK, host.metrics.render() + &render_limits(host)),
        STATUS_PATH => match serde_json::to_string(&status::of(host)) {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
