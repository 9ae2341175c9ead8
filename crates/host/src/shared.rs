//! What the tasks of one host share.

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

/// One host of the fleet.
pub struct Host {
    /// Its settings, with the addresses that it really listens on.
    pub settings: Settings,
    /// Its present run.
    pub incarnation: Incarnation,
    /// Monotone time.
    pub clock: Clock,
    /// Counters and gauges.
    pub metric: Registry,
    /// The platform's service.
    pub platform: platform::Client,
    /// What is known of the fleet.
    pub fleet: Fleet,
    /// Connections to the other hosts.
    pub peers: Peers,
    /// Rates of the client accounts.
    pub limiter: Limiter,
    /// Loans of rate tokens to ask for; taken by the task that asks.
    pub loan_requests: Mutex<Option<mpsc::UnboundedReceiver<LoanRequest>>>,
    /// What is known of the groups' primaries.
    pub failover: Arc<Failover>,
    /// Connections to the targets, and what is known of them.
    pub pools: Pools,
    /// What the requests share.
    pub data: exec::State,
    /// The configuration in force here.
    pub document: watch::Sender<Arc<Document>>,
    /// Whether the host is stopping.
    pub stopping: watch::Sender<bool>,
    /// Whether the host was told to leave the fleet, by a signal or by a plan.
    pub leaving: watch::Sender<bool>,
    /// Level of the log; none in a process that logs by other means.
    pub log_control: OnceLock<logging::Control>,
}

impl Host {
    /// A host that has not started its tasks.
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

    /// The configuration in force here.
    pub fn document(&self) -> Arc<Document> {
        self.document.borrow().clone()
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Wall-clock microseconds: only tells runs of one host apart, enters no decision about time.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
