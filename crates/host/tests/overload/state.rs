//! Sessions that store many or large values and prepared statements.

use crate::crowd::{CROWD, Site, drain, open, send, together};
use bergamotvale_core::proxy::statement::{Access, Shape};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line;

/// Size of a large value or statement.
const LARGE_BYTES: usize = 256 << 10;
/// Large values or statements of one session; of the crowd, more than its host's memory.
const LARGE_COUNT: usize = 8;
/// Size of a small value or statement.
const SMALL_BYTES: usize = 512;
/// Small ones of one session; of the crowd, more than its host's memory.
const SMALL_COUNT: usize = 4096;

/// Sends `count` statements in each session of the crowd, reads the replies, and keeps the sessions
/// open while the ordinary request is answered.
fn store(count: usize, statement: impl Fn(usize, usize) -> String + Sync) {
    let site = Site::start();
    let address = site.host().callers;
    let streams = site.withstands(|| {
        together(CROWD, |session| {
            let mut stream = open(address)?;
            let mut replies = stream.try_clone().ok()?;
            let reader = std::thread::spawn(move || drain(&mut replies));
            for number in 0..count {
                let message = line::query("a", &statement(session, number));
                if !send(&mut stream, &message, message.len()) {
                    break;
                }
            }
            reader.join().expect("the reader ends");
            Some(stream)
        })
    });
    drop(streams);
}

fn shape(session: usize, number: usize, bytes: usize) -> Shape {
    let text = format!("{session}-{number}-{}", "x".repeat(bytes));
    Shape { access: Access::Read, text }
}

/// Guards against large values that sessions keep without a bound.
#[test]
fn large_values() {
    let value = "x".repeat(LARGE_BYTES);
    store(LARGE_COUNT, |_, number| caller::set(&format!("v{number}"), &value));
}

/// Guards against a number of values without a bound.
#[test]
fn many_values() {
    let value = "x".repeat(SMALL_BYTES);
    store(SMALL_COUNT, |_, number| caller::set(&format!("v{number}"), &value));
}

/// Guards against large prepared statements that sessions keep without a bound.
#[test]
fn large_prepared_statements() {
    store(LARGE_COUNT, |session, number| {
        caller::prepare(&format!("p{number}"), &shape(session, number, LARGE_BYTES))
    });
}

/// Guards against a number of prepared statements without a bound.
#[test]
fn many_prepared_statements() {
    store(SMALL_COUNT, |session, number| {
        caller::prepare(&format!("p{number}"), &shape(session, number, SMALL_BYTES))
    });
}
