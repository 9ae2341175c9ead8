//! State that all tasks of one host share.

use crate::clock::Clock;
use crate::error::Result;
use crate::exec;
use crate::failover::Failover;
use crate::fleet::Fleet;
use crate::limit::Limiter;
use crate::logging;
use crate::metric::Registry;
use crate::peer::Peers;
use crate::platform;
use crate::settings::Settings;
use crate::target::Pools;
use bergamotvale_core::config::Document;
use bergamotvale_core::id::Incarnation;
use bergamotvale_core::rate::meter::LoanRequest;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// Shared state of one host of the fleet.
pub struct Host {
    /// Settings, with the actual listen addresses in place of port 0.
    pub settings: Settings,
    /// Identifies this run of the host among its earlier and later runs.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Clock,
    /// Counters and gauges.
    pub metric: Registry,
    /// Client of the platform's service.
    pub platform: platform::Client,
    /// State of the fleet as this host knows it: members, configuration and authority.
    pub fleet: Fleet,
    /// Connections to the other hosts.
    pub peers: Peers,
    /// Rate limiter for the client accounts.
    pub limiter: Limiter,
    /// Loan requests for rate tokens; `None` once taken by the task that sends them to peers.
    pub loan_requests: Mutex<Option<mpsc::UnboundedReceiver<LoanRequest>>>,
    /// State of the database groups and their primaries, as this host knows it.
    pub failover: Arc<Failover>,
    /// Connection pools of the targets.
    pub pools: Pools,
    /// State of the data path that all requests share.
    pub data: exec::State,
    /// The configuration in force on this host.
    pub document: watch::Sender<Arc<Document>>,
    /// Whether the host is stopping.
    pub stopping: watch::Sender<bool>,
    /// Whether the host has to leave the fleet, because of a signal or a plan.
    pub leaving: watch::Sender<bool>,
    /// Control of the log level; unset in a process that configures its own logger.
    pub log_control: OnceLock<logging::Control>,
}

impl Host {
    /// A host whose tasks have not been started.
    pub fn new(settings: Settings) -> Result<Host> {
        let platform = platform::Client::new(&settings)?;
        let metric = Registry::new(settings.metrics.statsd)?;
        let incarnation = incarnation();
        let clock = Clock::new();
        let (limiter, loan_requests) = Limiter::new(&settings.policy, clock);
        let failover = Arc::new(Failover::new(&settings, incarnation));
        Ok(Host {
            fleet: Fleet::new(&settings, incarnation),
            peers: Peers::new(),
            incarnation,
            clock,
            limiter,
            loan_requests: Mutex::new(Some(loan_requests)),
            data: exec::State::new(&settings, incarnation),
            metric,
            platform,
            pools: Pools::new(failover.clone()),
            failover,
            document: watch::Sender::new(Arc::new(Document::default())),
            stopping: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            log_control: OnceLock::new(),
            settings,
        })
    }

    /// The configuration in force on this host.
    pub fn document(&self) -> Arc<Document> {
        self.document.borrow().clone()
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Wall-clock microseconds. Only distinguishes incarnations of one host; no decision depends on it
/// as a time.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
