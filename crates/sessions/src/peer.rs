//! Datagrams between hosts.
//!
//! Everything that hosts tell each other is state that the next message repeats, so a lost datagram
//! does no harm. A heartbeat echoes the number of the receiver's last heartbeat and how long ago it
//! came: so the receiver knows a time before which the heartbeat cannot have been made, and all ages
//! in it err upwards.

use crate::boot_clock;
use crate::follow::{self, Table};
use crate::state::Host;
use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::floor::{Observation, Position};
use bergamotvale_core::proxy::lease::{Attestation, Revision};
use bergamotvale_core::proxy::record::{Fence, Term};
use bergamotvale_core::rate::meter::LoanRequest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Time between heartbeats among a few hosts.
const INTERVAL: Duration = Duration::from_millis(200);
/// Hosts up to which heartbeats come at [`INTERVAL`] and every change is fetched as soon as it shows.
pub const FEW: usize = 8;
/// Heartbeats whose time of sending is remembered for echoes.
const REMEMBERED: usize = 32;
/// Least time between two copies of the table sent to the same peer.
const TABLE_INTERVAL: Duration = Duration::from_millis(300);
/// Largest datagram.
const MAX_DATAGRAM: usize = 60 << 10;

/// A table that operators or targets write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The configuration.
    Catalog,
    /// The targets' entries.
    Directory,
}

/// What one host tells another of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupWord {
    /// Its fence.
    pub fence: Fence,
    /// The host's view of the primary named under that fence.
    pub view: View,
    /// Term of the primary, if the record is known to be established.
    pub established: Option<Term>,
    /// Age and position of the newest observation.
    pub observed: Option<(Duration, Position)>,
}

/// A heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Beat {
    /// The sender's lease.
    pub vouch: Attestation,
    /// Number of this heartbeat among the sender's.
    pub number: u64,
    /// Number of the receiver's last heartbeat, and how long ago it came.
    pub echo: Option<(u64, Duration)>,
    /// Newest changes of tables that the sender knows of.
    pub newest: BTreeMap<Source, Revision>,
    /// Groups by service.
    pub groups: BTreeMap<String, GroupWord>,
}

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Beat(Beat),
    /// A copy of the table, for a peer that is behind.
    Table {
        revision: Revision,
        rows: Vec<(String, Vec<u8>, Revision)>,
    },
    /// Asks for tokens of an account's rate.
    Ask {
        host: HostId,
        account: AccountId,
        count: u32,
        sequence: u64,
    },
    /// Answers an ask.
    Loan {
        host: HostId,
        account: AccountId,
        count: u32,
        sequence: u64,
    },
}

/// What is remembered of one peer.
#[derive(Debug, Default)]
struct Peer {
    last: Option<(u64, u64, Time)>,
    views: BTreeMap<String, (Fence, View)>,
    heard: Time,
    table_sent: Time,
}

/// Other hosts.
#[derive(Default)]
pub struct Peers {
    /// Copy of the table of records and members.
    pub table: RefCell<Table>,
    /// Asks for a heartbeat at once.
    pub beat_now: Notify,
    /// Opens when idle sessions are to be closed.
    pub idle_close: Gate,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    peers: RefCell<BTreeMap<HostId, Peer>>,
    number: Cell<u64>,
    sent: RefCell<VecDeque<(u64, Time)>>,
    newest: RefCell<BTreeMap<Source, Revision>>,
    asks: RefCell<BTreeMap<(AccountId, HostId), (LoanRequest, Time)>>,
}

/// A door that opens once for some, then for all.
#[derive(Default)]
pub struct Gate {
    open: Cell<bool>,
    notify: Notify,
}

impl Gate {
    /// Lets one waiter through.
    pub fn admit_one(&self) {
        self.notify.notify_one();
    }

    /// Lets all through, now and later.
    pub fn open(&self) {
        self.open.set(true);
        self.notify.notify_waiters();
    }

    /// Waits to be let through.
    pub async fn wait(&self) {
        if !self.open.get() {
            self.notify.notified().await;
        }
    }
}

impl Peers {
    /// Peers' views of the primary under `fence`, of those heard within `within`.
    pub fn views(&self, service: &str, fence: Fence, within: Duration) -> BTreeMap<HostId, View> {
        let now = boot_clock::now();
        let peers = self.peers.borrow();
        let fresh = peers.iter().filter(|(_, peer)| now.saturating_sub(peer.heard) <= within);
        fresh
            .filter_map(|(host, peer)| match peer.views.get(service) {
                Some((known, view)) if *known == fence => Some((*host, *view)),
                _ => None,
            })
            .collect()
    }

    /// Notes that a table has changed at a revision.
    pub fn note_change(&self, source: Source, revision: Revision) {
        let mut newest = self.newest.borrow_mut();
        let known = newest.entry(source).or_default();
        *known = revision.max(*known);
    }

    /// Newest change of a table that this host or a peer has seen.
    pub fn newest_change(&self, source: Source) -> Revision {
        self.newest.borrow().get(&source).copied().unwrap_or_default()
    }

    /// Time at which a peer was last heard of.
    pub fn heard(&self, host: HostId) -> Option<Time> {
        self.peers.borrow().get(&host).map(|peer| peer.heard)
    }

    /// Asks peers for tokens of an account that runs short.
    pub fn request_loans(&self, host: &Host, account: AccountId) {
        let now = boot_clock::now();
        self.expire_asks(host, now);
        let asks = host.quota.meter.borrow_mut().loan_requests(account, now);
        for ask in asks {
            self.asks.borrow_mut().insert((ask.account, ask.peer), (ask, now));
            let LoanRequest { account, count, sequence, peer } = ask;
            let message = Message::Ask { host: host.id, account, count, sequence };
            if let Some(address) = address(host, peer) {
                self.send(&message, address);
            }
        }
    }

    /// Gives up asks that were not answered.
    fn expire_asks(&self, host: &Host, now: Time) {
        let limit = bergamotvale_core::rate::bucket::LOAN_LIFETIME;
        let mut asks = self.asks.borrow_mut();
        let late: Vec<_> = asks
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) > limit)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            if let Some((ask, at)) = asks.remove(&key) {
                host.quota.meter.borrow_mut().receive(ask, 0, at, now);
            }
        }
    }

    fn send(&self, message: &Message, address: SocketAddr) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => {
                // A full link drops datagrams too; the next message repeats the state.
                if let Err(error) = socket.try_send_to(&bytes, address) {
                    log::debug!("datagram to {address} not sent: {error}");
                }
            }
            Ok(bytes) => log::warn!("datagram of {} bytes is too large", bytes.len()),
            Err(error) => log::error!("datagram cannot be encoded: {error}"),
        }
    }

    fn remember_sent(&self, now: Time) -> u64 {
        let number = self.number.get() + 1;
        self.number.set(number);
        let mut sent = self.sent.borrow_mut();
        sent.push_back((number, now));
        if sent.len() > REMEMBERED {
            sent.pop_front();
        }
        number
    }

    /// Time before which a heartbeat with this echo cannot have been made.
    fn made_after(&self, echo: Option<(u64, Duration)>) -> Option<Time> {
        let (number, delay) = echo?;
        let sent = self.sent.borrow();
        let (_, at) = sent.iter().find(|(known, _)| *known == number)?;
        Some(*at + delay)
    }
}

fn address(host: &Host, peer: HostId) -> Option<SocketAddr> {
    host.lease.borrow().members().get(&peer).map(|member| member.address)
}

/// Opens the socket and receives datagrams until the process ends.
pub async fn receive(host: Rc<Host>) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(host.settings.listen.peers).await?);
    *host.peers.socket.borrow_mut() = Some(socket.clone());
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("a datagram could not be delivered: {error}");
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => take(&host, message, from),
            Err(error) => log::warn!("unreadable datagram from {from}: {error}"),
        }
    }
}

fn take(host: &Host, message: Message, from: SocketAddr) {
    match message {
        Message::Beat(beat) => take_beat(host, beat, from),
        Message::Table { revision, rows } => take_table(host, revision, rows),
        Message::Ask { host: peer, account, count, sequence } => {
            let version = host.catalog.borrow().version;
            let request = TokenRequest { host: peer, account, count, version, sequence };
            let now = boot_clock::now();
            let count = host.quota.meter.borrow_mut().lend(&request, now);
            let loan = Message::Loan { host: host.id, account, count, sequence };
            host.peers.send(&loan, from);
        }
        Message::Loan { host: peer, account, count, sequence } => {
            let known = host.peers.asks.borrow_mut().remove(&(account, peer));
            if let Some((ask, asked)) = known
                && ask.sequence == sequence
            {
                let now = boot_clock::now();
                host.quota.meter.borrow_mut().receive(ask, count, asked, now);
                host.changed.notify_waiters();
            }
        }
    }
}

fn take_beat(host: &Host, beat: Beat, from: SocketAddr) {
    let now = boot_clock::now();
    let id = beat.vouch.host;
    let is_behind = beat.vouch.revision < host.lease.borrow().revision();
    let sends_table = {
        let mut peers = host.peers.peers.borrow_mut();
        let peer = peers.entry(id).or_default();
        peer.heard = now;
        let run = beat.vouch.incarnation;
        if peer.last.is_none_or(|(known, number, _)| known != run || number < beat.number) {
            peer.last = Some((run, beat.number, now));
        }
        peer.views = beat.groups.iter().map(|(s, g)| (s.clone(), (g.fence, g.view))).collect();
        let sends = is_behind && now.saturating_sub(peer.table_sent) > TABLE_INTERVAL;
        if sends {
            peer.table_sent = now;
        }
        sends
    };
    if sends_table {
        send_table(host, from);
    }
    for (source, revision) in &beat.newest {
        host.peers.note_change(*source, *revision);
    }
    let Some(made) = host.peers.made_after(beat.echo) else { return };
    host.lease.borrow_mut().record_attestation(made, beat.vouch);
    for (service, word) in beat.groups {
        take_word(host, &service, &word, made, now);
    }
    host.holds_lease();
    host.changed.notify_waiters();
}

fn take_word(host: &Host, service: &str, word: &GroupWord, made: Time, now: Time) {
    if host.fence(service) != word.fence {
        return;
    }
    if let Some(term) = word.established {
        establish(host, service, word.fence, term);
    }
    if let Some((age, position)) = word.observed
        && let Some(at) = made.checked_sub(age)
    {
        let mut histories = host.histories.borrow_mut();
        let history = histories.entry(service.to_owned()).or_default();
        history.observe(now, Observation { at, position });
    }
}

/// Takes it that the candidate under `fence` was seen to lead.
pub fn establish(host: &Host, service: &str, fence: Fence, term: Term) {
    let mut records = host.records.borrow_mut();
    if let Some(stored) = records.get_mut(service)
        && stored.record.fence == fence
        && !stored.record.established
    {
        stored.record = stored.record.establish(term);
        host.targets.record_primary(&stored.record.primary);
        host.changed.notify_waiters();
        host.peers.beat_now.notify_one();
    }
}

fn take_table(host: &Host, revision: Revision, rows: Vec<(String, Vec<u8>, Revision)>) {
    {
        let mut table = host.peers.table.borrow_mut();
        if revision <= table.revision {
            return;
        }
        table.revision = revision;
        table.rows =
            rows.into_iter().map(|(key, value, at)| (key, (Bytes::from(value), at))).collect();
    }
    host.metrics.count("tables_from_peers");
    follow::adopt_table(host);
    host.changed.notify_waiters();
}

fn send_table(host: &Host, address: SocketAddr) {
    let table = host.peers.table.borrow();
    let rows = table
        .rows
        .iter()
        .map(|(key, (value, revision))| (key.clone(), value.to_vec(), *revision))
        .collect();
    host.peers.send(&Message::Table { revision: table.revision, rows }, address);
    // The proof that goes with the new revision travels in the heartbeat.
    host.peers.beat_now.notify_one();
}

/// Time between heartbeats of most hosts: each sends about as many datagrams a second in a fleet of
/// any size.
pub fn interval(host: &Host) -> Duration {
    let count = host.lease.borrow().members().len();
    INTERVAL * u32::try_from(count.div_ceil(FEW).max(1)).unwrap_or(1)
}

/// Time between heartbeats of this host. Others' leases rest on the one that proves them.
fn own_interval(host: &Host) -> Duration {
    if follow::is_prover(host) { INTERVAL } else { interval(host) }
}

/// Sends heartbeats until the process ends.
pub async fn beat(host: Rc<Host>) {
    loop {
        drop(tokio::time::timeout(own_interval(&host), host.peers.beat_now.notified()).await);
        send_beats(&host);
    }
}

fn send_beats(host: &Host) {
    let now = boot_clock::now();
    let number = host.peers.remember_sent(now);
    let settled = host.settled();
    let (vouch, members) = {
        let lease = host.lease.borrow();
        let vouch = Attestation {
            host: host.id,
            incarnation: host.incarnation,
            revision: lease.revision(),
            quiesced: settled,
            renewal_age: lease.renewal_age(now),
        };
        (vouch, lease.members().clone())
    };
    let groups = words(host, now);
    let newest = host.peers.newest.borrow().clone();
    for (id, member) in members.iter().filter(|(id, _)| **id != host.id) {
        let echo = host.peers.peers.borrow().get(id).and_then(|peer| {
            peer.last
                .filter(|(run, _, _)| *run == member.incarnation)
                .map(|(_, number, at)| (number, now.saturating_sub(at)))
        });
        let (newest, groups) = (newest.clone(), groups.clone());
        let beat = Beat { vouch, number, echo, newest, groups };
        host.peers.send(&Message::Beat(beat), member.address);
    }
}

fn words(host: &Host, now: Time) -> BTreeMap<String, GroupWord> {
    let records = host.records.borrow();
    let histories = host.histories.borrow();
    // In a larger fleet those of the host that beats most often are enough.
    let is_small = host.lease.borrow().members().len() <= FEW;
    let tells_positions = is_small || follow::is_prover(host);
    let word = |service: &String| {
        let record = &records[service].record;
        let newest = histories.get(service).and_then(|history| history.newest());
        let observed = newest.filter(|_| tells_positions);
        GroupWord {
            fence: record.fence,
            view: host.targets.view(&record.primary),
            established: record.established.then_some(record.term),
            observed: observed.map(|o| (now.saturating_sub(o.at), o.position)),
        }
    };
    records.keys().map(|service| (service.clone(), word(service))).collect()
}
