//! The invariants of a write, stated over its trace.

use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::Ran;
use bergamotvale_core::write::{Action, Event};

/// One step of a write's trace.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// What the machine was told.
    Event(Event),
    /// The bytes of the last action were handed to the connection.
    Sent,
    /// What the machine answered.
    Action(Action),
}

/// An acknowledged position was confirmed in its own term.
pub(crate) fn verify_acknowledgement_confirmed(trace: &[Step]) -> Result<(), String> {
    let mut confirmed: Option<Position> = None;
    for step in trace {
        match step {
            Step::Event(Event::Confirmed(position)) => confirmed = Some(*position),
            Step::Action(Action::Acknowledge(Some(p)) | Action::Replay(_, p)) => {
                let holds = confirmed.is_some_and(|c| c.term == p.term && c.index >= p.index);
                if !holds {
                    return Err(format!("acknowledged {p}, confirmed {confirmed:?}"));
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// A refusal that says "not run" follows no COMMIT whose outcome the target did not deny.
pub(crate) fn verify_not_run_true(trace: &[Step]) -> Result<(), String> {
    let mut commit_due = false;
    let mut may_have_run = false;
    for step in trace {
        match step {
            Step::Action(action) => commit_due = *action == Action::Commit,
            Step::Sent => may_have_run |= commit_due,
            Step::Event(Event::Failed(failure, _)) if commit_due => {
                may_have_run &= !failure.proves_rollback();
            }
            Step::Event(_) => {}
        }
        if let Step::Action(Action::Refuse(refusal)) = step
            && refusal.ran == Ran::No
            && may_have_run
        {
            return Err(format!("false \"not run\": {refusal}"));
        }
    }
    Ok(())
}

/// A write without an idempotency key is not sent again after a lost answer.
pub(crate) fn verify_unkeyed_sent_once(trace: &[Step]) -> Result<(), String> {
    let mut sent = false;
    let mut lost = false;
    for step in trace {
        match step {
            Step::Sent => sent = true,
            Step::Event(Event::ConnectionLost | Event::TimedOut) => lost |= sent,
            Step::Event(Event::Failed(..)) if !lost => sent = false,
            Step::Action(Action::Execute) if lost => return Err("sent again".into()),
            _ => {}
        }
    }
    Ok(())
}
