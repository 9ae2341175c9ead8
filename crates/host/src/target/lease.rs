//! Exclusive use of a pooled connection by one owner.

use super::connection::Connection;
use super::{Key, pool};
use crate::shared::Host;
use bergamotvale_core::pool::ConnectionId;
use std::sync::Arc;

/// A leased connection: closed on drop unless it was released with [`Lease::release_clean`].
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

    /// Target of the connection.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Client for exchanges on the connection, to be marked with [`Lease::start_exchange`] and
    /// [`Lease::finish_exchange`].
    pub fn client(&self) -> &tokio_postgres::Client {
        self.connection().client()
    }

    /// Marks the start of an exchange, which may extend over several calls; dropping the lease
    /// before the exchange is finished cancels the statement.
    pub fn start_exchange(&self) {
        self.connection().start_exchange();
    }

    /// Marks the end of an exchange: its complete response has arrived.
    pub fn finish_exchange(&self) {
        self.connection().finish_exchange();
    }

    /// Returns the connection to the pool. The owner must ensure that no transaction is open on it.
    /// A connection with an unfinished exchange is closed instead.
    pub fn release_clean(mut self) {
        let clean_connection = self.connection.take().filter(|connection| !connection.is_dirty());
        pool::record_release(&self.host, self.key, self.id, clean_connection);
    }

    fn connection(&self) -> &Connection {
        self.connection.as_ref().expect("held until the lease ends")
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            drop(connection);
            pool::record_release(&self.host, self.key, self.id, None);
        }
    }
}
