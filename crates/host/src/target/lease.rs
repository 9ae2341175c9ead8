//! A leased connection.

use super::connection::Connection;
use super::{Key, pool};
use crate::shared::Host;
use bergamotvale_core::pool::ConnectionId;
use std::sync::Arc;

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
