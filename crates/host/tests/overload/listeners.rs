//! Floods at the readiness and metrics listeners and at the peers' port.

use crate::crowd::{FLOOD, Site, connect, send};
use crate::fixture::eventually;
use std::net::{SocketAddr, UdpSocket};

const DATAGRAMS: usize = 20_000;
/// Size of the largest datagram of rubbish.
const MAX_RUBBISH_BYTES: usize = 60_000;
/// First byte of the datagrams that hosts exchange.
const DATAGRAM_FORMAT: u8 = 64;

/// Floods a listener with connections that send nothing, half a request, or an endless one, and
/// stay open.
fn flood(site: &Site, address: SocketAddr) {
    let endless = b"GET / HTTP/1.1\r\nx: ".iter().copied().chain([b'x'; 100_000]);
    let endless: Vec<u8> = endless.collect();
    let streams = site.withstands(|| {
        let streams: Vec<_> = (0..FLOOD)
            .map(|number| {
                connect(address).map(|mut stream| {
                    match number % 3 {
                        0 => {}
                        1 => drop(send(&mut stream, b"GET /metrics HT", 1024)),
                        _ => drop(send(&mut stream, &endless, endless.len())),
                    }
                    stream
                })
            })
            .collect();
        eventually("the host is ready", || site.host().is_ready());
        streams
    });
    drop(streams);
}

/// Guards against HTTP connections that take the descriptors of callers, and readiness checks that
/// fail during such a flood.
#[test]
fn connections_at_the_readiness_listener() {
    let site = Site::start();
    flood(&site, site.host().readiness);
}

/// Guards against the same at the listener for metrics.
#[test]
fn connections_at_the_metrics_listener() {
    let site = Site::start();
    flood(&site, site.host().metrics);
}

/// Guards against datagrams that end the process, or take memory for what they claim to hold.
#[test]
fn rubbish_at_the_port_for_peers() {
    let site = Site::start();
    let socket = UdpSocket::bind((site.host().peers.ip(), 0)).expect("a port is free");
    site.withstands(|| {
        // A generator with a fixed seed (xorshift), so that each run sends the same.
        let mut state = 0x9e37_79b9_7f4a_7c15_u64;
        let mut next = || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state.to_le_bytes()
        };
        let mut bytes = vec![0; MAX_RUBBISH_BYTES];
        for number in 0..DATAGRAMS {
            let length = if number % 100 == 0 { MAX_RUBBISH_BYTES } else { 1 + number % 400 };
            for chunk in bytes[..length].chunks_mut(8) {
                let random = next();
                chunk.copy_from_slice(&random[..chunk.len()]);
            }
            // Half of them name a kind of message that exists, so that its decoding is reached.
            if number % 2 == 0 && length > 1 {
                bytes[1] %= 6;
            }
            bytes[0] = DATAGRAM_FORMAT;
            // A full buffer of the receiver loses the datagram, as any network may.
            let _ = socket.send_to(&bytes[..length], site.host().peers);
        }
    });
}
