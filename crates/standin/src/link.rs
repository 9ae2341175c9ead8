//! A TCP relay that injects delay, packet loss, partitions and refused connections.
//!
//! Each direction of a connection has a reading and a writing thread, with a bounded queue of
//! chunks and their due times between them. A lost packet appears as a stall, as it does over TCP:
//! the chunk and all later ones are delayed.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::port::Port;
use crate::sync::lock;

/// Maximum size of one read.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in transit in one direction; reading pauses beyond it.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Interval at which a blocked direction, or a closed port, is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Stack size of a connection's threads.
const STACK_BYTES: usize = 256 << 10;

/// Faults of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// Delay in each direction.
    pub delay: Duration,
    /// Probability from 0 to 1 that a chunk is lost and has to be retransmitted.
    pub loss: f64,
    /// Additional delay of a chunk that was lost.
    pub stall: Duration,
    /// Bytes per second that each direction of a connection delivers; unlimited if `None`.
    pub bytes_per_second: Option<u32>,
    /// Nothing is delivered; bytes sent meanwhile are delivered once this is unset.
    pub blocked: bool,
    /// New connections are refused; open ones stay.
    pub refuse: bool,
}

/// A running relay; dropping it closes its port and all its connections.
pub struct Relay {
    inner: Arc<Inner>,
    thread: Option<JoinHandle<()>>,
}

struct Inner {
    to: SocketAddr,
    port: Port,
    fault: Mutex<Fault>,
    pairs: Mutex<BTreeMap<u64, Pair>>,
    ended: AtomicBool,
}

/// Both sockets of a relayed connection.
struct Pair {
    caller: TcpStream,
    callee: TcpStream,
    status: Arc<Status>,
}

/// Status of a relayed connection, shared by its threads.
#[derive(Default)]
struct Status {
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Relay {
    /// Starts a relay to `to` on a free loopback port.
    pub fn start(to: SocketAddr) -> crate::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), to)
    }

    /// Starts a relay that listens on `from`.
    pub fn start_at(from: SocketAddr, to: SocketAddr) -> crate::Result<Self> {
        let inner = Arc::new(Inner {
            to,
            port: Port::new(from)?,
            fault: Mutex::default(),
            pairs: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let accepting = inner.clone();
        let run = move || accept(&accepting);
        let thread = std::thread::Builder::new().name("relay".to_owned()).spawn(run)?;
        Ok(Relay { inner, thread: Some(thread) })
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.inner.port.address
    }

    /// The present faults.
    pub fn fault(&self) -> Fault {
        *lock(&self.inner.fault)
    }

    /// Changes the faults; an error means that the port could not be opened again.
    pub fn set(&self, change: impl FnOnce(&mut Fault)) -> crate::Result<()> {
        let mut fault = lock(&self.inner.fault);
        let refused = fault.refuse;
        change(&mut fault);
        if fault.refuse && !refused {
            self.inner.port.close();
        }
        if refused && !fault.refuse {
            self.inner.port.open()?;
        }
        Ok(())
    }

    /// Permanently stops delivery on open connections without closing them; new ones work.
    pub fn silence(&self) {
        for pair in lock(&self.inner.pairs).values() {
            pair.status.is_silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        for pair in lock(&self.inner.pairs).values() {
            pair.close();
        }
    }

    /// Closes the connection whose peer address is `seen` for the callee, if there is one.
    pub fn close(&self, seen: SocketAddr) {
        let pairs = lock(&self.inner.pairs);
        let found = pairs.values().find(|pair| pair.callee.local_addr().ok() == Some(seen));
        found.inspect(|pair| pair.close());
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.inner.pairs).len()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.inner.ended.store(true, Ordering::SeqCst);
        self.inner.port.close();
        self.reset();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("relay thread panicked");
        }
        self.reset();
    }
}

impl Inner {
    /// Time at which a chunk that was read now is due; advances the random sequence.
    fn due(&self, random: &mut u64) -> Instant {
        let fault = *lock(&self.fault);
        let lost = fault.loss > 0.0 && next_random(random) < fault.loss;
        let stall = if lost { fault.stall } else { Duration::ZERO };
        Instant::now() + fault.delay + stall
    }

    /// Time that the delivery of `count` bytes takes.
    fn transmission_time(&self, count: usize) -> Duration {
        match lock(&self.fault).bytes_per_second {
            Some(rate) => Duration::from_secs_f64(count as f64 / f64::from(rate)),
            None => Duration::ZERO,
        }
    }

    fn is_blocked(&self, status: &Status) -> bool {
        let blocked = lock(&self.fault).blocked || status.is_silent.load(Ordering::SeqCst);
        blocked && !status.is_closed.load(Ordering::SeqCst) && !self.ended()
    }

    fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

impl Pair {
    fn close(&self) {
        self.status.is_closed.store(true, Ordering::SeqCst);
        // Either socket may be closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.callee.shutdown(Shutdown::Both);
    }

    fn clone(&self) -> io::Result<Self> {
        let (caller, callee) = (self.caller.try_clone()?, self.callee.try_clone()?);
        Ok(Pair { caller, callee, status: self.status.clone() })
    }

    fn reversed(self) -> Self {
        Pair { caller: self.callee, callee: self.caller, status: self.status }
    }
}

/// Next number from 0 to 1 of a deterministic xorshift sequence.
fn next_random(random: &mut u64) -> f64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    (*random >> 11) as f64 / (1_u64 << 53) as f64
}

fn accept(inner: &Arc<Inner>) {
    let mut number = 0;
    while !inner.ended() {
        let Some(caller) = inner.port.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        number += 1;
        let inner = inner.clone();
        spawn(move || {
            if let Err(error) = relay(&inner, number, caller) {
                log::debug!("relayed connection failed: {error}");
            }
        });
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().name("relayed".to_owned()).stack_size(STACK_BYTES);
    if let Err(error) = thread.spawn(run) {
        log::error!("cannot start a thread for a relayed connection, which is dropped: {error}");
    }
}

fn relay(inner: &Arc<Inner>, number: u64, caller: TcpStream) -> io::Result<()> {
    let callee = TcpStream::connect(inner.to)?;
    caller.set_nodelay(true)?;
    callee.set_nodelay(true)?;
    let pair = Pair { caller, callee, status: Arc::default() };
    let (forth, back) = (pair.clone()?, pair.clone()?.reversed());
    lock(&inner.pairs).insert(number, pair);
    let (returning, seed) = (inner.clone(), 2 * number + 1);
    let (finished, wait) = sync_channel(1);
    spawn(move || {
        relay_direction(&returning, back, seed);
        // The receiving thread may have exited.
        let _ = finished.send(());
    });
    relay_direction(inner, forth, 2 * number);
    // An error means that the other direction's thread has exited, so it has finished too.
    let _ = wait.recv();
    lock(&inner.pairs).remove(&number);
    Ok(())
}

/// Relays one direction, from the pair's caller to its callee, until the caller's end of stream or
/// an error.
fn relay_direction(inner: &Arc<Inner>, pair: Pair, seed: u64) {
    let Pair { caller, callee, status } = pair;
    let (sender, receiver) = sync_channel(MAX_QUEUED_CHUNKS);
    let writing = inner.clone();
    spawn(move || write(&writing, callee, &receiver, &status));
    read(inner, caller, &sender, seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
}

fn read(inner: &Inner, mut from: TcpStream, queue: &SyncSender<Chunk>, mut random: u64) {
    loop {
        let mut bytes = vec![0; MAX_CHUNK_BYTES];
        let count = from.read(&mut bytes).unwrap_or(0);
        bytes.truncate(count);
        let due = inner.due(&mut random);
        let ended = queue.send(Chunk { due, bytes }).is_err();
        if ended || count == 0 {
            return;
        }
    }
}

/// Writes chunks when they are due; an empty chunk marks the end of the stream.
fn write(inner: &Inner, mut to: TcpStream, queue: &Receiver<Chunk>, status: &Status) {
    while let Ok(chunk) = queue.recv() {
        std::thread::sleep(chunk.due.saturating_duration_since(Instant::now()));
        std::thread::sleep(inner.transmission_time(chunk.bytes.len()));
        while inner.is_blocked(status) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let ended = chunk.bytes.is_empty() || to.write_all(&chunk.bytes).is_err();
        if ended {
            // The socket may be closed already.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
