//! The platform's balancer, as the load plays it: requests go to hosts on the platform's list.
//!
//! The list lags. A host that was never on it takes requests too, so that a system whose hosts do
//! not enrol is loaded all the same.

use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two looks at the list.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// Time that a look may take.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// Which hosts take requests.
#[derive(Debug, Clone)]
pub struct Balancer {
    inner: Arc<Mutex<Rotation>>,
}

#[derive(Debug, Default)]
struct Rotation {
    hosts: Vec<String>,
    seen: BTreeSet<String>,
    live: BTreeSet<String>,
}

/// The platform's list.
#[derive(Debug, Deserialize)]
struct List {
    hosts: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    host: serde_json::Value,
    state: String,
}

impl Balancer {
    /// A balancer over hosts that enrol under these names.
    pub fn new(hosts: Vec<String>) -> Balancer {
        let rotation = Rotation { hosts, ..Rotation::default() };
        Balancer { inner: Arc::new(Mutex::new(rotation)) }
    }

    /// The host at `place` if it takes requests, else the next one that does.
    pub fn pick(&self, place: usize) -> usize {
        let rotation = self.rotation();
        let count = rotation.hosts.len();
        let mut places = (0..count).map(|step| (place + step) % count);
        places.find(|place| rotation.takes(*place)).unwrap_or(place % count)
    }

    /// Follows the platform's list for ever.
    pub async fn follow(self, http: reqwest::Client, platform: SocketAddr) {
        let url = format!("http://{platform}/hosts");
        loop {
            // While the platform is away, the last list stands.
            if let Ok(list) = look(&http, &url).await {
                self.rotation().update(list);
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    fn rotation(&self) -> MutexGuard<'_, Rotation> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rotation {
    fn takes(&self, place: usize) -> bool {
        let name = &self.hosts[place];
        self.live.contains(name) || !self.seen.contains(name)
    }

    fn update(&mut self, list: List) {
        let live = list.hosts.iter().filter(|entry| entry.state == "live");
        self.live = live.map(|entry| name(&entry.host)).collect();
        self.seen.extend(list.hosts.iter().map(|entry| name(&entry.host)));
    }
}

fn name(host: &serde_json::Value) -> String {
    host.as_str().map_or_else(|| host.to_string(), str::to_owned)
}

async fn look(http: &reqwest::Client, url: &str) -> reqwest::Result<List> {
    http.get(url).timeout(LOOK_TIMEOUT).send().await?.error_for_status()?.json().await
}
