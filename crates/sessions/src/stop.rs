//! The planned stop of this process: what it still takes, and the order in which it ends.
//!
//! The times are those of [`bergamotvale_core::proxy::stop`].

use crate::event::Event;
use crate::fleet::member;
use crate::state::Host;
use bergamotvale_core::proxy::stop::Schedule;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time in which the store has to remove the member row of a stopping host.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the end of work in which the last answers are sent and the sessions closed.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between checks whether all sessions have ended.
const SESSION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Holds back tasks until it is opened, or lets them pass one by one.
#[derive(Debug, Default)]
pub struct Gate {
    open: Cell<bool>,
    notify: Notify,
}

impl Gate {
    /// Releases one waiting task, or the next one that waits.
    pub fn admit_one(&self) {
        self.notify.notify_one();
    }

    /// Releases all tasks that wait, now and later.
    pub fn open(&self) {
        self.open.set(true);
        self.notify.notify_waiters();
    }

    /// Whether the gate is open.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Waits until the gate is open or releases this task.
    pub async fn wait(&self) {
        if !self.open.get() {
            self.notify.notified().await;
        }
    }
}

/// State of the planned stop.
#[derive(Debug)]
pub struct Stop {
    schedule: Schedule,
    /// When the process was signalled to stop.
    began: Cell<Option<Instant>>,
    /// Releases idle sessions to be closed while the process stops.
    pub idle_close: Gate,
    /// Opens when all statements have to be answered.
    pub work_end: Gate,
}

impl Stop {
    /// Creates the state of a process that has not been signalled. It is killed `grace` after that.
    pub fn new(grace: Duration) -> Stop {
        Stop {
            schedule: Schedule::new(grace),
            began: Cell::new(None),
            idle_close: Gate::default(),
            work_end: Gate::default(),
        }
    }

    /// Whether the process has been signalled to stop.
    pub fn is_under_way(&self) -> bool {
        self.began.get().is_some()
    }

    /// Whether a new session or transaction may begin now.
    pub fn takes_sessions(&self) -> bool {
        self.began.get().is_none_or(|began| self.schedule.takes_sessions(began.elapsed()))
    }

    /// Whether a statement with this timeout may be sent to a target now.
    pub fn takes_statement(&self, timeout: Duration) -> bool {
        let fits = |began: Instant| self.schedule.takes_statement(began.elapsed(), timeout);
        !self.work_end.is_open() && self.began.get().is_none_or(fits)
    }
}

/// Stops the host: reports not ready at once, serves until the balancer has noticed, closes idle
/// sessions one after the other, ends all work and removes the member row.
pub async fn run(host: &Rc<Host>) {
    let began = Instant::now();
    let Stop { schedule, .. } = &host.stop;
    host.stop.began.set(Some(began));
    host.journal.write(&Event::Stopping { sessions: host.sessions.get() });
    tokio::time::sleep_until(began + schedule.notice_end()).await;
    close_idle_sessions(host, began + schedule.close_end()).await;
    wait_for_sessions(host, began + schedule.work_end()).await;
    host.stop.work_end.open();
    wait_for_sessions(host, Instant::now() + LAST_ANSWERS_TIMEOUT).await;
    if let Err(error) = member::remove_member(host, host.id, LEAVE_TIMEOUT).await {
        log::info!("cannot remove this host's member row: {error}");
    }
    host.journal.write(&Event::Stopped { sessions: host.sessions.get() });
}

async fn close_idle_sessions(host: &Host, deadline: Instant) {
    let count = host.sessions.get();
    let interval = host.stop.schedule.close_interval(count);
    for _ in 0..count {
        if Instant::now() >= deadline {
            break;
        }
        host.stop.idle_close.admit_one();
        tokio::time::sleep(interval).await;
    }
    host.stop.idle_close.open();
}

async fn wait_for_sessions(host: &Host, deadline: Instant) {
    let has_work = || host.sessions.get() > 0 || host.forward.active.get() > 0;
    while has_work() && Instant::now() < deadline {
        tokio::time::sleep(SESSION_POLL_INTERVAL).await;
    }
}
