//! Processor time and memory, from the kernel's own books.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Names of threads are cut to this length.
const NAME_BYTES: usize = 15;
/// Name of the threads that run hosts' tasks.
pub const HOST_THREAD: &str = "bv-host";
/// Name of the threads of the HTTP listeners.
const LISTENER_THREAD: &str = "xitca-server-worker";

/// A thread and the processor time that it has used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Thread {
    /// Its name, cut.
    pub name: String,
    /// Time on a processor.
    pub used: Duration,
}

/// Threads by id.
pub type Threads = BTreeMap<u32, Thread>;

/// The threads of process `pid`.
pub fn threads(pid: u32) -> std::io::Result<Threads> {
    let mut threads = Threads::new();
    for entry in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = entry?.path();
        // A thread may end while it is looked at.
        if let Some((id, thread)) = thread(&path) {
            threads.insert(id, thread);
        }
    }
    Ok(threads)
}

fn thread(path: &Path) -> Option<(u32, Thread)> {
    let id = path.file_name()?.to_str()?.parse().ok()?;
    let name = std::fs::read_to_string(path.join("comm")).ok()?.trim().to_owned();
    let statistics = std::fs::read_to_string(path.join("schedstat")).ok()?;
    let nanos = statistics.split_whitespace().next()?.parse().ok()?;
    Some((id, Thread { name, used: Duration::from_nanos(nanos) }))
}

/// Time that hosts' threads of this process have used, but for the threads in `others`.
pub fn hosts_used(others: &Threads) -> std::io::Result<Duration> {
    let names = [HOST_THREAD, LISTENER_THREAD].map(|name| &name[..name.len().min(NAME_BYTES)]);
    let threads = threads(std::process::id())?;
    let hosts = threads
        .iter()
        .filter(|(id, thread)| names.contains(&thread.name.as_str()) && !others.contains_key(id));
    Ok(hosts.map(|(_, thread)| thread.used).sum())
}

/// Time that all threads of process `pid` have used.
pub fn used(pid: u32) -> std::io::Result<Duration> {
    Ok(threads(pid)?.values().map(|thread| thread.used).sum())
}

/// Resident memory of this process, bytes.
pub fn resident() -> std::io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib * 1024).ok_or_else(|| std::io::Error::other("no VmRSS"))
}

/// Bytes that the loopback interface has carried, headers included, by whichever process.
pub fn loopback_bytes() -> std::io::Result<u64> {
    let devices = std::fs::read_to_string("/proc/self/net/dev")?;
    let line = devices.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.ok_or_else(|| std::io::Error::other("no loopback interface"))
}
