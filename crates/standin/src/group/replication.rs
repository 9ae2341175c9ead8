//! Messages between targets and the thread of a target that carries them.
//!
//! A message waits in the receiver's inbox until its time of arrival, so that delay and lag cost
//! no throughput. Messages over a cut link are dropped at both ends; the next heartbeat finds the
//! gap and the sender goes back.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::log::{Entry, Index, Position, Term};
use super::target::Target;
use crate::sync::{lock, wait};

/// Messages that one inbox holds; more are dropped, as by a full socket.
const INBOX_LIMIT: usize = 65_536;
/// How often an idle thread looks whether it should end.
const IDLE_PERIOD: Duration = Duration::from_millis(50);

/// From a primary to a follower: entries, or none as a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Append {
    /// Number of the primary.
    pub(crate) from: usize,
    /// Its term.
    pub(crate) term: Term,
    /// Place of the entry before the first one sent.
    pub(crate) previous: Position,
    /// The entries.
    pub(crate) entries: Vec<Arc<Entry>>,
    /// Last index of the primary's log.
    pub(crate) last: Index,
    /// What the primary knows as confirmed.
    pub(crate) confirmed: Position,
    /// Latest time at which a majority is known to have followed the primary.
    pub(crate) authority: Option<Instant>,
    /// Time of sending.
    pub(crate) sent_at: Instant,
}

/// From a follower to a primary.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Number of the follower.
    pub(crate) from: usize,
    /// Rebuilds of the follower.
    pub(crate) incarnation: u64,
    /// Term of the message that is answered.
    pub(crate) term: Term,
    /// Accepted term of the follower.
    pub(crate) accepted_term: Term,
    /// Index up to which the logs are equal, if they matched.
    pub(crate) matched: Option<Index>,
    /// Last entry of the follower that may match, otherwise.
    pub(crate) last: Position,
    /// Whether the follower's acknowledgement counts.
    pub(crate) voter: bool,
    /// Time of sending of the message that is answered.
    pub(crate) sent_at: Instant,
}

/// A message between targets.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// From the primary.
    Append(Append),
    /// From a follower.
    Reply(Reply),
}

/// Messages on their way to a target.
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
    /// Delivers a message at a time.
    pub(crate) fn put(&self, at: Instant, message: Message) {
        let mut queue = lock(&self.queue);
        if queue.messages.len() >= INBOX_LIMIT {
            return;
        }
        queue.sequence += 1;
        let key = (at, queue.sequence);
        queue.messages.insert(key, message);
        self.changed.notify_one();
    }

    /// Ends the wait of the receiver: there is something to send.
    pub(crate) fn wake(&self) {
        lock(&self.queue).woken = true;
        self.changed.notify_one();
    }

    /// Drops what is on its way.
    pub(crate) fn clear(&self) {
        lock(&self.queue).messages.clear();
    }

    /// Waits for arrivals, a wake or the deadline; returns what has arrived.
    fn take(&self, deadline: Instant) -> Vec<Message> {
        let mut queue = lock(&self.queue);
        loop {
            let now = Instant::now();
            let first = queue.messages.first_key_value().map(|(key, _)| key.0);
            let until = first.map_or(deadline, |first| first.min(deadline));
            if queue.woken || until <= now {
                queue.woken = false;
                return queue.arrived(now);
            }
            queue = wait(&self.changed, queue, until - now);
        }
    }
}

impl Queue {
    fn arrived(&mut self, now: Instant) -> Vec<Message> {
        let later = self.messages.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.messages, later).into_values().collect()
    }
}

/// Carries messages of a target until its group ends.
pub(crate) fn run(target: &Target) {
    let mut heartbeat = Instant::now();
    while !target.group.ended() {
        let messages = target.inbox.take(heartbeat.min(Instant::now() + IDLE_PERIOD));
        if !target.switches.passes() {
            hold(target, &mut heartbeat);
            if !target.switches.running() {
                continue;
            }
        }
        for message in messages {
            handle(target, message);
        }
        let now = Instant::now();
        let due = now >= heartbeat;
        if due {
            heartbeat = now + target.group.heartbeat;
        }
        send(target, due);
    }
}

/// Waits while the target is paused; a killed target takes no messages.
fn hold(target: &Target, heartbeat: &mut Instant) {
    while target.switches.paused() && target.switches.running() && !target.group.ended() {
        std::thread::sleep(Duration::from_millis(1));
    }
    *heartbeat = Instant::now() + target.group.heartbeat;
    if !target.switches.running() {
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
    if target.group.cut(append.from, target.number) {
        return;
    }
    let (reply, effect) = lock(&target.state).receive(&append);
    if effect.restart {
        target.close_connections();
    }
    if effect.changed {
        target.changed.notify_all();
    }
    target.send(append.from, Message::Reply(reply));
}

fn handle_reply(target: &Target, reply: Reply) {
    if target.group.cut(reply.from, target.number) {
        return;
    }
    let confirmed = lock(&target.state).acknowledge(&reply, Instant::now());
    if confirmed {
        target.changed.notify_all();
        target.inbox.wake();
    }
}

/// Sends each follower its pending entries, and all of them a heartbeat when one is due.
fn send(target: &Target, heartbeat: bool) {
    let now = Instant::now();
    for follower in 0..target.group.size() {
        if follower == target.number {
            continue;
        }
        let mut state = lock(&target.state);
        if !state.leads() || !(heartbeat || state.pending(follower)) {
            continue;
        }
        let append = state.message(follower, now);
        drop(state);
        target.send(follower, Message::Append(append));
    }
}

/// Applies the log to the data of a replica until its group ends.
pub(crate) fn apply(target: &Target) {
    while !target.group.ended() {
        let state = lock(&target.state);
        if !target.switches.passes() || !state.behind() {
            drop(wait(&target.changed, state, IDLE_PERIOD));
            continue;
        }
        drop(state);
        target.apply_some();
    }
}
