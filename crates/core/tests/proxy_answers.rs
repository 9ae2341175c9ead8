//! Error codes for every way in which a statement can end, and the steps that prepare a shared
//! connection for a session.

use bergamotvale_core::proxy::answer::{Code, Effect, Outcome, Sent, response_code};
use bergamotvale_core::proxy::session::{ConnectionState, Session, Step};
use bergamotvale_core::proxy::statement::{Access, Shape};

const OUTCOMES: [Outcome; 12] = [
    Outcome::Error(Code::Busy),
    Outcome::Error(Code::Aborted),
    Outcome::Error(Code::Lagging),
    Outcome::Error(Code::ReadOnly),
    Outcome::Error(Code::Timeout),
    Outcome::Error(Code::Failed),
    Outcome::Error(Code::UnknownStatement),
    Outcome::Error(Code::TooManyConnections),
    Outcome::NoResponse,
    Outcome::Unverified,
    Outcome::NotAttempted,
    Outcome::NotFresh,
];

#[test]
fn what_may_be_kept_is_never_promised_away() {
    for outcome in [Outcome::NoResponse, Outcome::Unverified] {
        for in_transaction in [false, true] {
            let code = response_code(Effect::Lasting, in_transaction, Sent::Maybe, outcome);
            assert_eq!(code, Code::Unknown, "{outcome:?}");
        }
    }
}

#[test]
fn what_reached_no_target_is_a_promise() {
    for effect in [Effect::None, Effect::Lasting] {
        for in_transaction in [false, true] {
            for outcome in [Outcome::NoResponse, Outcome::NotAttempted, Outcome::NotFresh] {
                let code = response_code(effect, in_transaction, Sent::No, outcome);
                assert!(code.guarantees_no_effect(), "{effect:?} {outcome:?} {code}");
            }
        }
    }
}

#[test]
fn a_read_that_was_lost_is_a_promise() {
    assert_eq!(response_code(Effect::None, false, Sent::Maybe, Outcome::NoResponse), Code::Busy);
    assert_eq!(response_code(Effect::None, true, Sent::Maybe, Outcome::NoResponse), Code::Aborted);
}

#[test]
fn callers_never_hear_of_names_that_they_did_not_choose() {
    for outcome in OUTCOMES {
        for in_transaction in [false, true] {
            let code = response_code(Effect::None, in_transaction, Sent::Maybe, outcome);
            assert_ne!(code, Code::UnknownStatement);
            assert_ne!(code, Code::Malformed);
        }
    }
}

fn shape(text: &str) -> Shape {
    Shape { access: Access::Read, text: text.into() }
}

#[test]
fn a_connection_is_brought_to_the_sessions_values_and_no_others() {
    let mut connection = ConnectionState::default();
    connection.apply(&Step::Set("zone".into(), "a".into()));
    connection.apply(&Step::Prepare(shape("q")));
    let mut session = Session::default();
    session.values.insert("unit".into(), "m".into());
    let steps = connection.steps(&session.values, Some(&shape("q")));
    let expected = [Step::Reset, Step::Set("unit".into(), "m".into()), Step::Prepare(shape("q"))];
    assert_eq!(steps, expected);
}

#[test]
fn a_connection_that_matches_needs_no_step() {
    let mut connection = ConnectionState::default();
    connection.apply(&Step::Set("unit".into(), "m".into()));
    connection.apply(&Step::Prepare(shape("q")));
    let values = connection.values.clone();
    assert!(connection.steps(&values, Some(&shape("q"))).is_empty());
    let steps = connection.steps(&values, Some(&shape("p")));
    assert_eq!(steps, [Step::Prepare(shape("p"))]);
}

#[test]
fn after_any_steps_the_connection_holds_just_the_sessions_values() {
    let names = ["a", "b", "c"];
    for before in 0..8_u32 {
        for after in 0..8_u32 {
            let values = |bits: u32, value: &str| {
                let set = (0..3).filter(|i| bits & (1 << i) != 0);
                set.map(|i| (names[i as usize].to_owned(), value.to_owned())).collect()
            };
            let mut connection =
                ConnectionState { values: values(before, "1"), ..ConnectionState::default() };
            let wanted = values(after, "2");
            for step in connection.steps(&wanted, None) {
                connection.apply(&step);
            }
            assert_eq!(connection.values, wanted);
        }
    }
}
