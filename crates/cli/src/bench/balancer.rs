//! Simulates the platform's load balancer: requests go to the hosts that the platform lists as
//! live.
//!
//! The list is polled and therefore lags. A host that has never been listed gets requests too, so
//! that a system whose hosts don't register with the platform can be loaded.

use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Chooses hosts for requests; clones share their state.
#[derive(Debug, Clone)]
pub struct Balancer {
    inner: Arc<Mutex<Rotation>>,
}

#[derive(Debug, Default)]
struct Rotation {
    hosts: Vec<String>,
    ever_listed: BTreeSet<String>,
    live: BTreeSet<String>,
}

/// The platform's list of hosts.
#[derive(Debug, Deserialize)]
struct HostList {
    hosts: Vec<HostEntry>,
}

#[derive(Debug, Deserialize)]
struct HostEntry {
    host: serde_json::Value,
    state: String,
}

impl Balancer {
    /// A balancer over hosts that register with the platform under these names.
    pub fn new(hosts: Vec<String>) -> Balancer {
        let rotation = Rotation { hosts, ..Rotation::default() };
        Balancer { inner: Arc::new(Mutex::new(rotation)) }
    }

    /// Index of the host at `index`, wrapped to the number of hosts, if it accepts requests, else
    /// of the next one that does. If none does, the host at `index` itself.
    pub fn pick(&self, index: usize) -> usize {
        let rotation = self.rotation();
        let count = rotation.hosts.len();
        let mut indexes = (0..count).map(|step| (index + step) % count);
        indexes.find(|index| rotation.accepts_requests(*index)).unwrap_or(index % count)
    }

    /// Polls the platform's list; never returns.
    pub async fn follow(self, http: reqwest::Client, platform: SocketAddr) {
        let url = format!("http://{platform}/hosts");
        loop {
            // Keeps the last list while the platform is unreachable.
            if let Ok(list) = fetch_hosts(&http, &url).await {
                self.rotation().update(list);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn rotation(&self) -> MutexGuard<'_, Rotation> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rotation {
    fn accepts_requests(&self, index: usize) -> bool {
        let name = &self.hosts[index];
        self.live.contains(name) || !self.ever_listed.contains(name)
    }

    fn update(&mut self, list: HostList) {
        let live = list.hosts.iter().filter(|entry| entry.state == "live");
        self.live = live.map(|entry| host_name(&entry.host)).collect();
        self.ever_listed.extend(list.hosts.iter().map(|entry| host_name(&entry.host)));
    }
}

fn host_name(host: &serde_json::Value) -> String {
    host.as_str().map_or_else(|| host.to_string(), str::to_owned)
}

async fn fetch_hosts(http: &reqwest::Client, url: &str) -> reqwest::Result<HostList> {
    http.get(url).timeout(POLL_TIMEOUT).send().await?.error_for_status()?.json().await
}
