//! One host of the simulated fleet: drives the state machines of the core.

use super::{Defect, Envelope, Message};
use bergamotvale_core::authority::Holder;
use bergamotvale_core::change::{Action, Outcome, Reply, Writer};
use bergamotvale_core::config::{Document, Edit};
use bergamotvale_core::distribute::{self, Adoption, Author, Replica, Row};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::member::{self, Failure, HEARTBEAT_PERIOD, View};
use bergamotvale_core::peer::{Body, Heartbeat, Member, Update};
use bergamotvale_core::{key, maintenance, store};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);

type Outgoing = Vec<(Option<HostId>, Message)>;

pub(crate) struct Attempt {
    pub(crate) number: u64,
    pub(crate) writer: Writer,
    pub(crate) document: Document,
    pub(crate) body: Body,
    /// Requested edits, which are requested again when another change is accepted first.
    edits: Option<Vec<Edit>>,
    timer: Time,
    pub(crate) writing: bool,
}

pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) holder: Holder,
    pub(crate) replica: Replica,
    pub(crate) view: View,
    pub(crate) adoption: Adoption,
    pub(crate) paused: bool,
    pub(crate) deferred: Vec<Envelope>,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) outcomes: BTreeMap<u64, (Row, Outcome)>,
    pub(crate) defects: BTreeSet<Defect>,
    pub(crate) pending_edits: Vec<Vec<Edit>>,
    pub(crate) stopped: bool,
    last_edit_attempt: Option<u64>,
    number: u64,
    next_heartbeat: Time,
    next_poll: Time,
}

impl Node {
    pub(crate) fn new(member: Member, now: Time, defects: &BTreeSet<Defect>) -> Node {
        let mut holder = Holder::new(member.host, member.incarnation);
        if defects.contains(&Defect::NeverExpire) {
            holder = holder.with_validity(Duration::from_secs(3600));
        }
        Node {
            holder,
            replica: Replica::new(),
            view: View::new(member.host),
            adoption: Adoption::new(),
            paused: false,
            deferred: Vec::new(),
            attempt: None,
            outcomes: BTreeMap::new(),
            defects: defects.clone(),
            pending_edits: Vec::new(),
            stopped: false,
            last_edit_attempt: None,
            number: 0,
            next_heartbeat: now,
            next_poll: now,
            member,
        }
    }

    /// Whether the host has the authority to act on its epoch and isn't paused.
    pub(crate) fn is_active(&self, now: Time) -> bool {
        !self.paused && self.holder.is_held(now)
    }

    /// Whether the host accepts requests with the key.
    pub(crate) fn accepts_key(&self, now: Time, id: u64) -> bool {
        self.is_active(now) && !self.member.leaving && key::is_active(self.replica.document(), id)
    }

    /// Outcome of the last attempt to make requested edits on this host; `None` while it has none.
    pub(crate) fn outcome(&self) -> Option<Outcome> {
        self.last_edit_attempt.and_then(|n| self.outcomes.get(&n)).map(|(_, outcome)| *outcome)
    }

    pub(crate) fn heartbeat(&self, now: Time) -> Heartbeat {
        Heartbeat {
            member: self.member.clone(),
            version: self.replica.row().version,
            epoch: self.holder.epoch(),
            age: self.holder.age(now),
            announced: self
                .holder
                .announced()
                .filter(|_| !self.has_defect(Defect::ForgetAnnouncement)),
            silent: self.view.silent(now),
            opinions: BTreeMap::new(),
        }
    }

    pub(crate) fn record_refused(&mut self, host: HostId) {
        self.view.record_probe_failure(host, Failure::Refused);
    }

    pub(crate) fn tick(&mut self, now: Time) -> Outgoing {
        let mut outgoing = Outgoing::new();
        if self.stopped {
            return outgoing;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_PERIOD;
            let heartbeat = self.heartbeat(now);
            let message = Message::Heartbeat { sent: now, heartbeat };
            outgoing.extend(self.view.probes().iter().map(|m| (Some(m.host), message.clone())));
        }
        if now >= self.next_poll {
            self.next_poll = now + store::POLL_INTERVAL;
            outgoing.push((None, Message::Read { attempt: None, sent: now }));
        }
        self.stopped = self.member.leaving && !self.holder.is_recorded();
        self.begin_attempt(now);
        outgoing.extend(self.fire_timer(now));
        outgoing
    }

    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: Option<HostId>,
        message: Message,
    ) -> Outgoing {
        match message {
            Message::Heartbeat { sent, heartbeat } => {
                self.view.record_heartbeat(now, &heartbeat);
                let answer = Message::HeartbeatAnswer { sent, heartbeat: self.heartbeat(now) };
                let mut outgoing = vec![(from, answer)];
                outgoing.extend(self.catch_up(from, &heartbeat));
                outgoing
            }
            Message::HeartbeatAnswer { sent, heartbeat } => {
                self.view.record_heartbeat(now, &heartbeat);
                let mut answer = heartbeat.clone();
                let recorded = self.replica.row().members.get(&heartbeat.member.host);
                if let Some(m) = recorded.filter(|_| self.has_defect(Defect::AnyIncarnationVotes)) {
                    answer.member.incarnation = m.incarnation;
                    answer.epoch = self.holder.epoch();
                }
                self.holder.record_answer(sent, &answer);
                let member = &heartbeat.member;
                self.adoption.record_confirmed(member.host, member.incarnation, heartbeat.epoch);
                self.catch_up(from, &heartbeat)
            }
            Message::Announce { attempt, epoch } => {
                let acknowledged = self.holder.record_announcement(now, epoch);
                vec![(
                    from,
                    Message::AnnounceAnswer { attempt, acknowledged, epoch: self.holder.epoch() },
                )]
            }
            Message::Push(update) => self.adopt(now, update.origin, update.row, update.body),
            Message::Fetch { epoch, version } => {
                let update = self.replica.update(self.member.host, epoch, version);
                update.map(|update| (from, Message::Push(update))).into_iter().collect()
            }
            Message::ReadAnswer { attempt: None, sent, row } => self.record_poll(now, sent, row),
            other => self.advance(now, from, other),
        }
    }

    fn has_defect(&self, defect: Defect) -> bool {
        self.defects.contains(&defect)
    }

    fn catch_up(&self, from: Option<HostId>, heartbeat: &Heartbeat) -> Outgoing {
        let (epoch, version) = (self.holder.epoch(), self.replica.row().version);
        if heartbeat.epoch <= epoch {
            return Outgoing::new();
        }
        vec![(from, Message::Fetch { epoch, version })]
    }

    fn record_poll(&mut self, now: Time, sent: Time, found: Option<(Row, Document)>) -> Outgoing {
        let Some((row, document)) = found else {
            return Outgoing::new();
        };
        self.holder.record_read(sent, row.epoch);
        if self.has_defect(Defect::LateReadOverwrites) && row.epoch < self.replica.row().epoch {
            self.replica = Replica::new();
        }
        self.adopt(now, self.member.host, row, Body::Whole(document))
    }

    fn adopt(&mut self, now: Time, origin: HostId, row: Row, body: Body) -> Outgoing {
        let previous = self.replica.row().clone();
        if self.replica.adopt(row.clone(), body.clone()).is_err() {
            return Outgoing::new();
        }
        self.holder.adopt(row.epoch, &row.members, member::voters(&row.members));
        self.view.record_members(now, &row.members);
        self.adoption.record_accepted(now, &row, &previous, self.member.host);
        let own = self.member.host;
        let children = distribute::children(&row.members, origin, own, distribute::FAN_OUT);
        let update = Update { origin, row, body };
        if origin == own && self.attempt.is_none() {
            return Outgoing::new();
        }
        children.into_iter().map(|to| (Some(to), Message::Push(update.clone()))).collect()
    }

    /// Starts an attempt if none is in progress and there is a maintenance task, a departure or a
    /// requested edit.
    fn begin_attempt(&mut self, now: Time) {
        if self.attempt.is_some() || (self.replica.row().epoch == 0 && self.next_poll == now) {
            return;
        }
        let row = self.replica.row();
        let own = (self.member.host, self.member.incarnation);
        let author = Author { host: own.0, incarnation: own.1, attempt: self.number + 1 };
        let next = row.successor(author);
        let task = maintenance::due_task(now, &self.member, &self.holder, &self.view, row);
        let mut requested = None;
        let (row, document, body) = if let Some(task) = task {
            (task.apply(next, &self.member), self.replica.document().clone(), Body::None)
        } else if self.member.leaving && row.members.contains_key(&self.member.host) {
            let document = self.replica.document().clone();
            (next.without_member(self.member.host), document, Body::None)
        } else if let Some(edits) = self.pending_edits.pop() {
            requested = Some(edits.clone());
            let Ok((change, document)) = self.replica.propose(edits) else { return };
            self.last_edit_attempt = Some(self.number + 1);
            (next.with_config(change.version, "digest"), document, Body::Change(change))
        } else {
            return;
        };
        let (row, document, body) = if row.epoch == 1 && row.version == 0 {
            (row.with_config(1, "digest"), super::document(), Body::Whole(super::document()))
        } else {
            (row, document, body)
        };
        self.number += 1;
        let base = member::voters(&self.replica.row().members);
        let voters = base.into_keys().collect();
        let writer = Writer::new(row, author, voters, now + store::CHANGE_TIMEOUT);
        let number = self.number;
        let edits = requested;
        let (timer, writing) = (now, false);
        self.attempt = Some(Attempt { number, writer, document, body, edits, timer, writing });
    }

    fn fire_timer(&mut self, now: Time) -> Outgoing {
        let Some(attempt) = &mut self.attempt else { return Outgoing::new() };
        if now < attempt.timer {
            return Outgoing::new();
        }
        let action = if attempt.writing {
            attempt.writer.record_write(now, Reply::Lost)
        } else if self.defects.contains(&Defect::SkipAnnouncement) {
            Action::Write
        } else {
            attempt.writer.finish_announcements(now)
        };
        self.perform(now, action)
    }

    /// Passes an answer to the attempt that requested it and performs the resulting action.
    fn advance(&mut self, now: Time, from: Option<HostId>, message: Message) -> Outgoing {
        let Some(attempt) = &mut self.attempt else { return Outgoing::new() };
        let action = match message {
            Message::AnnounceAnswer { attempt: number, acknowledged, epoch }
                if number == attempt.number =>
            {
                if acknowledged {
                    attempt.writer.record_acknowledgement(from.unwrap());
                }
                attempt.writer.observe_epoch(epoch)
            }
            Message::WriteAnswer { attempt: number, accepted, row } if number == attempt.number => {
                let reply =
                    if accepted { Reply::Accepted } else { Reply::Conflict(row.map(Box::new)) };
                Some(attempt.writer.record_write(now, reply))
            }
            Message::ReadAnswer { attempt: Some(number), row, .. } if number == attempt.number => {
                Some(attempt.writer.record_read(now, row.as_ref().map(|(row, _)| row)))
            }
            _ => None,
        };
        action.map(|action| self.perform(now, action)).unwrap_or_default()
    }

    fn perform(&mut self, now: Time, action: Action) -> Outgoing {
        let Some(attempt) = &mut self.attempt else { return Outgoing::new() };
        let number = attempt.number;
        let row = attempt.writer.row().clone();
        match action {
            Action::Announce(voters) => {
                attempt.timer = now + ANNOUNCE_TIMEOUT;
                if voters.contains(&self.member.host)
                    && self.holder.record_announcement(now, row.epoch)
                {
                    attempt.writer.record_acknowledgement(self.member.host);
                }
                let message = Message::Announce { attempt: number, epoch: row.epoch };
                let others = voters.into_iter().filter(|v| *v != self.member.host);
                others.map(|voter| (Some(voter), message.clone())).collect()
            }
            Action::Write => {
                attempt.writing = true;
                attempt.timer = now + store::WRITE_TIMEOUT;
                let document = attempt.document.clone();
                vec![(None, Message::Write { attempt: number, row, document })]
            }
            Action::ReadBack => {
                attempt.timer = now + store::READ_TIMEOUT;
                vec![(None, Message::Read { attempt: Some(number), sent: now })]
            }
            Action::Finish(outcome) => self.finish(now, outcome),
        }
    }

    fn finish(&mut self, now: Time, outcome: Outcome) -> Outgoing {
        let attempt = self.attempt.as_ref().unwrap();
        let row = attempt.writer.row().clone();
        let reported = match outcome {
            Outcome::Unknown | Outcome::Overtaken
                if self.has_defect(Defect::ReportLostAsAccepted) =>
            {
                Outcome::Accepted
            }
            other => other,
        };
        self.outcomes.insert(attempt.number, (row.clone(), reported));
        let body = attempt.body.clone();
        if outcome == Outcome::Overtaken {
            self.pending_edits.extend(attempt.edits.clone());
        }
        let outgoing = match outcome {
            Outcome::Accepted => self.adopt(now, self.member.host, row, body),
            _ => Outgoing::new(),
        };
        self.attempt = None;
        outgoing
    }
}
