//! Invariants of a write, checked over the trace of its state machine.

use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::Ran;
use bergamotvale_core::write::{Action, Event};

/// One step of a write's trace.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Input of the state machine.
    Event(Event),
    /// The statement of the last action was written to the connection.
    Sent,
    /// Output of the state machine.
    Action(Action),
}

/// Checks that an acknowledged position was confirmed in its own term before.
pub(crate) fn verify_acknowledgement_confirmed(trace: &[Step]) -> Result<(), String> {
    let mut confirmed: Option<Position> = None;
    for step in trace {
        match step {
            Step::Event(Event::Confirmed(position)) => confirmed = Some(*position),
            Step::Action(Action::Acknowledge(Some(p)) | Action::Replay(_, p)) => {
                let is_confirmed =
                    confirmed.is_some_and(|c| c.term == p.term && c.index >= p.index);
                if !is_confirmed {
                    return Err(format!("acknowledged {p}, confirmed {confirmed:?}"));
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// Checks that no refusal reports "not run" after a COMMIT was sent, unless the target answered
/// that it rolled back.
pub(crate) fn verify_not_run_true(trace: &[Step]) -> Result<(), String> {
    let mut commit_pending = false;
    let mut may_have_run = false;
    for step in trace {
        match step {
            Step::Action(action) => commit_pending = *action == Action::Commit,
            Step::Sent => may_have_run |= commit_pending,
            Step::Event(Event::Failed(failure, _)) if commit_pending => {
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

/// Checks that a write without an idempotency key is not sent again after its answer was lost.
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
