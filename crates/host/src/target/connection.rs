//! One connection to a target.

use crate::error::Result;
use crate::settings::Settings;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls};

/// An open connection; closing it ends its task.
pub struct Connection {
    client: Client,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection within the connect timeout of the settings.
    pub async fn open(address: SocketAddr, settings: &Settings) -> Result<Connection> {
        let timeout = settings.timeouts.connect;
        tokio::time::timeout(timeout, connect(address, settings))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
    }

    /// The protocol client.
    pub fn client(&self) -> &Client {
        &self.client
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: SocketAddr, settings: &Settings) -> Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
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
    Ok(Connection { client, task })
}
