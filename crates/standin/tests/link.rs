//! The relay: delivery in order, and the effect of each fault on open and new connections.

mod common;

use std::time::{Duration, Instant};

use bergamotvale_standin::link::Relay;
use common::eventually;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time limit for exchanges that must succeed.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time for which a blocked connection is observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(150);

/// Starts a relay to a server that echoes the bytes it receives.
async fn echo() -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    Relay::start(address).expect("the relay starts")
}

async fn connect(relay: &Relay) -> TcpStream {
    let stream =
        TcpStream::connect(relay.address()).await.expect("the relay accepts the connection");
    stream.set_nodelay(true).expect("the socket is open");
    stream
}

/// Sends a byte and reads it back; false if that fails or takes longer than `max_wait`.
async fn ping(stream: &mut TcpStream, max_wait: Duration) -> bool {
    let mut byte = [0];
    let exchange = async {
        stream.write_all(&[7]).await?;
        stream.read_exact(&mut byte).await
    };
    matches!(timeout(max_wait, exchange).await, Ok(Ok(_))) && byte == [7]
}

#[tokio::test]
async fn bytes_pass_in_order() {
    let relay = echo().await;
    let mut stream = connect(&relay).await;
    let sent: Vec<u8> = (0..1_000_000_u32).map(|number| number as u8).collect();
    let mut received = vec![0; sent.len()];

    let (mut read, mut write) = stream.split();
    let (written, read) = tokio::join!(write.write_all(&sent), read.read_exact(&mut received));

    assert!(written.is_ok() && read.is_ok());
    assert!(sent == received);
}

#[tokio::test]
async fn delay_holds_each_way() {
    const DELAY: Duration = Duration::from_millis(40);
    let relay = echo().await;
    relay.set(|fault| fault.delay = DELAY).unwrap();
    let mut stream = connect(&relay).await;

    let start = Instant::now();
    assert!(ping(&mut stream, MAX_WAIT).await);

    assert!(start.elapsed() >= 2 * DELAY);
}

#[tokio::test]
async fn loss_stalls() {
    const STALL: Duration = Duration::from_millis(60);
    let relay = echo().await;
    relay
        .set(|fault| {
            fault.loss = 1.0;
            fault.stall = STALL;
        })
        .unwrap();
    let mut stream = connect(&relay).await;

    let start = Instant::now();
    assert!(ping(&mut stream, MAX_WAIT).await);

    assert!(start.elapsed() >= 2 * STALL);
}

#[tokio::test]
async fn cut_holds_bytes_until_it_is_healed() {
    let relay = echo().await;
    let mut stream = connect(&relay).await;
    assert!(ping(&mut stream, MAX_WAIT).await);

    relay.set(|fault| fault.blocked = true).unwrap();
    let echoed = ping(&mut stream, OBSERVATION_TIME).await;
    relay.set(|fault| fault.blocked = false).unwrap();

    assert!(!echoed);
    assert!(ping(&mut stream, MAX_WAIT).await);
}

#[tokio::test]
async fn silent_connection_never_passes_again() {
    let relay = echo().await;
    let mut old = connect(&relay).await;
    assert!(ping(&mut old, MAX_WAIT).await);

    relay.silence();
    let mut new = connect(&relay).await;

    assert!(!ping(&mut old, OBSERVATION_TIME).await);
    assert!(ping(&mut new, MAX_WAIT).await);
    assert!(!ping(&mut old, OBSERVATION_TIME).await);
}

#[tokio::test]
async fn refusal_spares_open_connections() {
    let relay = echo().await;
    let mut open = connect(&relay).await;
    assert!(ping(&mut open, MAX_WAIT).await);

    relay.set(|fault| fault.refuse = true).unwrap();
    let refused = TcpStream::connect(relay.address()).await;
    let kept = ping(&mut open, MAX_WAIT).await;
    relay.set(|fault| fault.refuse = false).unwrap();

    assert!(refused.is_err());
    assert!(kept);
    assert!(ping(&mut connect(&relay).await, MAX_WAIT).await);
}

#[tokio::test]
async fn reset_and_drop_close_connections() {
    let relay = echo().await;
    let mut first = connect(&relay).await;
    assert!(ping(&mut first, MAX_WAIT).await);

    relay.reset();
    let after_reset = timeout(MAX_WAIT, first.read_u8()).await.expect("the connection ends");
    let mut second = connect(&relay).await;
    assert!(ping(&mut second, MAX_WAIT).await);
    eventually("the first connection is removed", || relay.connections() == 1).await;
    let address = relay.address();
    drop(relay);
    let after_drop = timeout(MAX_WAIT, second.read_u8()).await.expect("the connection ends");

    assert!(after_reset.is_err());
    assert!(after_drop.is_err());
    assert!(TcpStream::connect(address).await.is_err());
}
