//! A whole system in this process: platform, database groups and hosts on loopback.
//!
//! [`Spec`] says what to bring up, [`System`] is it running. Each part keeps its address when it
//! is stopped and started again. Keys come from a seed: the system lives no longer than the
//! process and listens on loopback only.

use crate::client;
use crate::client::caller::{self, Operation, Request};
use crate::client::operator;
use crate::error::{Error, Result};
use bergamotvale_core::config::{
    Account, Document, Key, KeyState, Route, Service, Target, TargetState,
};
use bergamotvale_core::id::{AccountId, FailureDomainId, HostId, KeyId, ServiceId, TargetId};
use bergamotvale_core::statement::Statement;
use bergamotvale_host::auth;
use bergamotvale_host::daemon::Daemon;
use bergamotvale_host::fleet::change;
use bergamotvale_host::settings::{Listen, Operator, Policy, Settings};
use bergamotvale_standin::group::{self, Group};
use bergamotvale_standin::platform;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time that the system may take to serve its first requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks whether it does.
const START_PERIOD: Duration = Duration::from_millis(50);
/// Time for which an outcome stays known under its idempotency key.
const RETENTION: Duration = Duration::from_secs(3600);
/// Name of the system's operator.
const OPERATOR: &str = "operator";
/// Bytes of a secret.
const SECRET_BYTES: usize = 16;

/// What to bring up.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Seed of the keys.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Failure domains that hosts and targets are spread over.
    pub failure_domains: FailureDomainId,
    /// Database groups with their names.
    pub groups: Vec<(String, group::Options)>,
    /// Client accounts; each gets one key.
    pub accounts: Vec<Account>,
    /// Routes open to all.
    pub routes: BTreeMap<String, Route>,
    /// How hosts decide.
    pub policy: Policy,
    /// Threads of each host that serve callers.
    pub workers: usize,
}

/// A running system; dropping it ends it.
pub struct System {
    /// The platform.
    pub platform: platform::Server,
    /// Database groups, by the place of their service.
    pub groups: Vec<Group>,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// The configuration that it started with.
    pub document: Document,
    /// Keys, by the place of their account.
    pub keys: Vec<String>,
    /// The operator's key.
    pub operator_key: String,
    http: reqwest::Client,
    operators: Vec<Operator>,
    plan: Spec,
}

/// A host of the system.
pub struct Host {
    /// Its settings, with the addresses that it listens on.
    pub settings: Settings,
    running: Option<Running>,
}

/// A daemon of this process, run as its program runs it.
struct Running {
    host: Arc<bergamotvale_host::shared::Host>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl System {
    /// Brings up `plan` and waits until every host serves every service.
    pub async fn start(plan: Spec) -> Result<System> {
        let mut system = System::prepare(plan).await?;
        system.start_hosts(None).await?;
        Ok(system)
    }

    /// Brings up what is outside of the hosts: platform and groups.
    pub async fn prepare(plan: Spec) -> Result<System> {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let platform = platform::Server::start(platform::Options::default()).map_err(start)?;
        let groups = start_groups(&plan)?;
        let (document, keys) = document(&plan, &groups, &mut rng);
        let secret = secret(&mut rng);
        let operators = vec![operator(&secret, &mut rng)];
        Ok(System {
            platform,
            groups,
            hosts: Vec::new(),
            document,
            keys,
            operator_key: format!("op_{OPERATOR}_{secret}"),
            http: client::http().build()?,
            operators,
            plan,
        })
    }

    /// Starts the hosts, on a runtime of their own if one is given, and waits until they serve.
    pub async fn start_hosts(&mut self, runtime: Option<&Handle>) -> Result<()> {
        for place in 0..self.plan.hosts {
            let settings = self.settings(place);
            self.hosts.push(Host::start(settings, runtime).await?);
        }
        self.found().await?;
        self.wait_until_served().await
    }

    /// Takes in a host that runs in another process, and waits until it serves.
    pub async fn add_external_host(&mut self, settings: Settings) -> Result<()> {
        self.hosts.push(Host { settings, running: None });
        self.found().await?;
        self.wait_until_served().await
    }

    /// Settings of the host at `place`, on free ports.
    pub fn settings(&self, place: usize) -> Settings {
        settings(&self.plan, place, self.platform.address(), &self.operators)
    }

    /// A caller of the host at `place`, over connections of its own.
    pub fn caller(&self, place: usize) -> caller::Client {
        caller::Client::new(self.http.clone(), self.hosts[place].settings.listen.callers)
    }

    /// The operator at the host at `place`.
    pub fn operator(&self, place: usize) -> operator::Client {
        let address = self.hosts[place].settings.listen.operators;
        operator::Client::new(self.http.clone(), address, &self.operator_key)
    }

    /// The primary of the group at `service`, if one leads.
    pub fn primary(&self, service: usize) -> Option<usize> {
        let targets = self.groups[service].targets().iter();
        let leading = targets.filter(|target| target.is_primary());
        leading.max_by_key(|target| target.accepted_term()).map(group::Target::number)
    }

    /// Stops every host, then the rest.
    pub async fn stop(mut self) {
        let hosts = std::mem::take(&mut self.hosts);
        futures::future::join_all(hosts.into_iter().map(|mut host| async move {
            host.stop().await;
        }))
        .await;
    }

    /// Publishes the first configuration, once a host may.
    async fn found(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match self.try_found().await {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(START_PERIOD).await,
            }
        }
    }

    async fn try_found(&self) -> Result<()> {
        match self.hosts[0].running.as_ref() {
            Some(running) => {
                let founded = change::bootstrap(&running.host, self.document.clone()).await;
                founded.map(drop).map_err(start)
            }
            None => {
                let document = serde_json::to_value(&self.document).map_err(start)?;
                self.operator(0).put_config(document).await
            }
        }
    }

    async fn wait_until_served(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for host in 0..self.hosts.len() {
            for (id, service) in &self.document.services {
                let key = self.key_for(*id).ok_or_else(|| start("a service without account"))?;
                let statement = Statement { sql: "SELECT 1".to_owned(), params: Vec::new() };
                let operation = Operation::Read(service.name.clone(), statement);
                let request = Request::new(operation).with_key(key);
                self.wait_for(host, &request, deadline).await?;
            }
        }
        Ok(())
    }

    async fn wait_for(&self, host: usize, request: &Request, deadline: Instant) -> Result<()> {
        loop {
            let failure = match self.caller(host).send(request).await {
                Ok(_) => return Ok(()),
                Err(failure) => failure,
            };
            if Instant::now() > deadline {
                return Err(start(format!("host {host} does not serve: {failure}")));
            }
            tokio::time::sleep(START_PERIOD).await;
        }
    }

    /// Key of an account that may use `service`.
    fn key_for(&self, service: ServiceId) -> Option<&str> {
        let mut accounts = self.document.accounts.values();
        let place = accounts.position(|account| account.services.contains(&service))?;
        self.keys.get(place).map(String::as_str)
    }
}

impl Host {
    async fn start(settings: Settings, runtime: Option<&Handle>) -> Result<Host> {
        let running = run(settings, runtime).await?;
        Ok(Host { settings: running.host.settings.clone(), running: Some(running) })
    }

    /// Where it serves callers.
    pub fn address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        self.running.as_ref().is_some_and(|running| !running.task.is_finished())
    }

    /// Stops it as planned; ends when what ran has ended.
    pub async fn stop(&mut self) {
        if let Some(stopping) = self.begin_stop() {
            // A host that was told to leave may have ended already.
            drop(stopping.await);
        }
    }

    /// Begins to stop it as planned; the handle ends when what ran has ended.
    pub fn begin_stop(&mut self) -> Option<JoinHandle<()>> {
        let Running { stop, task, .. } = self.running.take()?;
        // Nobody listens when it was told to leave before.
        let _ = stop.send(());
        Some(task)
    }

    /// Starts it again where it was.
    pub async fn restart(&mut self) -> Result<()> {
        if self.running.is_none() {
            self.running = Some(run(self.settings.clone(), None).await?);
        }
        Ok(())
    }
}

/// Runs a daemon until it is stopped or told to leave, as its program does.
async fn run(settings: Settings, runtime: Option<&Handle>) -> Result<Running> {
    let runtime = runtime.cloned().unwrap_or_else(Handle::current);
    let daemon = runtime.spawn(Daemon::start(settings)).await.map_err(start)?.map_err(start)?;
    let host = daemon.host.clone();
    let (stop, stopped) = oneshot::channel();
    let task = runtime.spawn(async move {
        tokio::select! {
            () = daemon.leave_requested() => {}
            _ = stopped => {}
        }
        daemon.stop().await;
    });
    Ok(Running { host, stop, task })
}

fn start(error: impl ToString) -> Error {
    Error::Start(error.to_string())
}

fn start_groups(plan: &Spec) -> Result<Vec<Group>> {
    let options = plan.groups.iter().map(|(_, options)| options.clone());
    options.map(|options| Group::start(options).map_err(start)).collect()
}

fn settings(plan: &Spec, place: usize, platform: SocketAddr, operators: &[Operator]) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { callers: free, operators: free, peers: free };
    let failure_domain = place as FailureDomainId % plan.failure_domains;
    let mut settings = Settings::new(place as HostId + 1, failure_domain, listen, platform);
    settings.operators = operators.to_vec();
    settings.policy = plan.policy.clone();
    settings.workers = plan.workers;
    settings
}

/// The configuration and the keys of its accounts, in the order of the accounts.
fn document(plan: &Spec, groups: &[Group], rng: &mut StdRng) -> (Document, Vec<String>) {
    let mut document = Document { version: 1, ..Document::default() };
    for (place, (group, (name, options))) in groups.iter().zip(&plan.groups).enumerate() {
        let service = service(plan, group, name, options);
        document.services.insert(place as ServiceId + 1, service);
    }
    let mut keys = Vec::new();
    for (place, account) in plan.accounts.iter().enumerate() {
        let (account_id, key_id) = (place as AccountId + 1, place as KeyId + 1);
        document.accounts.insert(account_id, account.clone());
        let secret = secret(rng);
        document.keys.insert(key_id, key(account_id, &secret, rng));
        keys.push(format!("bv_{key_id}_{secret}"));
    }
    document.routes = plan.routes.clone();
    (document, keys)
}

fn service(plan: &Spec, group: &Group, name: &str, options: &group::Options) -> Service {
    let target = |(place, address): (usize, SocketAddr)| {
        let target = Target {
            address,
            failure_domain: place as FailureDomainId % plan.failure_domains,
            connections: options.connection_limit as u32,
            state: TargetState::Active,
        };
        (place as TargetId, target)
    };
    let targets = group.addresses().into_iter().enumerate().map(target).collect();
    Service { name: name.to_owned(), targets, retention: RETENTION }
}

fn key(account: AccountId, secret: &str, rng: &mut StdRng) -> Key {
    let salt = salt(rng);
    let digest = auth::digest(&salt, secret);
    Key { account, salt, digest, state: KeyState::Active }
}

fn operator(secret: &str, rng: &mut StdRng) -> Operator {
    let salt = salt(rng);
    let digest = auth::digest(&salt, secret);
    Operator { name: OPERATOR.to_owned(), salt, digest }
}

fn salt(rng: &mut StdRng) -> String {
    bergamotvale_host::platform::hex(&rng.random::<[u8; 32]>())
}

fn secret(rng: &mut StdRng) -> String {
    bergamotvale_host::platform::hex(&rng.random::<[u8; SECRET_BYTES]>())
}
