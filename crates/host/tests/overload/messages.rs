//! Large, unfinished and endless messages.

use crate::crowd::{CROWD, Site, connect, drain, open, send, together};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{self, End, MAX_MESSAGE_BYTES};
use std::sync::Barrier;

const SMALL_PIECE_BYTES: usize = 4 << 10;

/// A statement of exactly the size limit.
fn largest_message(number: usize) -> Vec<u8> {
    let item = format!("item{number}");
    let overhead = line::query("a", &caller::write(&item, "")).len();
    let data = "x".repeat(MAX_MESSAGE_BYTES - overhead);
    line::query("a", &caller::write(&item, &data)).to_vec()
}

/// Writes an item with a message of the largest size.
fn serve_large_message(site: &Site) {
    let text = String::from_utf8(largest_message(0)).expect("the message is ASCII");
    let text = text.trim_end().strip_prefix("QUERY a ").expect("the message is a statement");
    // The fixture's own id is longer than that of the message.
    let text = &text[..text.len() - 15];
    let answer = site.withstands(|| {
        let mut session = site.fleet.open_session(0, crate::fixture::STRICT_DB);
        session.run(text)
    });
    assert_eq!(answer.end, End::Done);
}

/// Guards against limits that a single message of the largest size meets.
#[test]
fn a_single_message_of_the_largest_size_is_served() {
    serve_large_message(&Site::start());
}

/// Guards against receive buffers too small for a message of the largest size, on the smallest host
/// that is deployed, where most connections share the memory.
#[test]
fn a_single_message_of_the_largest_size_is_served_by_the_smallest_host() {
    serve_large_message(&Site::start_with(160, 4300));
}

/// Guards against a buffer of 1 MiB or more for every caller at the same time.
#[test]
fn many_large_messages_in_one_piece() {
    let site = Site::start();
    let address = site.host().callers;
    site.withstands(|| {
        together(CROWD, |number| {
            let message = largest_message(number);
            if let Some(mut stream) = open(address) {
                send(&mut stream, &message, MAX_MESSAGE_BYTES);
                drain(&mut stream);
            }
        });
    });
}

/// Guards against buffers that grow piece by piece for all callers, until the last piece of each.
#[test]
fn many_large_messages_in_small_pieces() {
    let site = Site::start();
    let address = site.host().callers;
    let all_but_last = Barrier::new(CROWD);
    site.withstands(|| {
        together(CROWD, |number| {
            let message = largest_message(number);
            let (start, end) = message.split_at(MAX_MESSAGE_BYTES - 2);
            let stream = open(address).map(|mut stream| {
                send(&mut stream, start, SMALL_PIECE_BYTES);
                stream
            });
            all_but_last.wait();
            if let Some(mut stream) = stream {
                send(&mut stream, end, SMALL_PIECE_BYTES);
                drain(&mut stream);
            }
        });
    });
}

/// Guards against messages without a line end that are buffered far over the limit, in sessions and
/// before them.
#[test]
fn messages_far_over_the_limit() {
    let site = Site::start();
    let address = site.host().callers;
    let endless = vec![b'x'; 8 * MAX_MESSAGE_BYTES];
    site.withstands(|| {
        together(CROWD, |number| {
            let stream = if number % 2 == 0 { open(address) } else { connect(address) };
            if let Some(mut stream) = stream {
                send(&mut stream, &endless, MAX_MESSAGE_BYTES);
                drain(&mut stream);
            }
        });
    });
}

/// Guards against buffers that are kept for senders that have stopped. The senders stay connected
/// while the ordinary request is answered.
#[test]
fn senders_that_stop_halfway() {
    let site = Site::start();
    let address = site.host().callers;
    let part = vec![b'x'; MAX_MESSAGE_BYTES * 7 / 8];
    let streams = site.withstands(|| {
        together(2 * CROWD, |number| {
            let stream = if number % 2 == 0 { open(address) } else { connect(address) };
            stream.map(|mut stream| {
                send(&mut stream, &part, MAX_MESSAGE_BYTES);
                stream
            })
        })
    });
    drop(streams);
}
