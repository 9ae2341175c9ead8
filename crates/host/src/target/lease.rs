//! A leased connection.

use super::connection::Connection;
use super::{Key, pool};
use crate::error::{Error, Result};
use crate::failover::driver;
use crate::shared::Host;
use bergamotvale_core::pool::ConnectionId;
use bergamotvale_core::sqlstate::Failure;
use std::future::Future;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Shortest timeout whose passing says something about the target.
const TELLING_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection with its one owner; closed on drop unless given back clean.
pub struct Lease {
    host: Arc<Host>,
    key: Key,
    id: ConnectionId,
    connection: Option<Connection>,
}

impl Lease {
    pub(crate) fn new(
        host: Arc<Host>,
        key: Key,
        id: ConnectionId,
        connection: Connection,
    ) -> Lease {
        Lease { host, key, id, connection: Some(connection) }
    }

    /// The target that it leads to.
    pub fn key(&self) -> Key {
        self.key
    }

    /// The protocol client.
    pub fn client(&self) -> &tokio_postgres::Client {
        self.connection().client()
    }

    /// Runs `work` on the connection, which is never used again unless that ends within
    /// `timeout`. Dropping it before it ends cancels the statement.
    ///
    /// How it ended counts as a sign of the target's health, and the news that the target is not
    /// the primary makes the host look at the group at once.
    pub async fn exchange<T>(
        &self,
        timeout: Duration,
        work: impl Future<Output = std::result::Result<T, tokio_postgres::Error>>,
    ) -> Result<T> {
        let answer = self.connection().exchange(timeout, work).await;
        self.judge(timeout, answer.as_ref().err());
        answer
    }

    fn judge(&self, timeout: Duration, error: Option<&Error>) {
        let now = self.host.clock.now();
        let well = match error {
            None => true,
            Some(Error::Io(e)) if e.kind() == ErrorKind::TimedOut => {
                if timeout < TELLING_TIMEOUT {
                    return;
                }
                false
            }
            Some(Error::Target(e)) => match e.code().map(|code| Failure::new(code.code())) {
                Some(Failure::Superseded) => {
                    return driver::probe_all(&self.host, self.key.0);
                }
                Some(failure) => !failure.is_target_fault(),
                None => false,
            },
            Some(_) => false,
        };
        self.host.failover.worked(now, self.key, well);
    }

    /// An exchange starts that may outlast a call; dropping the lease before it is settled cancels
    /// the statement.
    pub fn start(&self) {
        self.connection().start();
    }

    /// The whole answer of the exchange is here.
    pub fn settle(&self) {
        self.connection().settle();
    }

    /// Gives the connection back; the owner vouches that no transaction and no answer is left on
    /// it. One with an exchange that did not end is closed all the same.
    pub fn release_clean(mut self) {
        let kept = self.connection.take().filter(|connection| !connection.is_dirty());
        pool::released(&self.host, self.key, self.id, kept);
    }

    fn connection(&self) -> &Connection {
        self.connection.as_ref().expect("held until the lease ends")
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            drop(connection);
            pool::released(&self.host, self.key, self.id, None);
        }
    }
}
