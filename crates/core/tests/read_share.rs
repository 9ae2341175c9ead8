//! Which reads count towards the replicas' share: those for which a replica is fresh enough.

use bergamotvale_core::id::{TargetId, Time};
use bergamotvale_core::log::Position;
use bergamotvale_core::route::{Requirement, Role, View, counts_towards_replica_share};
use bergamotvale_core::statement::Freshness;
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Time = Time::from_secs(10);
const ONE_SECOND: Freshness = Freshness::MaxAge(Duration::from_secs(1));

/// A target whose data was `age` old when it was observed `since_observed` ago.
fn view(role: Role, age: Duration, since_observed: Duration) -> View {
    View {
        role,
        applied: Position::new(1, 1),
        age,
        observed: NOW - since_observed,
        in_flight: 0,
        failure_domain: 0,
        ejected: false,
        suspect: false,
        draining: false,
    }
}

fn counts(freshness: Freshness, view: View) -> bool {
    let views = BTreeMap::<TargetId, View>::from([(1, view)]);
    counts_towards_replica_share(&Requirement { token: None, freshness }, &views, NOW)
}

#[test]
fn counts_while_a_replica_is_fresh_for_sure() {
    let millis = Duration::from_millis;
    let replica = |age, since_observed| view(Role::Replica, millis(age), millis(since_observed));

    assert!(counts(ONE_SECOND, replica(600, 400)));
    assert!(!counts(ONE_SECOND, replica(600, 401)));
    assert!(!counts(ONE_SECOND, replica(1001, 0)));
    assert!(counts(Freshness::MaxAge(millis(1500)), replica(1001, 0)));
}

#[test]
fn ages_below_a_second_and_sessions_do_not_count() {
    let replica = view(Role::Replica, Duration::ZERO, Duration::ZERO);

    assert!(!counts(Freshness::MaxAge(Duration::from_millis(999)), replica));
    assert!(!counts(Freshness::Session, replica));
}

#[test]
fn only_replicas_that_take_work_count() {
    let of = |role| view(role, Duration::ZERO, Duration::ZERO);
    let draining = View { draining: true, ..of(Role::Replica) };

    assert!(!counts(ONE_SECOND, of(Role::Primary)));
    assert!(!counts(ONE_SECOND, of(Role::Rebuilding)));
    assert!(!counts(ONE_SECOND, draining));
}
