//! A host with lowered limits, what is checked of it, and crowds of callers.

use crate::fixture::{Caller, Fleet, KEY, Process, STRICT_DB, catalog, eventually};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::End;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Memory that the settings of the host state.
const MEMORY_MB: u64 = 64;
/// Descriptors that the settings of the host state.
const DESCRIPTORS: usize = 300;
/// Callers that send or request large messages at once. They hold more than `MEMORY_MB` if the host
/// buffers a message of 1 MiB twice for each of them.
pub(crate) const CROWD: usize = 48;
/// Connections of a flood, more than `DESCRIPTORS`.
pub(crate) const FLOOD: usize = 400;
/// Time after which a caller gives up sending to, or reading from, a host that has stopped reading
/// or answering.
const GIVE_UP: Duration = Duration::from_secs(2);
/// Interval at which open descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A host under test.
pub(crate) struct Site {
    pub(crate) fleet: Fleet,
    memory_mb: u64,
    descriptors: usize,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts a host with little memory and few descriptors once no other test runs.
    pub(crate) fn start() -> Site {
        Site::start_with(MEMORY_MB, DESCRIPTORS)
    }

    /// Like `start`, with other limits.
    pub(crate) fn start_with(memory_mb: u64, descriptors: usize) -> Site {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = json!({"memory": memory_mb, "descriptors": descriptors});
        let fleet = Fleet::start_limited(1, catalog(), &settings);
        Site { fleet, memory_mb, descriptors, _turn: turn }
    }

    pub(crate) fn host(&self) -> &Process {
        &self.fleet.hosts[0]
    }

    /// Runs a crowd to its end. Then the host has to live, to have stayed within its memory and
    /// descriptors all the time, and to answer an ordinary request.
    pub(crate) fn withstands<T>(&self, crowd: impl FnOnce() -> T) -> T {
        let is_over = AtomicBool::new(false);
        let most = AtomicUsize::new(0);
        let result = std::thread::scope(|scope| {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    most.fetch_max(self.open_descriptors(), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            });
            let result = crowd();
            self.answers_ordinary_request();
            is_over.store(true, Ordering::Relaxed);
            result
        });
        let peak_kb = self.peak_memory_kb();
        let most = most.into_inner();
        eprintln!("peak memory {peak_kb} kB, at most {most} descriptors");
        assert!(peak_kb * 1024 <= self.memory_mb * 1_000_000, "peak memory is {peak_kb} kB");
        assert!(most <= self.descriptors, "{most} descriptors were open");
        result
    }

    fn answers_ordinary_request(&self) {
        let address = self.host().callers;
        eventually("an ordinary request is answered", || {
            let session = Caller::try_connect(address, STRICT_DB, KEY, GIVE_UP);
            let answer = session.and_then(|mut session| session.try_run(&caller::read("bolt")));
            answer.is_some_and(|answer| answer.end == End::Done)
        });
    }

    /// Fails if the process has ended.
    fn open_descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.host().id());
        std::fs::read_dir(folder).map_or(0, Iterator::count)
    }

    fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.host().id()))
            .expect("the process is known");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let line = line.expect("the process lives");
        line.trim().trim_end_matches(" kB").parse().expect("the peak is a number")
    }
}

/// Connects without sending anything.
pub(crate) fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, GIVE_UP).ok()?;
    stream.set_read_timeout(Some(GIVE_UP)).ok()?;
    stream.set_write_timeout(Some(GIVE_UP)).ok()?;
    Some(stream)
}

/// Connects and opens a session. None if the host refuses.
pub(crate) fn open(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = connect(address)?;
    stream.write_all(&caller::connect(STRICT_DB, KEY)).ok()?;
    let mut line = [0; 64];
    let count = stream.read(&mut line).ok()?;
    line[..count].starts_with(b"READY").then_some(stream)
}

/// Sends bytes in pieces, as far as the host takes them; a caller that misbehaves expects nothing
/// else.
pub(crate) fn send(stream: &mut TcpStream, bytes: &[u8], piece: usize) -> bool {
    bytes.chunks(piece).all(|piece| stream.write_all(piece).is_ok())
}

/// Reads until the host closes the connection or is silent.
pub(crate) fn drain(stream: &mut TcpStream) {
    let mut bytes = [0; 16 << 10];
    while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
}

/// Runs `act` for each of `count` callers at once, each on a thread of its own.
pub(crate) fn together<T: Send>(count: usize, act: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let act = &act;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..count).map(|n| scope.spawn(move || act(n))).collect();
        callers.into_iter().map(|caller| caller.join().expect("the caller ends")).collect()
    })
}
