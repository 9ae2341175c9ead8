//! Replies that callers do not read, or read slowly, and half-closed connections.

use crate::crowd::{CROWD, Site, drain, open, send, together};
use crate::fixture::STRICT_DB;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{self, State};
use std::io::Read;
use std::net::Shutdown;
use std::time::Duration;

/// Size of an item whose reply is nearly as large as a message may be.
const LARGE_ITEM_BYTES: usize = 1_000_000;
/// Statements sent ahead for replies that fill the buffers of both kernels.
const LARGE_STATEMENTS: usize = 16;
/// Statements sent ahead for small replies.
const SMALL_STATEMENTS: usize = 4000;

fn store_large_item(site: &Site) {
    let mut session = site.fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("large", &"x".repeat(LARGE_ITEM_BYTES)), State::Idle);
}

/// Guards against statements sent ahead, or their replies, that are buffered without a bound.
#[test]
fn statements_sent_ahead_without_reading_replies() {
    let site = Site::start();
    let address = site.host().callers;
    let statements = line::query("a", &caller::read("bolt")).repeat(SMALL_STATEMENTS);
    let streams = site.withstands(|| {
        together(CROWD, |_| {
            open(address).map(|mut stream| {
                send(&mut stream, &statements, statements.len());
                stream
            })
        })
    });
    drop(streams);
}

/// Guards against large replies that are all kept for callers that read nothing. These stay
/// connected while the ordinary request is answered.
#[test]
fn large_replies_that_are_not_read() {
    let site = Site::start();
    store_large_item(&site);
    let address = site.host().callers;
    let statements = line::query("a", &caller::read("large")).repeat(LARGE_STATEMENTS);
    let streams = site.withstands(|| {
        let streams = together(CROWD, |_| {
            open(address).map(|mut stream| {
                send(&mut stream, &statements, statements.len());
                stream
            })
        });
        std::thread::sleep(Duration::from_secs(3));
        streams
    });
    drop(streams);
}

/// Guards against large replies that are all kept for callers that read a little at a time.
#[test]
fn large_replies_that_are_read_slowly() {
    let site = Site::start();
    store_large_item(&site);
    let address = site.host().callers;
    let statements = line::query("a", &caller::read("large")).repeat(LARGE_STATEMENTS);
    site.withstands(|| {
        together(CROWD, |_| {
            let Some(mut stream) = open(address) else { return };
            send(&mut stream, &statements, statements.len());
            let mut bytes = [0; 1024];
            for _ in 0..150 {
                if !matches!(stream.read(&mut bytes), Ok(count) if count > 0) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    });
}

/// Guards against sessions that outlive the caller's side of the connection.
#[test]
fn half_closed_connections() {
    let site = Site::start();
    store_large_item(&site);
    let address = site.host().callers;
    let statements = line::query("a", &caller::read("large")).repeat(LARGE_STATEMENTS);
    let streams = site.withstands(|| {
        let streams = together(2 * CROWD, |number| {
            open(address).map(|mut stream| {
                if number % 2 == 0 {
                    send(&mut stream, &statements, statements.len());
                }
                // The host may have closed the connection.
                let _ = stream.shutdown(Shutdown::Write);
                if number % 4 == 0 {
                    drain(&mut stream);
                }
                stream
            })
        });
        std::thread::sleep(Duration::from_secs(3));
        streams
    });
    drop(streams);
}
