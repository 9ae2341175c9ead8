//! Until when a stopping host takes sessions and statements.

use bergamotvale_core::proxy::stop::Schedule;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(6);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against statements that are taken so late that the process exits before their answer.
#[test]
fn a_statement_is_taken_only_with_its_whole_timeout_left() {
    let schedule = Schedule::new(GRACE);
    let end = schedule.work_end();

    for timeout in [ms(1), ms(800), ms(2000), ms(5000)] {
        assert!(schedule.takes_statement(end - timeout, timeout));
        assert!(!schedule.takes_statement(end - timeout + ms(1), timeout));
    }
    assert!(!schedule.takes_statement(Duration::ZERO, GRACE));
    assert!(!schedule.takes_statement(ms(1), Duration::MAX));
}

#[test]
fn new_sessions_are_taken_until_the_balancer_has_noticed() {
    let schedule = Schedule::new(GRACE);

    // The balancer asks once a second and takes a host out after two misses.
    assert!(schedule.takes_sessions(ms(2300)));
    assert!(!schedule.takes_sessions(schedule.notice_end()));
}

#[test]
fn the_parts_of_any_grace_period_follow_each_other() {
    for grace in (0..20_000).step_by(50).map(ms) {
        let schedule = Schedule::new(grace);
        assert!(schedule.notice_end() <= schedule.close_end(), "{grace:?}");
        assert!(schedule.close_end() <= schedule.work_end(), "{grace:?}");
        assert!(schedule.work_end() <= grace, "{grace:?}");
        let period = schedule.close_end() - schedule.notice_end();
        assert!(schedule.close_interval(300) * 300 <= period, "{grace:?}");
    }
}
