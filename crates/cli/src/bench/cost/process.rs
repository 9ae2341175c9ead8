//! Reads CPU time, memory and network counters from the kernel, in `/proc`.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Length to which the kernel truncates thread names.
const MAX_THREAD_NAME_BYTES: usize = 15;
/// Name of the runtime threads that run the hosts' tasks.
pub const HOST_THREAD: &str = "bv-host";
/// Name of the hosts' HTTP listener threads, which xitca-server sets.
const LISTENER_THREAD: &str = "xitca-server-worker";

/// A thread and its CPU time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Thread {
    /// Name, truncated by the kernel.
    pub name: String,
    /// CPU time since the thread started.
    pub cpu_time: Duration,
}

/// Threads of a process by thread id.
pub type Threads = BTreeMap<u32, Thread>;

/// Reads the threads of process `pid`.
pub fn threads(pid: u32) -> std::io::Result<Threads> {
    let mut threads = Threads::new();
    for entry in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = entry?.path();
        // A thread that ends meanwhile is skipped.
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
    Some((id, Thread { name, cpu_time: Duration::from_nanos(nanos) }))
}

/// CPU time of the hosts' threads of this process, without the threads in `others`.
pub fn hosts_cpu_time(others: &Threads) -> std::io::Result<Duration> {
    let names =
        [HOST_THREAD, LISTENER_THREAD].map(|name| &name[..name.len().min(MAX_THREAD_NAME_BYTES)]);
    let threads = threads(std::process::id())?;
    let hosts = threads
        .iter()
        .filter(|(id, thread)| names.contains(&thread.name.as_str()) && !others.contains_key(id));
    Ok(hosts.map(|(_, thread)| thread.cpu_time).sum())
}

/// CPU time of all threads of process `pid`; threads that have ended are not included.
pub fn cpu_time(pid: u32) -> std::io::Result<Duration> {
    Ok(threads(pid)?.values().map(|thread| thread.cpu_time).sum())
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> std::io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib * 1024).ok_or_else(|| std::io::Error::other("no VmRSS"))
}

/// Bytes that all processes have sent over the loopback interface, headers included.
pub fn loopback_bytes() -> std::io::Result<u64> {
    let devices = std::fs::read_to_string("/proc/self/net/dev")?;
    let line = devices.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.ok_or_else(|| std::io::Error::other("no loopback interface"))
}
