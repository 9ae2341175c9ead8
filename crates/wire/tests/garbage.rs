//! Malformed frames close their own connection only; the server keeps serving other peers.
//!
//! A frame may be random, truncated or altered, or claim a length far beyond the bytes it carries,
//! for which the server must not allocate memory in advance.

use bergamotvale_core::id::{Epoch, Version};
use bergamotvale_core::peer::{
    Announcement, Forward, Heartbeat, Outcome, SlotRequest, Step, TokenRequest, Update,
};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::statement::{Statement, Value};
use bergamotvale_wire::peer::{self, MAX_FRAME_BYTES, Peer, PeerClient};
use futures::StreamExt;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CASES: usize = 200;
/// Time limit for events that must happen.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Address space that threads of other tests may reserve during a measurement.
const MEMORY_MARGIN_BYTES: usize = 1024 * 1024 * 1024;
/// Element counts that an altered message claims: either needs far more bytes than the margin, and
/// the larger one more than any process can allocate.
const CLAIMED_COUNTS: [u64; 2] = [1 << 33, u64::MAX >> 8];

#[derive(Clone)]
struct Server;

impl Peer for Server {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    async fn announce(self, _: Context, _: Announcement) -> bool {
        true
    }

    async fn push(self, _: Context, _: Update) -> (Epoch, Version) {
        (7, 7)
    }

    async fn fetch(self, _: Context, _: Epoch, _: Version) -> Option<Update> {
        None
    }

    async fn lend_tokens(self, _: Context, request: TokenRequest) -> u32 {
        request.count
    }

    async fn lend_slots(self, _: Context, request: SlotRequest) -> u32 {
        request.count
    }

    async fn return_slots(self, _: Context, _: SlotRequest) {}

    async fn forward(self, _: Context, _: Forward) -> Outcome {
        Outcome::new(Err(Refusal::new(Reason::NotFound, "none")))
    }
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let channel = peer::accept(stream).expect("a channel");
            tokio::spawn(channel.execute(Server.serve()).for_each(|response| response));
        }
    });
    address
}

/// Asserts that the server still answers a well-formed call.
async fn assert_serving(address: SocketAddr) {
    let client = peer::connect(address, MAX_WAIT).await.expect("a connection");
    let request = TokenRequest { host: 1, account: 1, count: 3, version: 1, sequence: 1 };
    let lent = client.lend_tokens(peer::context(MAX_WAIT), request).await;
    assert_eq!(lent.expect("an answer"), 3);
}

/// Sends `bytes`, shuts down the sending side and waits until the server closes the connection.
async fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The server may close the connection while bytes are still being sent.
    drop(stream.write_all(bytes).await);
    drop(stream.shutdown().await);
    let mut rest = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut rest)).await;
    drop(read.expect("the connection ends"));
}

fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a small frame");
    [&length.to_be_bytes()[..], payload].concat()
}

/// Captures the payload of a valid request that contains strings and collections.
async fn capture_request() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client: PeerClient = peer::connect(address, MAX_WAIT).await.expect("a connection");
    let call = tokio::spawn(async move {
        let sql = "SELECT $1".into();
        let statement = Statement { sql, params: vec![Value::Text("7".into()), Value::Null] };
        let step = Step::Run(statement);
        let forward = Forward { transaction: 9, account: 1, step, timeout: MAX_WAIT };
        client.forward(peer::context(MAX_WAIT), forward).await
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = [0; 4];
    stream.read_exact(&mut head).await.expect("a length");
    let mut payload = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut payload).await.expect("a payload");
    call.abort();
    payload
}

fn samples<T: std::fmt::Debug>(strategy: impl Strategy<Value = T>) -> Vec<T> {
    let mut runner = TestRunner::deterministic();
    let mut sample = |_| strategy.new_tree(&mut runner).expect("a value").current();
    (0..CASES).map(&mut sample).collect()
}

#[tokio::test]
async fn garbage_ends_its_connection_only() {
    let address = serve().await;

    for bytes in samples(vec(any::<u8>(), 0..600)) {
        send(address, &bytes).await;
        send(address, &frame(&bytes)).await;
    }

    assert_serving(address).await;
}

#[tokio::test]
async fn truncated_and_changed_requests_end_their_connection_only() {
    let address = serve().await;
    let request = capture_request().await;

    for length in 0..request.len() {
        send(address, &frame(&request[..length])).await;
    }
    for (offset, byte) in samples((any::<prop::sample::Index>(), any::<u8>())) {
        let mut altered = request.clone();
        altered[offset.index(request.len())] = byte;
        send(address, &frame(&altered)).await;
    }

    assert_serving(address).await;
}

/// Frame lengths beyond the limit, and collections that claim more elements than the frame has
/// bytes, must not be allocated in advance.
#[tokio::test]
async fn claimed_lengths_are_not_allocated() {
    let address = serve().await;
    let request = capture_request().await;
    assert_serving(address).await;
    let before = peak_memory();

    for claimed in [MAX_FRAME_BYTES as u32 + 1, u32::MAX / 2, u32::MAX] {
        send(address, &[&claimed.to_be_bytes()[..], &request].concat()).await;
    }
    for offset in 0..request.len() - 8 {
        for count in CLAIMED_COUNTS {
            let mut altered = request.clone();
            altered[offset..offset + 8].copy_from_slice(&count.to_le_bytes());
            send(address, &frame(&altered)).await;
        }
    }

    assert_serving(address).await;
    let grown = peak_memory() - before;
    assert!(
        grown < MAX_FRAME_BYTES + MEMORY_MARGIN_BYTES,
        "the address space grew by {grown} bytes"
    );
}

/// Peak address space of this process so far, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmPeak:")).expect("a peak");
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes * 1024
}

#[tokio::test]
async fn a_peer_that_answers_garbage_fails_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for bytes in samples(vec(any::<u8>(), 1..200)) {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            drop(stream.write_all(&frame(&bytes)).await);
        }
    });

    for _ in 0..CASES {
        let client = peer::connect(address, MAX_WAIT).await.expect("a connection");
        let request = TokenRequest { host: 1, account: 1, count: 3, version: 1, sequence: 1 };
        let lent = client.lend_tokens(peer::context(MAX_WAIT), request).await;
        assert!(lent.is_err(), "{lent:?}");
    }
}
