//! The system of the story, and what the story knows of its bolts.

use super::Outcome;
use crate::client::caller::{Answer, Failure, Operation, Request};
use crate::error::{Error, Result};
use crate::system::{Plan, System};
use bergamotvale_core::config::Account;
use bergamotvale_core::id::ServiceId;
use bergamotvale_core::refusal::Ran;
use bergamotvale_core::statement::{Statement, Value};
use bergamotvale_host::settings::Policy;
use bergamotvale_standin::group;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Hosts of the story.
pub(super) const HOSTS: usize = 4;
/// Place of the service that loom stations log to.
pub(super) const ORDERS: usize = 0;
/// Place of the second service.
pub(super) const STOCK: usize = 1;
/// Place of the account of the loom stations.
pub(super) const LOOM: usize = 0;
/// Place of the account whose key is withdrawn.
pub(super) const TABLET: usize = 1;

const SERVICES: [&str; 2] = ["orders", "stock"];
const ACCOUNTS: [&str; 2] = ["loom", "tablet"];
const SCHEMA: &str = "CREATE TABLE bolts (number BIGINT NOT NULL, metres BIGINT NOT NULL)";
const INSERT: &str = "INSERT INTO bolts (number, metres) VALUES ($1, 40)";
const FAILURE_DOMAINS: u16 = 3;
const RATE: u32 = 1_000;
const BURST: u32 = 500;
/// Connections that each target takes.
const CONNECTIONS: u64 = 20;
/// Threads of each host that serve callers.
const WORKERS: usize = 1;
/// Time that a caller waits.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time that replication may take to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks at something that is awaited.
const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Time that all hosts may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of a bolt.
pub(super) type Bolt = u64;

/// The running story.
pub(super) struct Story {
    /// The system.
    pub(super) system: System,
    next_bolt: Bolt,
    acknowledged: BTreeMap<usize, BTreeSet<Bolt>>,
    not_run: BTreeMap<usize, BTreeSet<Bolt>>,
}

impl Story {
    /// Brings up the system.
    pub(super) async fn start(policy: Policy, seed: u64) -> Result<Story> {
        let options = group::Options {
            connection_limit: CONNECTIONS,
            schema: vec![SCHEMA.to_owned()],
            ..group::Options::default()
        };
        let groups = SERVICES.map(|name| (name.to_owned(), options.clone()));
        let accounts = ACCOUNTS.map(account);
        let plan = Plan {
            seed,
            hosts: HOSTS,
            failure_domains: FAILURE_DOMAINS,
            groups: groups.to_vec(),
            accounts: accounts.to_vec(),
            routes: BTreeMap::new(),
            policy,
            workers: WORKERS,
        };
        Ok(Story {
            system: System::start(plan).await?,
            next_bolt: 1,
            acknowledged: BTreeMap::new(),
            not_run: BTreeMap::new(),
        })
    }

    /// Number of a new bolt.
    pub(super) fn new_bolt(&mut self) -> Bolt {
        let bolt = self.next_bolt;
        self.next_bolt += 1;
        bolt
    }

    /// A request of the account at `account`.
    pub(super) fn request(&self, account: usize, operation: Operation) -> Request {
        Request::new(operation).with_key(&self.system.keys[account]).with_timeout(TIMEOUT)
    }

    /// The write that logs `bolt`, at most once.
    pub(super) fn log_request(&self, service: usize, bolt: Bolt) -> Request {
        let operation = Operation::Write(SERVICES[service].to_owned(), insert(bolt));
        self.request(LOOM, operation).with_idempotency_key(&format!("bolt-{bolt}"))
    }

    /// The read that counts the rows of `bolt`.
    pub(super) fn count_request(&self, account: usize, service: usize, bolt: Bolt) -> Request {
        let sql = "SELECT COUNT(*) AS bolts FROM bolts WHERE number = $1".to_owned();
        let statement = Statement { sql, params: vec![int(bolt)] };
        self.request(account, Operation::Read(SERVICES[service].to_owned(), statement))
    }

    /// Logs a new bolt on `host` and remembers what its caller knows.
    pub(super) async fn log(
        &mut self,
        host: usize,
        service: usize,
    ) -> (Bolt, std::result::Result<Answer, Failure>) {
        let bolt = self.new_bolt();
        let request = self.log_request(service, bolt);
        let result = self.system.caller(host).send(&request).await;
        self.note(service, bolt, result.as_ref().err().map(Failure::ran));
        (bolt, result)
    }

    /// Remembers whether `bolt` was acknowledged (no refusal) or surely did not run.
    pub(super) fn note(&mut self, service: usize, bolt: Bolt, refused: Option<Ran>) {
        match refused {
            None => self.acknowledged.entry(service).or_default().insert(bolt),
            Some(Ran::No) => self.not_run.entry(service).or_default().insert(bolt),
            Some(Ran::Unknown) => false,
        };
    }

    /// Id of the service at `service`.
    pub(super) fn service_id(&self, service: usize) -> ServiceId {
        service as ServiceId + 1
    }

    /// Name of the service at `service`.
    pub(super) fn service_name(&self, service: usize) -> &'static str {
        SERVICES[service]
    }

    /// Targets of `service` that are not its primary.
    pub(super) fn replicas(&self, service: usize) -> Vec<usize> {
        let primary = self.system.primary(service);
        let targets = self.system.groups[service].targets().iter();
        targets.map(group::Target::number).filter(|number| Some(*number) != primary).collect()
    }

    /// Rows of `bolt` on a target, past every host.
    pub(super) fn rows(
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
            other => Err(format!("the target counted {other:?}")),
        }
    }

    /// Sets the lag of every target of `service` back.
    pub(super) fn catch_up(&self, service: usize) {
        for target in self.system.groups[service].targets() {
            target.set_lag(Duration::ZERO);
        }
    }

    /// Every acknowledged bolt stands once on every target, and none that was called not run.
    pub(super) async fn account_for_bolts(&mut self) -> Outcome {
        let mut count = 0;
        for service in 0..SERVICES.len() {
            self.catch_up(service);
            self.wait_until_same(service).await?;
            for target in 0..self.system.groups[service].targets().len() {
                count += self.account_for(service, target)?;
            }
        }
        Ok(format!("{count} rows on 6 targets: every acknowledged bolt once on each"))
    }

    fn account_for(&self, service: usize, target: usize) -> std::result::Result<u64, String> {
        let mut count = 0;
        let name = SERVICES[service];
        for bolt in self.acknowledged.get(&service).into_iter().flatten() {
            let rows = self.rows(service, target, *bolt)?;
            if rows != 1 {
                return Err(format!("bolt {bolt} has {rows} rows on target {target} of {name}"));
            }
            count += 1;
        }
        for bolt in self.not_run.get(&service).into_iter().flatten() {
            let is_acknowledged =
                self.acknowledged.get(&service).is_some_and(|bolts| bolts.contains(bolt));
            if !is_acknowledged && self.rows(service, target, *bolt)? > 0 {
                return Err(format!("bolt {bolt} was called not run and is on {name} {target}"));
            }
        }
        Ok(count)
    }

    /// Waits until every target of `service` holds and has applied the same log.
    pub(super) async fn wait_until_same(&self, service: usize) -> std::result::Result<(), String> {
        let group = &self.system.groups[service];
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            if crate::bench::final_rows::is_caught_up(group) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("targets of {} still differ", SERVICES[service]));
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    /// Prints how to play with the system and waits for an interrupt.
    pub(super) async fn keep(&self) -> Result<()> {
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
        let Some(listen) = first else { return Err(Error::Start("no host runs".to_owned())) };
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

    /// Stops every host within its time.
    pub(super) async fn stop(self) -> Outcome {
        match tokio::time::timeout(STOP_TIMEOUT, self.system.stop()).await {
            Ok(()) => Ok("every host finished its work and ended".to_owned()),
            Err(_) => Err(format!("hosts still run after {STOP_TIMEOUT:?}")),
        }
    }
}

/// Inserts the row of `bolt`.
pub(super) fn insert(bolt: Bolt) -> Statement {
    Statement { sql: INSERT.to_owned(), params: vec![int(bolt)] }
}

/// The number in the first cell of an answer.
pub(super) fn first_number(answer: &Answer) -> Option<i64> {
    match answer.rows.rows.first()?.first()? {
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
