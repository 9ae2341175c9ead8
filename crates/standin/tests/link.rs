//! The relay between two ends.

mod common;

use std::time::{Duration, Instant};

use bergamotvale_standin::link::Relay;
use common::eventually;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(60);
const WATCH: Duration = Duration::from_millis(150);

/// A relay to a server that sends back what it gets.
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
    let stream = TcpStream::connect(relay.address()).await.expect("the relay takes it");
    stream.set_nodelay(true).expect("the socket is open");
    stream
}

/// Sends a byte and reads it back, at most within a time.
async fn ping(stream: &mut TcpStream, patience: Duration) -> bool {
    let mut byte = [0];
    let exchange = async {
        stream.write_all(&[7]).await?;
        stream.read_exact(&mut byte).await
    };
    matches!(timeout(patience, exchange).await, Ok(Ok(_))) && byte == [7]
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
    assert!(ping(&mut stream, PATIENCE).await);

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
    assert!(ping(&mut stream, PATIENCE).await);

    assert!(start.elapsed() >= 2 * STALL);
}

#[tokio::test]
async fn cut_holds_bytes_until_it_is_healed() {
    let relay = echo().await;
    let mut stream = connect(&relay).await;
    assert!(ping(&mut stream, PATIENCE).await);

    relay.set(|fault| fault.blocked = true).unwrap();
    let cut = ping(&mut stream, WATCH).await;
    relay.set(|fault| fault.blocked = false).unwrap();

    assert!(!cut);
    assert!(ping(&mut stream, PATIENCE).await);
}

#[tokio::test]
async fn silent_connection_never_passes_again() {
    let relay = echo().await;
    let mut old = connect(&relay).await;
    assert!(ping(&mut old, PATIENCE).await);

    relay.silence();
    let mut new = connect(&relay).await;

    assert!(!ping(&mut old, WATCH).await);
    assert!(ping(&mut new, PATIENCE).await);
    assert!(!ping(&mut old, WATCH).await);
}

#[tokio::test]
async fn refusal_spares_open_connections() {
    let relay = echo().await;
    let mut open = connect(&relay).await;
    assert!(ping(&mut open, PATIENCE).await);

    relay.set(|fault| fault.refuse = true).unwrap();
    let refused = TcpStream::connect(relay.address()).await;
    let kept = ping(&mut open, PATIENCE).await;
    relay.set(|fault| fault.refuse = false).unwrap();

    assert!(refused.is_err());
    assert!(kept);
    assert!(ping(&mut connect(&relay).await, PATIENCE).await);
}

#[tokio::test]
async fn reset_and_drop_close_connections() {
    let relay = echo().await;
    let mut first = connect(&relay).await;
    assert!(ping(&mut first, PATIENCE).await);

    relay.reset();
    let after_reset = timeout(PATIENCE, first.read_u8()).await.expect("the end is heard");
    let mut second = connect(&relay).await;
    assert!(ping(&mut second, PATIENCE).await);
    eventually("the first is forgotten", || relay.connections() == 1).await;
    let address = relay.address();
    drop(relay);
    let after_drop = timeout(PATIENCE, second.read_u8()).await.expect("the end is heard");

    assert!(after_reset.is_err());
    assert!(after_drop.is_err());
    assert!(TcpStream::connect(address).await.is_err());
}
