//! Tests of the cost measurements: line fitting, goals, kernel counters and the shipped scenario.

use bergamotvale_cli::bench::cost::slope::{self, Line};
use bergamotvale_cli::bench::cost::{
    self, Goals, Scenario, connection, control, process, statement,
};
use bergamotvale_cli::bench::measure;
use std::time::Duration;

const SHIPPED: &str = include_str!("../../../bench/cost.yaml");

fn goals() -> Goals {
    Goals {
        cpu: Duration::from_micros(50),
        latency: Duration::from_micros(250),
        connection: 16 * 1024,
    }
}

fn statement_cost(cpu_micros: f64, added_micros: f64) -> statement::Cost {
    let latency = measure::summary(&measure::histogram());
    statement::Cost {
        statements: 1,
        cpu_micros,
        added_micros,
        through: latency.clone(),
        direct: latency,
        counted: "threads of the host",
    }
}

fn connection_cost(bytes: f64) -> connection::Cost {
    connection::Cost { points: Vec::new(), bytes }
}

fn point(at: usize, cpu: f64) -> control::Point {
    control::Point { at, cpu, resident: 0.0, platform_calls: 0.0, bytes: None, background: 0.0 }
}

#[test]
fn failed_point_is_named_and_the_rest_is_fitted() {
    let failed = vec![control::Failure { at: 16, reason: "too late".to_owned() }];

    let sweep = control::fit("hosts", vec![point(4, 10.0), point(8, 18.0)], failed);

    assert_eq!(sweep.cpu, Line { base: 2.0, slope: 2.0 });
    assert_eq!(control::unmeasured(&[sweep]), ["16 hosts: too late"]);
}

#[test]
fn bytes_count_only_while_others_are_quiet() {
    let quiet = control::fleet_bytes(100_000.0, 5_000.0);
    let busy = control::fleet_bytes(100_000.0, 5_001.0);

    assert_eq!((quiet, busy), (Some(100_000.0), None));
}

#[test]
fn more_hosts_than_one_process_carries_are_refused() {
    let text = SHIPPED.replace("32, 64]", "32, 65]");

    let error = Scenario::parse(&text).expect_err("65 hosts should be rejected");

    assert!(error.contains("control.hosts"), "{error}");
}

/// Half of a target's connections must hold a control connection and a share for each host. A limit
/// that does not grow with the fleet would leave hosts without connections for statements.
#[test]
fn fleet_of_any_size_has_connections_to_serve_with() {
    for hosts in [1, 4, 16, 64] {
        let spec = statement::spec(1, hosts, 1, 1);

        let limit = spec.groups[0].1.connection_limit;

        assert!(limit >= 4 * hosts as u64, "connection limit {limit} is too low for {hosts} hosts");
    }
}

#[test]
fn loopback_traffic_is_counted() {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("failed to bind a UDP socket");
    let before = process::loopback_bytes().expect("failed to read the loopback counter");

    let address = socket.local_addr().expect("socket has no address");
    let sent = socket.send_to(&[0; 1_000], address).expect("failed to send a packet");

    let carried = process::loopback_bytes().expect("failed to read the loopback counter") - before;
    assert!(carried >= sent as u64, "counted only {carried} bytes");
}

#[test]
fn line_through_points() {
    let line = slope::fit(&[(0.0, 5.0), (1.0, 7.0), (4.0, 13.0)]);

    assert_eq!(line, Line { base: 5.0, slope: 2.0 });
}

#[test]
fn points_at_one_place_have_no_slope() {
    let line = slope::fit(&[(3.0, 4.0), (3.0, 6.0)]);

    assert_eq!(line, Line { base: 5.0, slope: 0.0 });
}

#[test]
fn cost_at_its_goals_is_kept() {
    let broken =
        cost::broken_goals(&goals(), &statement_cost(50.0, 250.0), Some(&connection_cost(16384.0)));

    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn each_goal_can_be_broken() {
    let broken =
        cost::broken_goals(&goals(), &statement_cost(50.1, 250.5), Some(&connection_cost(16385.0)));

    assert_eq!(broken.len(), 3, "{broken:?}");
}

#[test]
fn shipped_scenario_states_the_goals() {
    let scenario = Scenario::parse(SHIPPED).expect("shipped scenario should be valid");

    assert_eq!(scenario.goals, goals());
}

#[test]
fn unknown_field_is_named() {
    let text = SHIPPED.replace("idle_connections", "idle_conections");

    let error = Scenario::parse(&text).expect_err("unknown field should be rejected");

    assert!(error.contains("idle_conections"), "{error}");
}

#[test]
fn working_thread_uses_its_time() {
    let before = process::cpu_time(std::process::id()).expect("failed to read CPU time");
    let mut sum = 0_u64;
    for number in 0..20_000_000_u64 {
        sum = std::hint::black_box(sum.wrapping_add(number));
    }

    let after = process::cpu_time(std::process::id()).expect("failed to read CPU time");

    assert!(after > before);
    assert!(process::resident_bytes().expect("failed to read resident memory") > 0);
}
