//! Clients of a host: [`caller`] for requests, [`operator`] for planned change.
//!
//! Both answer with typed data; a refusal is a [`problem::Problem`], and whatever leaves the
//! outcome open is told apart from a refusal that promises "not run".

pub mod caller;
pub mod operator;
pub mod problem;
pub mod report;
pub mod value;

use std::time::Duration;

/// Time that a connection to a host may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP client without proxies, with connections kept alive.
pub fn http() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
}
