//! Measures statements through a daemon that runs in a process of its own.
//!
//! The bench starts the stand-ins and writes the daemon's settings. The operator then starts the
//! daemon, since the bench starts no processes; the bench waits for its process id.

use super::Scenario;
use super::process;
use super::statement::{self, Cost};
use crate::error::{Error, Result};
use crate::system::System;
use std::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time allowed for the operator to start the daemon.
const START_TIMEOUT: Duration = Duration::from_secs(120);
const PID_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Writes the daemon's settings to `folder`, waits for the daemon and measures it.
///
/// Fails if no process id is found in `folder` within `START_TIMEOUT`.
pub async fn measure(scenario: &Scenario, folder: &Path) -> Result<Cost> {
    let mut system = System::prepare(statement::spec(scenario.seed, 1, 1, 1)).await?;
    let mut settings = system.settings(0);
    settings.listen.callers.set_port(free_port()?);
    settings.listen.operators.set_port(free_port()?);
    settings.listen.peers.set_port(free_port()?);
    let text = serde_yaml_ng::to_string(&settings)
        .map_err(|error| Error::Start(format!("daemon settings: {error}")))?;
    std::fs::create_dir_all(folder)?;
    let (file, pid_file) = (folder.join("host1.yaml"), folder.join("host1.pid"));
    std::fs::write(&file, text)?;
    eprintln!(
        "start the daemon: bergamotvaled --config {} & echo $! > {}",
        file.display(),
        pid_file.display()
    );
    let pid = wait_for_pid(&pid_file).await?;
    system.add_external_host(settings).await?;
    let cpu_time = || process::cpu_time(pid);
    statement::compare(scenario, &system, 0, cpu_time, "the daemon's process").await
}

fn free_port() -> Result<u16> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?.port())
}

async fn wait_for_pid(file: &Path) -> Result<u32> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        if let Ok(pid) = text.trim().parse() {
            return Ok(pid);
        }
        tokio::time::sleep(PID_POLL_INTERVAL).await;
    }
    Err(Error::Start(format!("daemon was not started: no process id in {}", file.display())))
}
