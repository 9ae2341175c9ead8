//! A complete system in one process: platform, database groups and hosts on loopback.
//!
//! [`Spec`] describes the system, [`System`] is the running system. Each part keeps its address
//! across a restart. Keys are derived from a seed, which is safe because the system ends with the
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

/// Timeout for publishing the first configuration, and for the first successful requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the outcome of a write is kept under its idempotency key.
const IDEMPOTENCY_RETENTION: Duration = Duration::from_secs(3600);
/// Name of the only operator.
const OPERATOR: &str = "operator";
const SECRET_BYTES: usize = 16;

/// Describes a system to start.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Seed from which the secrets and salts of keys are derived.
    pub seed: u64,
    /// Number of hosts; their ids start at 1.
    pub hosts: usize,
    /// Number of failure domains, to which hosts and targets are assigned round-robin.
    pub failure_domains: FailureDomainId,
    /// Database groups, each with the name of its service; service ids start at 1.
    pub groups: Vec<(String, group::Options)>,
    /// Client accounts, each of which gets one key; account ids start at 1.
    pub accounts: Vec<Account>,
    /// Routes that are served without a key, by name.
    pub routes: BTreeMap<String, Route>,
    /// Policy of every host.
    pub policy: Policy,
    /// Number of threads that serve callers, per host.
    pub workers: usize,
}

/// A running system. Dropping it stops all parts.
pub struct System {
    /// Stand-in for the platform, which stores the shared state.
    pub platform: platform::Server,
    /// Database groups, in the order of the specification.
    pub groups: Vec<Group>,
    /// Hosts, in the order of their ids.
    pub hosts: Vec<Host>,
    /// The first configuration that was published.
    pub document: Document,
    /// Keys, in the order of their accounts.
    pub keys: Vec<String>,
    /// Key for the operators' API of every host.
    pub operator_key: String,
    http: reqwest::Client,
    operators: Vec<Operator>,
    spec: Spec,
}

/// A host of the system, running or stopped.
pub struct Host {
    /// Settings with the actual listener addresses, which a restart uses again.
    pub settings: Settings,
    running: Option<Running>,
}

/// A running host in this process.
struct Running {
    host: Arc<bergamotvale_host::shared::Host>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl System {
    /// Starts the system and waits until every host serves every service.
    pub async fn start(spec: Spec) -> Result<System> {
        let mut system = System::prepare(spec).await?;
        system.start_hosts(None).await?;
        Ok(system)
    }

    /// Starts the platform and the database groups, but no hosts.
    pub async fn prepare(spec: Spec) -> Result<System> {
        let mut rng = StdRng::seed_from_u64(spec.seed);
        let platform =
            platform::Server::start(platform::Options::default()).map_err(start_error)?;
        let groups = start_groups(&spec)?;
        let (document, keys) = build_document(&spec, &groups, &mut rng);
        let secret = random_secret(&mut rng);
        let operators = vec![build_operator(&secret, &mut rng)];
        Ok(System {
            platform,
            groups,
            hosts: Vec::new(),
            document,
            keys,
            operator_key: format!("op_{OPERATOR}_{secret}"),
            http: client::http().build()?,
            operators,
            spec,
        })
    }

    /// Starts the hosts on `runtime`, or on the current one, and waits until they serve.
    pub async fn start_hosts(&mut self, runtime: Option<&Handle>) -> Result<()> {
        for index in 0..self.spec.hosts {
            let settings = self.settings(index);
            self.hosts.push(Host::start(settings, runtime).await?);
        }
        self.bootstrap().await?;
        self.wait_until_serving().await
    }

    /// Adds a host that runs in another process, and waits until it serves.
    pub async fn add_external_host(&mut self, settings: Settings) -> Result<()> {
        self.hosts.push(Host { settings, running: None });
        self.bootstrap().await?;
        self.wait_until_serving().await
    }

    /// Returns settings for the host at `index` in which all listeners take free ports.
    pub fn settings(&self, index: usize) -> Settings {
        build_settings(&self.spec, index, self.platform.address(), &self.operators)
    }

    /// Returns a client of the callers' API of the host at `index`.
    ///
    /// All of these clients share one connection pool.
    pub fn caller(&self, index: usize) -> caller::Client {
        caller::Client::new(self.http.clone(), self.hosts[index].settings.listen.callers)
    }

    /// Returns a client of the operators' API of the host at `index`.
    pub fn operator(&self, index: usize) -> operator::Client {
        let address = self.hosts[index].settings.listen.operators;
        operator::Client::new(self.http.clone(), address, &self.operator_key)
    }

    /// Returns the number of the primary in the group at `service`, if it has one.
    ///
    /// Of several targets that act as primary, the one with the highest accepted term counts.
    pub fn primary(&self, service: usize) -> Option<usize> {
        let targets = self.groups[service].targets().iter();
        let leading = targets.filter(|target| target.is_primary());
        leading.max_by_key(|target| target.accepted_term()).map(group::Target::number)
    }

    /// Stops all hosts gracefully, then the platform and the database groups.
    pub async fn stop(mut self) {
        let hosts = std::mem::take(&mut self.hosts);
        futures::future::join_all(hosts.into_iter().map(|mut host| async move {
            host.stop().await;
        }))
        .await;
    }

    /// Publishes the first configuration through the first host, with retries until it accepts.
    async fn bootstrap(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match self.try_bootstrap().await {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(START_POLL_INTERVAL).await,
            }
        }
    }

    async fn try_bootstrap(&self) -> Result<()> {
        match self.hosts[0].running.as_ref() {
            Some(running) => {
                let published = change::bootstrap(&running.host, self.document.clone()).await;
                published.map(drop).map_err(start_error)
            }
            None => {
                let document = serde_json::to_value(&self.document).map_err(start_error)?;
                self.operator(0).put_config(document).await
            }
        }
    }

    async fn wait_until_serving(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for host in 0..self.hosts.len() {
            for (id, service) in &self.document.services {
                let key =
                    self.key_for(*id).ok_or_else(|| start_error("a service without account"))?;
                let statement = Statement { sql: "SELECT 1".to_owned(), params: Vec::new() };
                let operation = Operation::Read(service.name.clone(), statement);
                let request = Request::new(operation).with_key(key);
                self.wait_for_success(host, &request, deadline).await?;
            }
        }
        Ok(())
    }

    async fn wait_for_success(
        &self,
        host: usize,
        request: &Request,
        deadline: Instant,
    ) -> Result<()> {
        loop {
            let failure = match self.caller(host).send(request).await {
                Ok(_) => return Ok(()),
                Err(failure) => failure,
            };
            if Instant::now() > deadline {
                return Err(start_error(format!("host {host} does not serve: {failure}")));
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Returns the key of an account that has access to `service`.
    fn key_for(&self, service: ServiceId) -> Option<&str> {
        let mut accounts = self.document.accounts.values();
        let index = accounts.position(|account| account.services.contains(&service))?;
        self.keys.get(index).map(String::as_str)
    }
}

impl Host {
    async fn start(settings: Settings, runtime: Option<&Handle>) -> Result<Host> {
        let running = run_daemon(settings, runtime).await?;
        Ok(Host { settings: running.host.settings.clone(), running: Some(running) })
    }

    /// Returns the address of the callers' listener.
    pub fn address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns whether the host runs in this process and has not exited.
    pub fn is_running(&self) -> bool {
        self.running.as_ref().is_some_and(|running| !running.task.is_finished())
    }

    /// Stops the host gracefully and waits until it has exited.
    pub async fn stop(&mut self) {
        if let Some(stopping) = self.begin_stop() {
            // The host may already have exited because it was asked to leave.
            drop(stopping.await);
        }
    }

    /// Starts a graceful stop; the handle completes when the host has exited.
    ///
    /// None if the host does not run in this process.
    pub fn begin_stop(&mut self) -> Option<JoinHandle<()>> {
        let Running { stop, task, .. } = self.running.take()?;
        // The receiver is dropped if the host was asked to leave before.
        let _ = stop.send(());
        Some(task)
    }

    /// Starts a stopped host again on the same addresses.
    pub async fn restart(&mut self) -> Result<()> {
        if self.running.is_none() {
            self.running = Some(run_daemon(self.settings.clone(), None).await?);
        }
        Ok(())
    }
}

/// Starts a daemon and a task that stops it on request or once it is asked to leave the fleet.
async fn run_daemon(settings: Settings, runtime: Option<&Handle>) -> Result<Running> {
    let runtime = runtime.cloned().unwrap_or_else(Handle::current);
    let daemon =
        runtime.spawn(Daemon::start(settings)).await.map_err(start_error)?.map_err(start_error)?;
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

fn start_error(error: impl ToString) -> Error {
    Error::Start(error.to_string())
}

fn start_groups(spec: &Spec) -> Result<Vec<Group>> {
    let options = spec.groups.iter().map(|(_, options)| options.clone());
    options.map(|options| Group::start(options).map_err(start_error)).collect()
}

fn build_settings(
    spec: &Spec,
    index: usize,
    platform: SocketAddr,
    operators: &[Operator],
) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { callers: free, operators: free, peers: free };
    let failure_domain = index as FailureDomainId % spec.failure_domains;
    let mut settings = Settings::new(index as HostId + 1, failure_domain, listen, platform);
    settings.operators = operators.to_vec();
    settings.policy = spec.policy.clone();
    settings.workers = spec.workers;
    settings
}

/// Builds the first configuration, and the keys of its accounts in the order of the accounts.
fn build_document(spec: &Spec, groups: &[Group], rng: &mut StdRng) -> (Document, Vec<String>) {
    let mut document = Document { version: 1, ..Document::default() };
    for (index, (group, (name, options))) in groups.iter().zip(&spec.groups).enumerate() {
        let service = build_service(spec, group, name, options);
        document.services.insert(index as ServiceId + 1, service);
    }
    let mut keys = Vec::new();
    for (index, account) in spec.accounts.iter().enumerate() {
        let (account_id, key_id) = (index as AccountId + 1, index as KeyId + 1);
        document.accounts.insert(account_id, account.clone());
        let secret = random_secret(rng);
        document.keys.insert(key_id, build_key(account_id, &secret, rng));
        keys.push(format!("bv_{key_id}_{secret}"));
    }
    document.routes = spec.routes.clone();
    (document, keys)
}

fn build_service(spec: &Spec, group: &Group, name: &str, options: &group::Options) -> Service {
    let target = |(index, address): (usize, SocketAddr)| {
        let target = Target {
            address,
            failure_domain: index as FailureDomainId % spec.failure_domains,
            connections: options.connection_limit as u32,
            state: TargetState::Active,
        };
        (index as TargetId, target)
    };
    let targets = group.addresses().into_iter().enumerate().map(target).collect();
    Service { name: name.to_owned(), targets, retention: IDEMPOTENCY_RETENTION }
}

fn build_key(account: AccountId, secret: &str, rng: &mut StdRng) -> Key {
    let salt = random_salt(rng);
    let digest = auth::digest(&salt, secret);
    Key { account, salt, digest, state: KeyState::Active }
}

fn build_operator(secret: &str, rng: &mut StdRng) -> Operator {
    let salt = random_salt(rng);
    let digest = auth::digest(&salt, secret);
    Operator { name: OPERATOR.to_owned(), salt, digest }
}

fn random_salt(rng: &mut StdRng) -> String {
    bergamotvale_host::platform::hex(&rng.random::<[u8; 32]>())
}

fn random_secret(rng: &mut StdRng) -> String {
    bergamotvale_host::platform::hex(&rng.random::<[u8; SECRET_BYTES]>())
}
