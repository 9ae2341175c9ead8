//! One connection to a target, and exchanges on it that end in time.
//!
//! An exchange that is dropped or runs out of time leaves an answer on its way that belongs to
//! nobody else: the connection counts as dirty from the moment the exchange starts until its whole
//! answer is here, and whoever holds a dirty connection closes it. Closing it while a statement
//! runs also sends a cancel request, so that the target does not work on for nobody.

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

/// Idle time after which the kernel asks whether the other end is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time that a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// An open connection; closing it ends its task.
pub struct Connection {
    client: Client,
    task: JoinHandle<()>,
    address: SocketAddr,
    dirty: AtomicBool,
}

impl Connection {
    /// Opens a connection within the connect timeout of the settings.
    pub async fn open(address: SocketAddr, settings: &Settings) -> Result<Connection> {
        let timeout = settings.timeouts.connect;
        tokio::time::timeout(timeout, connect(address, settings)).await.map_err(|_| timed_out())?
    }

    /// The protocol client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Whether an answer may still be on its way, or the other end is gone.
    pub fn is_dirty(&self) -> bool {
        self.dirty.load(Ordering::Acquire) || self.client.is_closed()
    }

    /// An exchange starts: dirty from now on.
    pub fn start(&self) {
        self.dirty.store(true, Ordering::Release);
    }

    /// The whole answer of the exchange is here.
    pub fn settle(&self) {
        self.dirty.store(false, Ordering::Release);
    }

    /// Runs `work` on the connection; dirty unless it ends within `timeout`.
    pub async fn exchange<T>(
        &self,
        timeout: Duration,
        work: impl Future<Output = std::result::Result<T, tokio_postgres::Error>>,
    ) -> Result<T> {
        self.start();
        let answer = tokio::time::timeout(timeout, work).await.map_err(|_| timed_out())?;
        self.settle();
        Ok(answer?)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let running = self.dirty.load(Ordering::Acquire) && !self.client.is_closed();
        self.task.abort();
        if running && tokio::runtime::Handle::try_current().is_ok() {
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
        log::debug!("no cancel request reached {address}");
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
