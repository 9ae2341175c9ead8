//! Datagrams between hosts: heartbeats, copies of the table of records and members, and loans of
//! rate tokens.
//!
//! Every message carries state that later messages repeat, so a lost datagram does no harm. A
//! heartbeat echoes the number of the receiver's last heartbeat and the time since it arrived. From
//! these the receiver computes a lower bound of the time at which the heartbeat was created; ages
//! in the heartbeat are counted from that bound and thus only overestimated.

use crate::boot_clock;
use crate::evacuation::{self, WireReport};
use crate::fleet::{copies, follow};
use crate::state::Host;
use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::proxy::evacuation::Report;
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::floor::{Observation, Position};
use bergamotvale_core::proxy::lease::{Attestation, Member};
use bergamotvale_core::proxy::record::{Fence, Term};
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::Replica;
use bergamotvale_core::rate::meter::LoanRequest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time between heartbeats in a small fleet.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of hosts up to which every host sends heartbeats at `HEARTBEAT_INTERVAL` and fetches
/// each change of a table at once, without batching.
pub const MAX_SMALL_FLEET: usize = 8;
/// Age of the renewal from which members attest their revision at the interval of small fleets: the
/// store may be away.
const MAX_ATTESTATION_PAUSE: Duration = Duration::from_millis(600);
/// Shortest time between two heartbeats to all members in a fleet that is not small.
const MIN_HEARTBEAT_SPACING: Duration = Duration::from_millis(100);
/// Sent heartbeats whose time of sending is kept to interpret echoes.
const MAX_SENT_HEARTBEATS: usize = 32;
/// Size limit of a datagram, for sending and receiving.
pub(super) const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Shortest time between two log lines about invalid datagrams; a flood of them would fill the log.
const INVALID_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// First byte of each datagram; differs between incompatible formats. Builds without it take the
/// byte for an unknown message and drop the datagram.
const DATAGRAM_FORMAT: u8 = 65;

/// A platform table that operators or targets write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// Configuration, written by operators.
    Catalog,
    /// Entries that targets write about themselves.
    Directory,
}

/// One host's state of a group, as it reports it to others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupReport {
    /// Newest fence that the sender knows.
    pub fence: Fence,
    /// The sender's view of the primary named under that fence.
    pub view: View,
    /// Term of the primary if the sender knows it to be established.
    pub established: Option<Term>,
    /// Age and position of the sender's newest observation of the primary. `None` without one, or
    /// if the sender leaves reports of positions to the host that renews the lease for others.
    pub observed: Option<(Duration, Position)>,
}

/// State that a host sends to every other member at an interval, and at once after some changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Revision and renewal age of the sender's lease.
    #[serde(rename = "vouch")]
    pub attestation: Attestation,
    /// Sequence number among the heartbeats of the sender's incarnation.
    pub number: u64,
    /// Number of the last heartbeat received from this receiver, and the time since it arrived.
    pub echo: Option<(u64, Duration)>,
    /// Newest revision known of each table that operators or targets write.
    pub newest: BTreeMap<Source, Revision>,
    /// Reports on groups by service.
    pub groups: BTreeMap<String, GroupReport>,
}

/// Content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Requests what has changed in the table of records and members since a revision; all of it if
    /// that is the default one.
    TableRequest { base: Revision },
    /// Part of a copy of the table of records and members.
    Table(copies::Part),
    /// What has changed in that table, for a peer that has asked for it.
    Difference(copies::WireDifference),
    /// Requests tokens of an account's rate.
    #[serde(rename = "Ask")]
    LoanRequest { host: HostId, account: AccountId, count: u32, sequence: u64 },
    /// Answers the loan request with the same sequence number; `count` may be 0.
    Loan { host: HostId, account: AccountId, count: u32, sequence: u64 },
    /// The evacuations that the sender knows of; follows each heartbeat once it knows of any.
    Evacuations(WireReport),
}

/// What this host has received from one peer.
#[derive(Debug, Default)]
struct Peer {
    /// Incarnation and number of the newest heartbeat, and when it arrived.
    last_heartbeat: Option<(u64, u64, Time)>,
    /// The peer's view of each group's primary, by service.
    views: BTreeMap<String, (Fence, View)>,
    /// When any heartbeat last arrived, also one that was overtaken.
    last_received: Time,
}

/// State of the other hosts, and of the exchange with them.
pub struct Peers {
    /// This host's copy of the table of records and members; peers receive copies of it.
    pub replica: RefCell<Replica<Bytes>>,
    /// Requests for what this host's copy lacks, and copies that have arrived in part.
    pub(super) copies: copies::Copies,
    /// Makes the next heartbeat go out to all members at once.
    pub heartbeat_now: Notify,
    /// Makes a heartbeat go out at once to the hosts that wait for this host to confirm a revision.
    pub confirm_now: Notify,
    /// Bound once [`receive`] runs; nothing is sent before.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    peers: RefCell<BTreeMap<HostId, Peer>>,
    /// Number of the last heartbeat sent.
    number: Cell<u64>,
    /// Numbers of the last heartbeats sent, and when.
    sent: RefCell<VecDeque<(u64, Time)>>,
    newest: RefCell<BTreeMap<Source, Revision>>,
    /// Unanswered loan requests, and when they were sent.
    loan_requests: RefCell<BTreeMap<(AccountId, HostId), (LoanRequest, Time)>>,
}

impl Peers {
    /// Creates the state of a host that has heard of no peer.
    pub fn new(host: HostId) -> Peers {
        Peers {
            replica: RefCell::default(),
            copies: copies::Copies::new(host),
            heartbeat_now: Notify::new(),
            confirm_now: Notify::new(),
            socket: RefCell::default(),
            peers: RefCell::default(),
            number: Cell::default(),
            sent: RefCell::default(),
            newest: RefCell::default(),
            loan_requests: RefCell::default(),
        }
    }

    /// Returns the views of the primary under `fence` that peers reported. Peers whose last
    /// heartbeat is older than `within`, or that know another fence, are left out.
    pub fn views(&self, service: &str, fence: Fence, within: Duration) -> BTreeMap<HostId, View> {
        let now = boot_clock::now();
        let peers = self.peers.borrow();
        let fresh =
            peers.iter().filter(|(_, peer)| now.saturating_sub(peer.last_received) <= within);
        fresh
            .filter_map(|(host, peer)| match peer.views.get(service) {
                Some((known, view)) if *known == fence => Some((*host, *view)),
                _ => None,
            })
            .collect()
    }

    /// Records that a table has changed at a revision.
    pub fn record_change(&self, source: Source, revision: Revision) {
        let mut newest = self.newest.borrow_mut();
        let known = newest.entry(source).or_default();
        *known = revision.max(*known);
    }

    /// Returns the newest revision of a table that this host or a peer has seen; 0 before any.
    pub fn newest_change(&self, source: Source) -> Revision {
        self.newest.borrow().get(&source).copied().unwrap_or_default()
    }

    /// Returns when the last heartbeat of a peer arrived; `None` if none has.
    pub fn last_received(&self, host: HostId) -> Option<Time> {
        self.peers.borrow().get(&host).map(|peer| peer.last_received)
    }

    /// Requests tokens of an account whose share runs short from the peers that the meter selects.
    pub fn request_loans(&self, host: &Host, account: AccountId) {
        let now = boot_clock::now();
        self.expire_loan_requests(host, now);
        let loan_requests = host.quota.meter.borrow_mut().loan_requests(account, now);
        for request in loan_requests {
            self.loan_requests.borrow_mut().insert((request.account, request.peer), (request, now));
            let LoanRequest { account, count, sequence, peer } = request;
            let message = Message::LoanRequest { host: host.id, account, count, sequence };
            if let Some(address) = peer_address(host, peer) {
                self.send(&message, address);
            }
        }
    }

    /// Treats requests without an answer as loans of no tokens once the lifetime of a loan is over.
    fn expire_loan_requests(&self, host: &Host, now: Time) {
        let lifetime = bergamotvale_core::rate::bucket::LOAN_LIFETIME;
        let mut loan_requests = self.loan_requests.borrow_mut();
        let expired: Vec<_> = loan_requests
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) > lifetime)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            if let Some((request, at)) = loan_requests.remove(&key) {
                host.quota.meter.borrow_mut().receive(request, 0, at, now);
            }
        }
    }

    pub(super) fn send(&self, message: &Message, address: SocketAddr) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        match postcard::to_extend(message, vec![DATAGRAM_FORMAT]) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => {
                // Not retried: the network may lose it as well, and a later message repeats the
                // state.
                if let Err(error) = socket.try_send_to(&bytes, address) {
                    log::debug!("cannot send a datagram to {address}: {error}");
                }
            }
            Ok(bytes) => log::warn!(
                "dropping a datagram of {} bytes to {address}: the limit is {MAX_DATAGRAM_BYTES} bytes",
                bytes.len()
            ),
            Err(error) => log::error!("cannot encode a datagram to {address}: {error}"),
        }
    }

    fn record_sent(&self, now: Time) -> u64 {
        let number = self.number.get() + 1;
        self.number.set(number);
        let mut sent = self.sent.borrow_mut();
        sent.push_back((number, now));
        if sent.len() > MAX_SENT_HEARTBEATS {
            sent.pop_front();
        }
        number
    }

    /// Returns a lower bound of the time at which a heartbeat with this echo was created. `None` if
    /// it echoes nothing, or a heartbeat whose time of sending is no longer known.
    fn earliest_creation(&self, echo: Option<(u64, Duration)>) -> Option<Time> {
        let (number, delay) = echo?;
        let sent = self.sent.borrow();
        let (_, at) = sent.iter().find(|(known, _)| *known == number)?;
        Some(*at + delay)
    }
}

fn peer_address(host: &Host, peer: HostId) -> Option<SocketAddr> {
    host.lease.borrow().members().get(&peer).map(|member| member.address)
}

/// Binds the socket and handles received datagrams until the process ends. Fails only if the socket
/// cannot be bound.
pub async fn receive(host: Rc<Host>) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(host.settings.listen.peers).await?);
    *host.peers.socket.borrow_mut() = Some(socket.clone());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_warning: Option<Instant> = None;
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("cannot receive a datagram: {error}");
                continue;
            }
        };
        let Some((&DATAGRAM_FORMAT, message)) = buffer[..length].split_first() else {
            host.metrics.count("datagrams_invalid");
            log::debug!("dropping a datagram of another format from {sender}");
            continue;
        };
        match postcard::from_bytes(message) {
            Ok(message) => handle_message(&host, message, sender),
            Err(error) => {
                host.metrics.count("datagrams_invalid");
                let is_due = last_warning.is_none_or(|at| at.elapsed() >= INVALID_LOG_INTERVAL);
                if is_due {
                    last_warning = Some(Instant::now());
                    log::warn!("dropping an invalid datagram from {sender}: {error}");
                }
            }
        }
    }
}

fn handle_message(host: &Rc<Host>, message: Message, sender: SocketAddr) {
    match message {
        Message::Heartbeat(heartbeat) => handle_heartbeat(host, heartbeat, sender),
        Message::TableRequest { base } => {
            copies::send_changes(host, base, sender);
            // The receiver needs the renewal of the new revision too, which the heartbeat carries.
            send_heartbeat(host, |_, member| member.address == sender);
        }
        Message::Table(part) => copies::handle_part(host, part),
        Message::Difference(difference) => copies::handle_difference(host, difference),
        Message::Evacuations(report) => {
            let created_after = host.peers.earliest_creation(report.echo);
            evacuation::adopt_report(host, report, created_after);
        }
        Message::LoanRequest { host: peer, account, count, sequence } => {
            let version = host.catalog.borrow().version;
            let request = TokenRequest { host: peer, account, count, version, sequence };
            let now = boot_clock::now();
            let count = host.quota.meter.borrow_mut().lend(&request, now);
            let loan = Message::Loan { host: host.id, account, count, sequence };
            host.peers.send(&loan, sender);
        }
        Message::Loan { host: peer, account, count, sequence } => {
            let known = host.peers.loan_requests.borrow_mut().remove(&(account, peer));
            if let Some((request, requested_at)) = known
                && request.sequence == sequence
            {
                let now = boot_clock::now();
                host.quota.meter.borrow_mut().receive(request, count, requested_at, now);
                host.changed.notify_waiters();
            }
        }
    }
}

fn handle_heartbeat(host: &Host, heartbeat: Heartbeat, sender: SocketAddr) {
    let now = boot_clock::now();
    let id = heartbeat.attestation.host;
    {
        let mut peers = host.peers.peers.borrow_mut();
        let peer = peers.entry(id).or_default();
        peer.last_received = now;
        let incarnation = heartbeat.attestation.incarnation;
        if peer
            .last_heartbeat
            .is_none_or(|(known, number, _)| known != incarnation || number < heartbeat.number)
        {
            peer.last_heartbeat = Some((incarnation, heartbeat.number, now));
        }
        peer.views = heartbeat.groups.iter().map(|(s, g)| (s.clone(), (g.fence, g.view))).collect();
    }
    copies::request_if_behind(host, &heartbeat.attestation, sender, now);
    for (source, revision) in &heartbeat.newest {
        host.peers.record_change(*source, *revision);
    }
    if let Some(era) = heartbeat.attestation.reconciled {
        host.record_era(era);
    }
    let Some(created_after) = host.peers.earliest_creation(heartbeat.echo) else { return };
    host.lease.borrow_mut().record_attestation(created_after, heartbeat.attestation);
    for (service, report) in heartbeat.groups {
        handle_group_report(host, &service, &report, created_after, now);
    }
    host.holds_lease();
    host.changed.notify_waiters();
}

fn handle_group_report(
    host: &Host,
    service: &str,
    report: &GroupReport,
    created_after: Time,
    now: Time,
) {
    if host.fence(service) != report.fence {
        return;
    }
    if let Some(term) = report.established {
        establish(host, service, report.fence, term);
    }
    if let Some((age, position)) = report.observed
        && let Some(at) = created_after.checked_sub(age)
    {
        let mut histories = host.histories.borrow_mut();
        let history = histories.entry(service.to_owned()).or_default();
        history.observe(now, Observation { at, position });
    }
}

/// Marks the record of a group as established in `term`, if it still is the one under `fence`. Only
/// this host's copy changes; the next heartbeat passes it on.
pub fn establish(host: &Host, service: &str, fence: Fence, term: Term) {
    let mut records = host.records.borrow_mut();
    if let Some(stored) = records.get_mut(service)
        && stored.record.fence == fence
        && !stored.record.established
    {
        stored.record = stored.record.establish(term);
        host.targets.record_primary(&stored.record.primary);
        host.changed.notify_waiters();
        let is_holder = stored.record.holder == host.id;
        if is_holder || is_small_fleet(host) {
            host.peers.heartbeat_now.notify_one();
        }
    }
}

/// Returns the time between heartbeats of an ordinary host. It grows with the fleet, so that a host
/// sends about as many datagrams a second in a fleet of any size.
pub fn heartbeat_interval(host: &Host) -> Duration {
    let count = host.lease.borrow().members().len();
    HEARTBEAT_INTERVAL * u32::try_from(count.div_ceil(MAX_SMALL_FLEET).max(1)).unwrap_or(1)
}

/// Returns the time between heartbeats of this host to all members. The host that renews the lease
/// for others, and passes on what it hears of a majority, keeps the short interval, because their
/// leases depend on its heartbeats.
fn own_interval(host: &Host) -> Duration {
    if follow::has_lowest_live_id(host) { HEARTBEAT_INTERVAL } else { heartbeat_interval(host) }
}

/// Attests this host's revision to the peer with the lowest id while the lease depends on a majority
/// of the members: that peer passes the majority's age on to all.
fn attest(host: &Host) {
    let now = boot_clock::now();
    let (is_renewed, collector) = {
        let lease = host.lease.borrow();
        let is_renewed = lease.renewal_age(now).is_some_and(|age| age <= MAX_ATTESTATION_PAUSE);
        (is_renewed, lease.live_peers(now, follow::MAX_RELAYED_RENEWAL_AGE).into_iter().min())
    };
    if is_renewed || is_small_fleet(host) {
        return;
    }
    if let Some(collector) = collector.filter(|id| *id < host.id) {
        send_heartbeat(host, |id, _| id == collector);
    }
}

/// Sends heartbeats until the process ends: to all members at an interval and after changes that
/// concern all, and in between to the hosts that wait for this host's confirmation.
pub async fn send_heartbeats(host: Rc<Host>) {
    loop {
        let next = tokio::time::Instant::now() + own_interval(&host);
        loop {
            let tick = next.min(tokio::time::Instant::now() + HEARTBEAT_INTERVAL);
            tokio::select! {
                biased;
                () = host.peers.heartbeat_now.notified() => break,
                () = host.peers.confirm_now.notified() => confirm(&host),
                () = tokio::time::sleep_until(tick), if tick < next => attest(&host),
                () = tokio::time::sleep_until(next) => break,
            }
        }
        send_heartbeat(&host, |_, _| true);
        if !is_small_fleet(&host) {
            tokio::time::sleep(MIN_HEARTBEAT_SPACING).await;
        }
    }
}

/// Whether the fleet is so small that every change is worth a heartbeat to all members.
pub fn is_small_fleet(host: &Host) -> bool {
    host.lease.borrow().members().len() <= MAX_SMALL_FLEET
}

/// Tells all members of a change at once in a small fleet, and in a larger one only those that wait
/// for this host's confirmation: a heartbeat of each host to each other one would fill the links.
pub fn notify_change(host: &Host) {
    if is_small_fleet(host) {
        host.peers.heartbeat_now.notify_one();
    } else {
        host.peers.confirm_now.notify_one();
    }
}

/// Sends a heartbeat to the holders of unfinished promotions.
fn confirm(host: &Host) {
    let records = host.records.borrow();
    let unfinished = records.values().filter(|stored| !stored.record.established);
    let holders: BTreeSet<HostId> = unfinished.map(|stored| stored.record.holder).collect();
    drop(records);
    if !holders.is_empty() {
        send_heartbeat(host, |id, _| holders.contains(&id));
    }
}

/// Sends a heartbeat to the members that `is_receiver` selects.
fn send_heartbeat(host: &Host, is_receiver: impl Fn(HostId, &Member) -> bool) {
    let now = boot_clock::now();
    let number = host.peers.record_sent(now);
    let quiesced_revision = host.quiesced_revision();
    let (attestation, members) = {
        let lease = host.lease.borrow();
        let attestation = Attestation {
            host: host.id,
            incarnation: host.incarnation,
            revision: lease.revision(),
            quiesced: quiesced_revision,
            renewal_age: lease.renewal_age(now),
            reconciled: host.reconciled.get(),
            majority_age: lease.majority_age(now),
        };
        (attestation, host.known_members())
    };
    let groups = group_reports(host, now);
    let newest = host.peers.newest.borrow().clone();
    let evacuations = host.evacuation.report(now);
    let receivers =
        members.iter().filter(|(id, member)| **id != host.id && is_receiver(**id, member));
    for (id, member) in receivers {
        let echo = host.peers.peers.borrow().get(id).and_then(|peer| {
            peer.last_heartbeat
                .filter(|(incarnation, _, _)| *incarnation == member.incarnation)
                .map(|(_, number, at)| (number, now.saturating_sub(at)))
        });
        let (newest, groups) = (newest.clone(), groups.clone());
        let heartbeat = Heartbeat { attestation, number, echo, newest, groups };
        host.peers.send(&Message::Heartbeat(heartbeat), member.address);
        if let Some(Report { revision, domains, unreadable }) = evacuations.clone() {
            let report = WireReport { echo, revision, domains, unreadable };
            host.peers.send(&Message::Evacuations(report), member.address);
        }
    }
}

fn group_reports(host: &Host, now: Time) -> BTreeMap<String, GroupReport> {
    let records = host.records.borrow();
    let histories = host.histories.borrow();
    // In a larger fleet the positions that the host with the most frequent heartbeats reports are
    // enough.
    let reports_positions = is_small_fleet(host) || follow::is_renewer(host);
    let report = |service: &String| {
        let record = &records[service].record;
        let newest = histories.get(service).and_then(|history| history.newest());
        let observed = newest.filter(|_| reports_positions);
        GroupReport {
            fence: record.fence,
            view: host.targets.view(&record.primary),
            established: record.established.then_some(record.term),
            observed: observed.map(|o| (now.saturating_sub(o.at), o.position)),
        }
    };
    records.keys().map(|service| (service.clone(), report(service))).collect()
}
