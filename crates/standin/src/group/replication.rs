//! Replication messages between targets, and the threads that exchange them and apply the log.
//!
//! A message stays in the receiver's inbox until its time of arrival, so that delay and lag cost
//! no throughput. Messages over a partitioned link are dropped at both ends; the reply to the next
//! heartbeat reveals the gap, and the sender resends from there.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::log::{Entry, Index, Position, Term};
use super::target::Target;
use crate::sync::{lock, wait};

/// Further messages are dropped, as by a full socket buffer.
const MAX_INBOX_MESSAGES: usize = 65_536;
/// Longest wait of an idle thread before it checks again whether the group has ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Message from a primary to a follower; without entries it is a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Append {
    /// Target number of the primary.
    pub(crate) from: usize,
    /// Term of the primary.
    pub(crate) term: Term,
    /// Position of the entry before the first one in `entries`.
    pub(crate) previous: Position,
    pub(crate) entries: Vec<Arc<Entry>>,
    /// Last index of the primary's log.
    pub(crate) last_index: Index,
    /// Highest position that the primary knows to be confirmed.
    pub(crate) confirmed: Position,
    /// Latest time at which a majority is known to have followed the primary; none if not yet.
    pub(crate) majority_acknowledged_at: Option<Instant>,
    pub(crate) sent_at: Instant,
}

/// Reply of a follower to an `Append`.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Target number of the follower.
    pub(crate) from: usize,
    /// Number of rebuilds of the follower.
    pub(crate) incarnation: u64,
    /// Term of the `Append`.
    pub(crate) term: Term,
    /// Accepted term of the follower.
    pub(crate) accepted_term: Term,
    /// Index up to which the logs are equal; none when they differ at `Append::previous`.
    pub(crate) match_index: Option<Index>,
    /// Last entry of the follower that may match the primary's log; used if `match_index` is none.
    pub(crate) last_match_candidate: Position,
    /// Whether the acknowledgement counts towards a majority.
    pub(crate) voter: bool,
    /// Time at which the `Append` was sent.
    pub(crate) sent_at: Instant,
}

/// A message between targets.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Append(Append),
    Reply(Reply),
}

/// Messages in flight to a target, ordered by time of arrival.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    queue: Mutex<Queue>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Queue {
    messages: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
    woken: bool,
}

impl Inbox {
    /// Queues a message that arrives at `at`.
    pub(crate) fn deliver(&self, at: Instant, message: Message) {
        let mut queue = lock(&self.queue);
        if queue.messages.len() >= MAX_INBOX_MESSAGES {
            return;
        }
        queue.sequence += 1;
        let key = (at, queue.sequence);
        queue.messages.insert(key, message);
        self.changed.notify_one();
    }

    /// Interrupts the receiver's wait because there are entries to send.
    pub(crate) fn wake(&self) {
        lock(&self.queue).woken = true;
        self.changed.notify_one();
    }

    /// Drops all messages in flight.
    pub(crate) fn clear(&self) {
        lock(&self.queue).messages.clear();
    }

    /// Waits for an arrival, a wake-up or the deadline; returns the messages that have arrived.
    fn receive(&self, deadline: Instant) -> Vec<Message> {
        let mut queue = lock(&self.queue);
        loop {
            let now = Instant::now();
            let first_arrival = queue.messages.first_key_value().map(|(key, _)| key.0);
            let wake_at =
                first_arrival.map_or(deadline, |first_arrival| first_arrival.min(deadline));
            if queue.woken || wake_at <= now {
                queue.woken = false;
                return queue.take_arrived(now);
            }
            queue = wait(&self.changed, queue, wake_at - now);
        }
    }
}

impl Queue {
    fn take_arrived(&mut self, now: Instant) -> Vec<Message> {
        let later = self.messages.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.messages, later).into_values().collect()
    }
}

/// Exchanges the messages of a target until its group ends.
pub(crate) fn run(target: &Target) {
    let mut next_heartbeat = Instant::now();
    while !target.group.has_ended() {
        let messages =
            target.inbox.receive(next_heartbeat.min(Instant::now() + IDLE_POLL_INTERVAL));
        if !target.faults.is_active() {
            wait_while_paused(target, &mut next_heartbeat);
            if !target.faults.is_running() {
                continue;
            }
        }
        for message in messages {
            handle(target, message);
        }
        let now = Instant::now();
        let heartbeat_due = now >= next_heartbeat;
        if heartbeat_due {
            next_heartbeat = now + target.group.heartbeat_interval;
        }
        send_to_followers(target, heartbeat_due);
    }
}

/// Waits while the target is paused; drops the inbox if the target is down.
fn wait_while_paused(target: &Target, next_heartbeat: &mut Instant) {
    while target.faults.is_paused() && target.faults.is_running() && !target.group.has_ended() {
        std::thread::sleep(Duration::from_millis(1));
    }
    *next_heartbeat = Instant::now() + target.group.heartbeat_interval;
    if !target.faults.is_running() {
        target.inbox.clear();
    }
}

fn handle(target: &Target, message: Message) {
    match message {
        Message::Append(append) => handle_append(target, append),
        Message::Reply(reply) => handle_reply(target, reply),
    }
}

fn handle_append(target: &Target, append: Append) {
    if target.group.is_partitioned(append.from, target.number) {
        return;
    }
    let (reply, effect) = lock(&target.state).receive_append(&append);
    if effect.close_connections {
        target.close_connections();
    }
    if effect.notify {
        target.changed.notify_all();
    }
    target.send(append.from, Message::Reply(reply));
}

fn handle_reply(target: &Target, reply: Reply) {
    if target.group.is_partitioned(reply.from, target.number) {
        return;
    }
    let confirmed = lock(&target.state).receive_reply(&reply, Instant::now());
    if confirmed {
        target.changed.notify_all();
        target.inbox.wake();
    }
}

/// Sends each follower its pending entries; if a heartbeat is due, also followers without any get a
/// message.
fn send_to_followers(target: &Target, heartbeat: bool) {
    let now = Instant::now();
    for follower in 0..target.group.size() {
        if follower == target.number {
            continue;
        }
        let mut state = lock(&target.state);
        if !state.is_primary() || !(heartbeat || state.has_unsent(follower)) {
            continue;
        }
        let append = state.next_append(follower, now);
        drop(state);
        target.send(follower, Message::Append(append));
    }
}

/// Applies the log to the data of a replica until its group ends.
pub(crate) fn apply_log(target: &Target) {
    while !target.group.has_ended() {
        let state = lock(&target.state);
        if !target.faults.is_active() || !state.has_unapplied() {
            drop(wait(&target.changed, state, IDLE_POLL_INTERVAL));
            continue;
        }
        drop(state);
        target.apply_next_batch();
    }
}
