//! One connection to a target, and exchanges on it with a timeout.
//!
//! An exchange that is dropped or times out leaves a response in flight that must not reach the
//! next user of the connection. A connection is therefore dirty from the start of an exchange until
//! the complete response has arrived, and a dirty connection is closed instead of reused. Closing
//! it while a statement is in progress also sends a cancel request, so that the target does not
//! keep executing a statement whose result nobody reads.

use crate::error::{Error, Result};
use crate::settings::Settings;
use socket2::{SockRef, TcpKeepalive};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_postgres::{CancelToken, Client, Config, NoTls};

/// Idle time after which the kernel sends the first TCP keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// An open connection; dropping it closes it and ends the task that drives it.
pub struct Connection {
    client: Client,
    task: JoinHandle<()>,
    address: SocketAddr,
    dirty: AtomicBool,
}

impl Connection {
    /// Opens a connection and logs in, within the connect timeout of the settings.
    pub async fn open(address: SocketAddr, settings: &Settings) -> Result<Connection> {
        let timeout = settings.timeouts.connect;
        tokio::time::timeout(timeout, connect(address, settings)).await.map_err(|_| timed_out())?
    }

    /// Client for exchanges on the connection; wrap them in [`Connection::exchange`] or between
    /// [`Connection::start_exchange`] and [`Connection::finish_exchange`].
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Whether a response may still be in flight, or the connection is closed.
    pub fn is_dirty(&self) -> bool {
        self.dirty.load(Ordering::Acquire) || self.client.is_closed()
    }

    /// Marks the start of an exchange: the connection is dirty from now on.
    pub fn start_exchange(&self) {
        self.dirty.store(true, Ordering::Release);
    }

    /// Marks the end of an exchange: its complete response has arrived.
    pub fn finish_exchange(&self) {
        self.dirty.store(false, Ordering::Release);
    }

    /// Runs `work` on the connection, which stays dirty if `work` does not finish within `timeout`.
    pub async fn exchange<T>(
        &self,
        timeout: Duration,
        work: impl Future<Output = std::result::Result<T, tokio_postgres::Error>>,
    ) -> Result<T> {
        self.start_exchange();
        let answer = tokio::time::timeout(timeout, work).await.map_err(|_| timed_out())?;
        self.finish_exchange();
        Ok(answer?)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let is_in_progress = self.dirty.load(Ordering::Acquire) && !self.client.is_closed();
        self.task.abort();
        if is_in_progress && tokio::runtime::Handle::try_current().is_ok() {
            tokio::spawn(cancel(self.client.cancel_token(), self.address));
        }
    }
}

async fn cancel(token: CancelToken, address: SocketAddr) {
    let sent = tokio::time::timeout(CANCEL_TIMEOUT, async {
        let stream = TcpStream::connect(address).await?;
        token.cancel_query_raw(stream, NoTls).await?;
        Ok::<(), Error>(())
    });
    if !matches!(sent.await, Ok(Ok(()))) {
        log::debug!(
            "cannot send a cancel request to {address}; the statement may keep running there"
        );
    }
}

async fn connect(address: SocketAddr, settings: &Settings) -> Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    let mut config = Config::new();
    config.user(&settings.login.user).dbname(&settings.login.database);
    if let Some(password) = &settings.login.password {
        config.password(password);
    }
    let (client, connection) = config.connect_raw(stream, NoTls).await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection { client, task, address, dirty: AtomicBool::new(false) })
}

fn timed_out() -> Error {
    std::io::Error::from(std::io::ErrorKind::TimedOut).into()
}
