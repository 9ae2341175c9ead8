//! Floors of reads across terms, and the selection of targets when replicas lag, receive nothing or
//! have an unknown position.

use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::capacity::Fraction;
use bergamotvale_core::proxy::floor::{History, Observation, Position};
use bergamotvale_core::proxy::select::{Candidate, choose};
use std::time::Duration;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn at(term: u64, number: u64) -> Position {
    Position { term, number }
}

fn history(seen: &[(u64, Position)]) -> History {
    let mut history = History::default();
    for (millis, position) in seen {
        history.observe(ms(*millis), Observation { at: ms(*millis), position: *position });
    }
    history
}

#[test]
fn the_oldest_observation_within_the_bound_is_the_floor() {
    let history = history(&[(0, at(1, 1)), (500, at(1, 5)), (1000, at(1, 9))]);
    assert_eq!(history.bounded_floor(ms(1200), ms(1000)), Some(at(1, 5)));
    assert_eq!(history.bounded_floor(ms(1500), ms(1000)), Some(at(1, 5)));
    assert_eq!(history.bounded_floor(ms(1501), ms(1000)), Some(at(1, 9)));
}

#[test]
fn without_an_observation_within_the_bound_there_is_no_floor() {
    let history = history(&[(0, at(1, 1))]);
    assert_eq!(history.bounded_floor(ms(2000), ms(1000)), None);
    assert_eq!(History::default().bounded_floor(ms(0), ms(1000)), None);
}

#[test]
fn a_session_that_saw_an_erased_position_waits_for_the_new_terms_start() {
    let history = history(&[(0, at(1, 90)), (1000, at(2, 3)), (1100, at(2, 7))]);
    assert_eq!(history.session_floor(at(1, 95)), at(2, 3));
    assert_eq!(history.session_floor(at(2, 5)), at(2, 5));
}

#[test]
fn observations_of_an_older_term_that_come_late_are_dropped() {
    let mut history = history(&[(0, at(1, 90)), (1000, at(2, 3))]);
    history.observe(ms(1010), Observation { at: ms(1005), position: at(1, 99) });
    assert_eq!(history.newest().map(|seen| seen.position), Some(at(2, 3)));
}

#[test]
fn every_floor_covers_what_was_acknowledged_before_the_bound() {
    // The primary commits one position per millisecond and is observed at irregular times.
    let mut history = History::default();
    for now in 0_u64..4000 {
        if now % 7 == 0 || now % 31 < 3 {
            history.observe(ms(now), Observation { at: ms(now), position: at(1, now) });
        }
        if let Some(floor) = history.bounded_floor(ms(now), ms(300)) {
            let acknowledged = now.saturating_sub(300);
            assert!(floor.number >= acknowledged, "at {now}: {floor} misses {acknowledged}");
        }
    }
}

fn candidate(name: &str) -> Candidate {
    Candidate {
        name: name.into(),
        round_trip: ms(1),
        in_flight: 0,
        slots: 3,
        statement_time: ms(24),
        limit: Fraction::FULL,
        group_time: ms(24),
        has_connection: true,
        can_connect: true,
        position: at(1, 10),
        is_primary: false,
    }
}

#[test]
fn a_read_stays_near_until_the_queue_there_costs_more() {
    let near = candidate("near");
    let far = Candidate { round_trip: ms(4), ..candidate("far") };
    let chosen = |near: &Candidate| {
        choose(&[near.clone(), far.clone()], at(1, 1), &[]).unwrap().name.clone()
    };
    assert_eq!(chosen(&near), "near");
    assert_eq!(chosen(&Candidate { in_flight: 3, ..near }), "far");
}

/// Guards against a choice among equal, healthy targets that differs since limits are learned: at a
/// full limit the cost depends on the target's own times alone.
#[test]
fn a_full_limit_leaves_the_cost_as_it_is() {
    let plain = Candidate { in_flight: 5, ..candidate("plain") };
    assert_eq!(plain.cost(at(1, 1)), ms(1 + 24 + 24 * 5 / 3));
    assert_eq!(
        Candidate { group_time: ms(1), ..plain.clone() }.cost(at(1, 1)),
        plain.cost(at(1, 1))
    );
    let limit = Fraction::from_permille(500);
    assert_eq!(Candidate { limit, ..plain }.cost(at(1, 1)), ms(1 + 48 + 48 * 5 / 3));
}

/// Fault: replicas receive nothing under load.
#[test]
fn deaf_replicas_are_left_out_while_another_target_has_the_log() {
    let deaf = Candidate { position: at(1, 2), ..candidate("deaf") };
    let primary = Candidate { is_primary: true, ..candidate("primary") };
    let floor = at(1, 8);
    let candidates = [deaf, primary];
    assert_eq!(choose(&candidates, floor, &[]).unwrap().name, "primary");
    let tried = ["primary".to_owned()];
    assert_eq!(choose(&candidates, floor, &tried).unwrap().name, "deaf");
}

/// Fault: all hosts restart at once and know no position of any replica. Reads must still be
/// distributed over all targets, because the primary cannot serve them all.
#[test]
fn replicas_that_were_not_heard_of_yet_take_their_part_of_the_reads() {
    let unknown = |name| Candidate { position: Position::default(), ..candidate(name) };
    let primary = Candidate { is_primary: true, ..candidate("primary") };
    let mut candidates = [unknown("first"), unknown("second"), primary];
    for _ in 0..30 {
        let name = choose(&candidates, at(1, 8), &[]).unwrap().name.clone();
        let chosen = candidates.iter_mut().find(|c| c.name == name).unwrap();
        chosen.in_flight += 1;
    }
    for candidate in &candidates {
        let share = candidate.in_flight;
        assert!((8..=12).contains(&share), "{} has {share} of 30 reads", candidate.name);
    }
}
