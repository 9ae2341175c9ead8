//! A TCP relay between any two ends, with delay, stalls, cuts and refusals.
//!
//! Each direction of a connection has a thread that reads and one that writes, with a bounded
//! queue of timed chunks between them. A lost packet shows as a stall, as it does over TCP: the
//! chunk and all behind it come late.

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

/// Bytes read at once.
const CHUNK: usize = 16 << 10;
/// Chunks on their way in one direction.
const CHUNKS: usize = 64;
/// How often a stopped direction looks whether it may go on.
const LOOK_PERIOD: Duration = Duration::from_millis(1);
/// Stack of a connection's threads.
const STACK: usize = 256 << 10;

/// Faults of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// Delay one way.
    pub delay: Duration,
    /// Share of chunks that are lost and sent again, from 0 to 1.
    pub loss: f64,
    /// Delay of a chunk that was lost.
    pub stall: Duration,
    /// Nothing passes; what was sent passes once the cut is healed.
    pub blocked: bool,
    /// New connections are refused.
    pub refuse: bool,
}

/// A running relay; dropping it ends it.
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

/// A relayed connection.
struct Pair {
    caller: TcpStream,
    callee: TcpStream,
    life: Arc<Life>,
}

/// What has become of a relayed connection.
#[derive(Default)]
struct Life {
    silent: AtomicBool,
    closed: AtomicBool,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Relay {
    /// Relays from a free port of loopback.
    pub fn start(to: SocketAddr) -> crate::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), to)
    }

    /// Relays from a given address.
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

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.inner.port.address
    }

    /// The faults as they are.
    pub fn fault(&self) -> Fault {
        *lock(&self.inner.fault)
    }

    /// Changes the faults.
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

    /// Open connections go silent for good, both ways; new ones work.
    pub fn silence(&self) {
        for pair in lock(&self.inner.pairs).values() {
            pair.life.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        for pair in lock(&self.inner.pairs).values() {
            pair.close();
        }
    }

    /// Closes the connection that the callee sees as coming from an address.
    pub fn close(&self, seen: SocketAddr) {
        let pairs = lock(&self.inner.pairs);
        let found = pairs.values().find(|pair| pair.callee.local_addr().ok() == Some(seen));
        found.inspect(|pair| pair.close());
    }

    /// Open connections.
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
            log::error!("the thread of a relay has panicked");
        }
        self.reset();
    }
}

impl Inner {
    /// When a chunk that was read now arrives.
    fn due(&self, random: &mut u64) -> Instant {
        let fault = *lock(&self.fault);
        let lost = fault.loss > 0.0 && share(random) < fault.loss;
        let stall = if lost { fault.stall } else { Duration::ZERO };
        Instant::now() + fault.delay + stall
    }

    fn stopped(&self, life: &Life) -> bool {
        let stopped = lock(&self.fault).blocked || life.silent.load(Ordering::SeqCst);
        stopped && !life.closed.load(Ordering::SeqCst) && !self.ended()
    }

    fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

impl Pair {
    fn close(&self) {
        self.life.closed.store(true, Ordering::SeqCst);
        // Either end may be closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.callee.shutdown(Shutdown::Both);
    }

    fn clone(&self) -> io::Result<Self> {
        let (caller, callee) = (self.caller.try_clone()?, self.callee.try_clone()?);
        Ok(Pair { caller, callee, life: self.life.clone() })
    }

    fn reversed(self) -> Self {
        Pair { caller: self.callee, callee: self.caller, life: self.life }
    }
}

/// Next of a fixed sequence of evenly spread numbers from 0 to 1.
fn share(random: &mut u64) -> f64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    (*random >> 11) as f64 / (1_u64 << 53) as f64
}

fn accept(inner: &Arc<Inner>) {
    let mut number = 0;
    while !inner.ended() {
        let Some(caller) = inner.port.accept() else {
            std::thread::sleep(LOOK_PERIOD);
            continue;
        };
        number += 1;
        let inner = inner.clone();
        spawn(move || {
            if let Err(error) = relay(&inner, number, caller) {
                log::debug!("relayed connection: {error}");
            }
        });
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().name("relayed".to_owned()).stack_size(STACK);
    if let Err(error) = thread.spawn(run) {
        log::error!("no thread for a relayed connection: {error}");
    }
}

fn relay(inner: &Arc<Inner>, number: u64, caller: TcpStream) -> io::Result<()> {
    let callee = TcpStream::connect(inner.to)?;
    caller.set_nodelay(true)?;
    callee.set_nodelay(true)?;
    let pair = Pair { caller, callee, life: Arc::default() };
    let (forth, back) = (pair.clone()?, pair.clone()?.reversed());
    lock(&inner.pairs).insert(number, pair);
    let (returning, seed) = (inner.clone(), 2 * number + 1);
    let (finished, wait) = sync_channel(1);
    spawn(move || {
        direction(&returning, back, seed);
        // The other direction may have given up waiting.
        let _ = finished.send(());
    });
    direction(inner, forth, 2 * number);
    // An error means that the other direction's thread is gone, which is an end as well.
    let _ = wait.recv();
    lock(&inner.pairs).remove(&number);
    Ok(())
}

/// Carries one direction, from the pair's caller to its callee, until it ends.
fn direction(inner: &Arc<Inner>, pair: Pair, seed: u64) {
    let Pair { caller, callee, life } = pair;
    let (sender, receiver) = sync_channel(CHUNKS);
    let writing = inner.clone();
    spawn(move || write(&writing, callee, &receiver, &life));
    read(inner, caller, &sender, seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
}

fn read(inner: &Inner, mut from: TcpStream, queue: &SyncSender<Chunk>, mut random: u64) {
    loop {
        let mut bytes = vec![0; CHUNK];
        let count = from.read(&mut bytes).unwrap_or(0);
        bytes.truncate(count);
        let due = inner.due(&mut random);
        let ended = queue.send(Chunk { due, bytes }).is_err();
        if ended || count == 0 {
            return;
        }
    }
}

/// Writes chunks when they are due; an empty one is the end.
fn write(inner: &Inner, mut to: TcpStream, queue: &Receiver<Chunk>, life: &Life) {
    while let Ok(chunk) = queue.recv() {
        std::thread::sleep(chunk.due.saturating_duration_since(Instant::now()));
        while inner.stopped(life) {
            std::thread::sleep(LOOK_PERIOD);
        }
        let ended = chunk.bytes.is_empty() || to.write_all(&chunk.bytes).is_err();
        if ended {
            // The other end may have closed it already.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
