//! Bounds on what callers make a host hold.

use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::budget::{COPIES, Ledger, Limits, Order};
use bergamotvale_core::proxy::session::{ConnectionState, Session, Step};
use bergamotvale_core::proxy::statement::{Access, Shape};

const MIB: usize = 1 << 20;

fn at(ms: u64) -> Time {
    Time::ZERO + std::time::Duration::from_millis(ms)
}

/// Guards against defaults that a fleet within the documented limits meets.
#[test]
fn the_smallest_host_takes_the_sessions_of_a_fleet_and_a_message_of_the_largest_size() {
    for memory in [Some(160), None] {
        let limits = Limits::new(memory, 4300);
        assert!(limits.connections >= 4000, "{limits:?}");
        assert!(limits.large_bytes >= COPIES * MIB);
        assert!(limits.session_state_bytes > MIB);
    }
}

/// Guards against bounds that together exceed the memory, and against ones that serve nobody.
#[test]
fn bounds_stay_within_memory_and_descriptors() {
    for memory in [64, 160, 780] {
        for descriptors in [300, 1000, 4300, 12_600] {
            let limits = Limits::new(Some(memory), descriptors);
            let sum = limits.middle_bytes
                + limits.large_bytes
                + limits.answer_bytes
                + limits.reply_bytes
                + limits.state_bytes;
            assert!(sum <= memory as usize * 1_000_000 * 5 / 8, "{limits:?}");
            assert!(limits.connections < descriptors as usize);
        }
    }
    let smallest = Limits::new(Some(0), 0);
    assert!(smallest.connections > 0 && smallest.large_bytes >= COPIES * MIB);
}

/// Guards against closing a caller that has just been answered in place of one that does not read.
#[test]
fn the_slowest_holder_is_evicted_before_a_new_one_of_the_same_size() {
    let mut ledger = Ledger::new(2 * MIB, Order::SizeAndAge);
    ledger.set(1, MIB, at(0));
    ledger.set(2, MIB, at(500));
    ledger.set(3, MIB, at(1000));
    assert_eq!(ledger.evict(at(1000)), [1]);
    assert_eq!(ledger.total(), 2 * MIB);
    assert_eq!(ledger.evict(at(2000)), [] as [u64; 0]);
}

/// Guards against closing many small holders for the sake of one large one.
#[test]
fn the_largest_holder_is_evicted_first_and_releases_count() {
    let mut ledger = Ledger::new(100, Order::Size);
    ledger.set(1, 10, at(0));
    ledger.set(2, 80, at(0));
    ledger.set(3, 20, at(0));
    assert_eq!(ledger.evict(at(1)), [2]);
    ledger.set(3, 95, at(2));
    ledger.release(1);
    assert_eq!((ledger.total(), ledger.held(3)), (95, 95));
    assert_eq!(ledger.evict(at(3)), [] as [u64; 0]);
}

/// Guards against sizes that drift from what a session stores when entries are replaced or removed.
#[test]
fn the_size_of_a_session_follows_its_entries() {
    let mut session = Session::default();
    let shape = Shape { access: Access::Read, text: "q".repeat(50) };
    let empty = session.bytes();
    let expected = session.bytes_with("v", 100);
    session.set_value("v".into(), "x".repeat(100));
    assert_eq!(session.bytes(), expected);
    session.set_value("v".into(), "x".repeat(10));
    let with_value = session.bytes();
    assert_eq!(with_value, expected - 90);
    session.prepare("p".into(), shape.clone());
    session.prepare("p".into(), shape);
    assert!(session.bytes() > with_value);
    assert_eq!(session.entries(), 2);
    assert!(session.deallocate("p") && !session.deallocate("p"));
    assert_eq!(session.bytes(), with_value);
    assert!(with_value > empty);
}

/// Guards against a connection that keeps each statement that any session has prepared on it.
#[test]
fn a_connection_with_many_prepared_statements_is_reset() {
    let mut connection = ConnectionState::default();
    let mut resets = 0;
    for number in 0..10_000 {
        let shape = Shape { access: Access::Read, text: number.to_string() };
        for step in connection.steps(&Default::default(), Some(&shape)) {
            resets += usize::from(step == Step::Reset);
            connection.apply(&step);
        }
        assert!(connection.prepared.contains(&shape));
        assert!(connection.prepared.len() <= 1024);
    }
    assert!((1..100).contains(&resets), "{resets}");
}
