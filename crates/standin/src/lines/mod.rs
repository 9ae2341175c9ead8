//! Stand-ins for session hosts: the platform's table service and groups of targets that speak the
//! line protocol.
//!
//! A [`System`] runs both on a single thread, apart from the threads that accept connections to
//! targets. [`Store`] and [`Target`] inject faults. Names and formats come from the adapter.

mod group;
mod session;
mod store;

pub use group::{Group, Target};
pub use store::{Copy, Outage, Store};

use bergamotvale_core::proxy::catalog::Catalog;
use bergamotvale_platform::{catalog, counterpart, directory};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// A platform and its groups of targets; dropping it stops them.
pub struct System {
    /// The platform's table service.
    pub store: Arc<Store>,
    /// One group per service, in the order given at the start.
    pub groups: Vec<Arc<Group>>,
    /// Address of the platform, for the table service and the promotion call.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl System {
    /// Starts a platform and a group of three targets for each of `services`.
    pub fn start(services: &[&str]) -> crate::Result<System> {
        let store = Arc::new(Store::default());
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let mut groups = Vec::new();
        for service in services {
            groups.push(Arc::new(Group::new(service, store.clone())?));
        }
        let (stop, stop_requested) = oneshot::channel();
        let (served_store, served_groups) = (store.clone(), groups.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::spawn(move || {
            runtime.block_on(async move {
                for group in &served_groups {
                    group.serve();
                }
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => {
                        tokio::spawn(store::serve(served_store, served_groups, listener));
                    }
                    Err(error) => log::error!(
                        "stand-in store cannot use its listener and serves no calls: {error}"
                    ),
                }
                // An error means that the sender was dropped, which is a request to stop as well.
                drop(stop_requested.await);
            });
        });
        Ok(System { store, groups, address, stop: Some(stop), thread: Some(thread) })
    }

    /// Writes a configuration to the table, as operators do.
    pub fn configure(&self, catalog: &Catalog) {
        let value = counterpart::rows::encode_catalog(catalog);
        self.store.write(catalog::TABLE, catalog::KEY, Some(value));
    }

    /// Restores the store from a copy; the operators' and the targets' rows are written again.
    pub fn restore(&self, copy: &Copy) {
        self.store.restore(copy, &[catalog::TABLE, directory::TABLE]);
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The thread may have exited already.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
