//! Answers the balancer's question, and serves metrics and the host's state.

use crate::state::Host;
use crate::{maintenance, status};
use bergamotvale_platform::ready;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Path of the host's state.
const STATUS: &str = "/status";

/// Serves one listener until the process ends.
pub async fn serve(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(connection(host.clone(), stream))),
            Err(error) => {
                log::warn!("a connection to the HTTP listener failed: {error}");
                tokio::time::sleep(crate::run::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(host: Rc<Host>, stream: TcpStream) {
    let answer = service_fn(|request: Request<hyper::body::Incoming>| {
        let response = respond(&host, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), answer)
        .await;
    if let Err(error) = served {
        log::debug!("an HTTP connection ended: {error}");
    }
}

fn respond(host: &Host, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        ready::PATH if maintenance::is_ready(host) => (StatusCode::OK, String::new()),
        ready::PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        METRICS => (StatusCode::OK, host.metrics.render()),
        STATUS => match serde_json::to_string(&status::of(host)) {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
