//! HTTP clients of a host: [`caller`] for the callers' API, [`operator`] for the operators' API.
//!
//! Both return typed responses. A refusal is a [`problem::Problem`], which states whether the
//! request may have run. The callers' client reports failures that leave the outcome unknown
//! separately from those after which the request certainly did not run.

pub mod caller;
pub mod operator;
pub mod problem;
pub mod report;
pub mod value;

use std::time::Duration;

/// Timeout for connecting to a host.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a builder for an HTTP/1.1 client that keeps connections alive.
///
/// It uses no proxy and follows no redirect, so that requests go to the given host only.
pub fn http() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
}
