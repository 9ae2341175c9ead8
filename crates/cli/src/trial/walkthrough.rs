//! System of the walkthrough, and the record of which writes were acknowledged or did not run.

use super::Outcome;
use crate::client::caller::{Failure, Operation, Request, Response};
use crate::error::{Error, Result};
use crate::system::{Spec, System};
use bergamotvale_core::config::Account;
use bergamotvale_core::id::ServiceId;
use bergamotvale_core::refusal::Ran;
use bergamotvale_core::statement::{Statement, Value};
use bergamotvale_host::settings::Policy;
use bergamotvale_standin::group;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Number of hosts.
pub(super) const HOSTS: usize = 4;
/// Index of the service that loom stations log bolts to.
pub(super) const ORDERS: usize = 0;
/// Index of the second service, whose targets are partitioned.
pub(super) const STOCK: usize = 1;
/// Index of the account of the loom stations.
pub(super) const LOOM: usize = 0;
/// Index of the account whose key is withdrawn.
pub(super) const TABLET: usize = 1;

const SERVICES: [&str; 2] = ["orders", "stock"];
const ACCOUNTS: [&str; 2] = ["loom", "tablet"];
const SCHEMA: &str = "CREATE TABLE bolts (number BIGINT NOT NULL, metres BIGINT NOT NULL)";
const INSERT: &str = "INSERT INTO bolts (number, metres) VALUES ($1, 40)";
const FAILURE_DOMAINS: u16 = 3;
const RATE: u32 = 1_000;
const BURST: u32 = 500;
/// Connection limit of each target.
const CONNECTION_LIMIT: u64 = 20;
/// Number of threads that serve callers, per host.
const CALLER_THREADS: usize = 1;
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for all targets of a group to apply the same log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(15);
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for all hosts to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of a bolt, the key of its row.
pub(super) type Bolt = u64;

/// State of a running walkthrough.
pub(super) struct Walkthrough {
    /// System under demonstration.
    pub(super) system: System,
    next_bolt: Bolt,
    /// Acknowledged bolts by service.
    acknowledged: BTreeMap<usize, BTreeSet<Bolt>>,
    /// Bolts whose write certainly did not run, by service.
    not_run: BTreeMap<usize, BTreeSet<Bolt>>,
}

impl Walkthrough {
    /// Starts the system and waits until all hosts serve.
    pub(super) async fn start(policy: Policy, seed: u64) -> Result<Walkthrough> {
        let options = group::Options {
            connection_limit: CONNECTION_LIMIT,
            schema: vec![SCHEMA.to_owned()],
            ..group::Options::default()
        };
        let groups = SERVICES.map(|name| (name.to_owned(), options.clone()));
        let accounts = ACCOUNTS.map(account);
        let spec = Spec {
            seed,
            hosts: HOSTS,
            failure_domains: FAILURE_DOMAINS,
            groups: groups.to_vec(),
            accounts: accounts.to_vec(),
            routes: BTreeMap::new(),
            policy,
            workers: CALLER_THREADS,
        };
        Ok(Walkthrough {
            system: System::start(spec).await?,
            next_bolt: 1,
            acknowledged: BTreeMap::new(),
            not_run: BTreeMap::new(),
        })
    }

    /// Assigns the next bolt number.
    pub(super) fn new_bolt(&mut self) -> Bolt {
        let bolt = self.next_bolt;
        self.next_bolt += 1;
        bolt
    }

    /// Creates a request with the key of the account at index `account`.
    pub(super) fn request(&self, account: usize, operation: Operation) -> Request {
        Request::new(operation).with_key(&self.system.keys[account]).with_timeout(CALLER_TIMEOUT)
    }

    /// Creates the write that logs `bolt`, under an idempotency key made of its number.
    pub(super) fn log_request(&self, service: usize, bolt: Bolt) -> Request {
        let operation = Operation::Write(SERVICES[service].to_owned(), insert_statement(bolt));
        self.request(LOOM, operation).with_idempotency_key(&format!("bolt-{bolt}"))
    }

    /// Creates the read that counts the rows of `bolt`.
    pub(super) fn count_request(&self, account: usize, service: usize, bolt: Bolt) -> Request {
        let sql = "SELECT COUNT(*) AS bolts FROM bolts WHERE number = $1".to_owned();
        let statement = Statement { sql, params: vec![int(bolt)] };
        self.request(account, Operation::Read(SERVICES[service].to_owned(), statement))
    }

    /// Logs a new bolt through `host` and records the outcome.
    pub(super) async fn log(
        &mut self,
        host: usize,
        service: usize,
    ) -> (Bolt, std::result::Result<Response, Failure>) {
        let bolt = self.new_bolt();
        let request = self.log_request(service, bolt);
        let result = self.system.caller(host).send(&request).await;
        self.record_outcome(service, bolt, result.as_ref().err().map(Failure::ran));
        (bolt, result)
    }

    /// Records whether `bolt` was acknowledged (`unacknowledged` is None) or certainly did not run.
    pub(super) fn record_outcome(
        &mut self,
        service: usize,
        bolt: Bolt,
        unacknowledged: Option<Ran>,
    ) {
        match unacknowledged {
            None => self.acknowledged.entry(service).or_default().insert(bolt),
            Some(Ran::No) => self.not_run.entry(service).or_default().insert(bolt),
            Some(Ran::Unknown) => false,
        };
    }

    /// Returns the id of the service at index `service`.
    pub(super) fn service_id(&self, service: usize) -> ServiceId {
        service as ServiceId + 1
    }

    /// Returns the name of the service at index `service`.
    pub(super) fn service_name(&self, service: usize) -> &'static str {
        SERVICES[service]
    }

    /// Returns the numbers of the targets that are not the primary of `service`.
    pub(super) fn replicas(&self, service: usize) -> Vec<usize> {
        let primary = self.system.primary(service);
        let targets = self.system.groups[service].targets().iter();
        targets.map(group::Target::number).filter(|number| Some(*number) != primary).collect()
    }

    /// Counts the rows of `bolt` directly on a target, without a host in between.
    pub(super) fn count_rows(
        &self,
        service: usize,
        target: usize,
        bolt: Bolt,
    ) -> std::result::Result<u64, String> {
        let sql = format!("SELECT COUNT(*) FROM bolts WHERE number = {bolt}");
        let target = self.system.groups[service].target(target);
        let rows = target.query(&sql).map_err(|error| error.to_string())?;
        match rows.first().and_then(|row| row.first()) {
            Some(group::Value::Integer(count)) => Ok(count.unsigned_abs()),
            other => Err(format!("the target returned {other:?} instead of a count")),
        }
    }

    /// Resets the replication lag of all targets of `service` to zero.
    pub(super) fn reset_lag(&self, service: usize) {
        for target in self.system.groups[service].targets() {
            target.set_lag(Duration::ZERO);
        }
    }

    /// Checks that all targets have every acknowledged bolt exactly once, and no bolt whose write
    /// was reported as not run.
    pub(super) async fn check_rows(&mut self) -> Outcome {
        let mut count = 0;
        for service in 0..SERVICES.len() {
            self.reset_lag(service);
            self.wait_until_caught_up(service).await?;
            for target in 0..self.system.groups[service].targets().len() {
                count += self.check_target(service, target)?;
            }
        }
        Ok(format!("{count} rows on 6 targets: every acknowledged bolt once on each"))
    }

    fn check_target(&self, service: usize, target: usize) -> std::result::Result<u64, String> {
        let mut count = 0;
        let name = SERVICES[service];
        for bolt in self.acknowledged.get(&service).into_iter().flatten() {
            let rows = self.count_rows(service, target, *bolt)?;
            if rows != 1 {
                return Err(format!("bolt {bolt} has {rows} rows on target {target} of {name}"));
            }
            count += 1;
        }
        for bolt in self.not_run.get(&service).into_iter().flatten() {
            let is_acknowledged =
                self.acknowledged.get(&service).is_some_and(|bolts| bolts.contains(bolt));
            if !is_acknowledged && self.count_rows(service, target, *bolt)? > 0 {
                return Err(format!(
                    "bolt {bolt} was reported as not run but is on target {target} of {name}"
                ));
            }
        }
        Ok(count)
    }

    /// Waits until all targets of `service` have the same log and have applied it.
    pub(super) async fn wait_until_caught_up(
        &self,
        service: usize,
    ) -> std::result::Result<(), String> {
        let group = &self.system.groups[service];
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            if crate::bench::final_rows::is_caught_up(group) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("targets of {} still differ", SERVICES[service]));
            }
            tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
        }
    }

    /// Prints the addresses of the system with example commands, and waits for an interrupt.
    pub(super) async fn wait_for_interrupt(&self) -> Result<()> {
        let running = self.system.hosts.iter().filter(|host| host.is_running());
        let mut first = None;
        for host in running {
            let listen = host.settings.listen;
            println!(
                "host {}: callers {}, operators {}",
                host.settings.host, listen.callers, listen.operators
            );
            first = first.or(Some(listen));
        }
        let Some(listen) = first else { return Err(Error::Start("no host is running".to_owned())) };
        println!("platform: {}", self.system.platform.url());
        println!(
            "\ncurl -i http://{}/v1/services/orders/write \\\n  -H 'authorization: Bearer {}' \\\n  \
             -H 'content-type: application/json' -H 'idempotency-key: bolt-by-hand' \\\n  \
             -d '{{\"sql\":\"{INSERT}\",\"params\":[9001]}}'",
            listen.callers, self.system.keys[LOOM]
        );
        println!(
            "\nBERGAMOTVALE_OPERATOR_KEY={} bergamotvale --host {} status\n\nInterrupt to end.",
            self.system.operator_key, listen.operators
        );
        tokio::signal::ctrl_c().await?;
        Ok(())
    }

    /// Checks that all hosts stop within [`STOP_TIMEOUT`].
    pub(super) async fn stop(self) -> Outcome {
        match tokio::time::timeout(STOP_TIMEOUT, self.system.stop()).await {
            Ok(()) => Ok("every host finished its work and ended".to_owned()),
            Err(_) => Err(format!("hosts still run after {STOP_TIMEOUT:?}")),
        }
    }
}

/// Returns the statement that inserts the row of `bolt`.
pub(super) fn insert_statement(bolt: Bolt) -> Statement {
    Statement { sql: INSERT.to_owned(), params: vec![int(bolt)] }
}

/// Returns the number in the first cell of a result.
pub(super) fn first_number(response: &Response) -> Option<i64> {
    match response.rows.rows.first()?.first()? {
        Value::Int(number) => Some(*number),
        _ => None,
    }
}

fn int(number: u64) -> Value {
    Value::Int(i64::try_from(number).unwrap_or(i64::MAX))
}

fn account(name: &str) -> Account {
    Account {
        name: name.to_owned(),
        rate: RATE,
        burst: BURST,
        weight: 1,
        services: BTreeSet::from([1, 2]),
    }
}
