//! What the threads of a gateway share: the newest configuration, list of servers and view of the stores.

use marblecroft_chain_replication::View;
use marblecroft_configuration::Configuration;
use marblecroft_protocol::coordinator::{ConfigurationUpdates, VersionVector};
use marblecroft_protocol::servers::ServerList;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tracing::{info, warn};

/// The newest of each that this process knows. Nothing of it goes back within the process's life.
#[derive(Clone, Default)]
pub struct Snapshot {
    pub configuration: Option<Arc<Configuration>>,
    pub servers: Arc<ServerList>,
    pub stores: Arc<View>,
    pub versions: VersionVector,
}

/// Shared by all threads.
#[derive(Default)]
pub struct State {
    snapshot: Mutex<Snapshot>,
    /// Something has changed.
    pub changed: Notify,
    terminating: AtomicBool,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest of each.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    pub fn versions(&self) -> VersionVector {
        self.lock().versions
    }

    /// Whether clients can be served.
    pub fn is_ready(&self) -> bool {
        let known = self.lock();
        known.configuration.is_some() && !known.servers.servers.is_empty() && !self.is_terminating()
    }

    pub fn is_terminating(&self) -> bool {
        self.terminating.load(Ordering::Relaxed)
    }

    /// The process is to end.
    pub fn terminate(&self) {
        self.terminating.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Takes what a coordinator told, as far as it is newer.
    pub fn update(&self, updates: ConfigurationUpdates) {
        let mut known = self.lock();
        if let Some(update) = updates.configuration {
            if update.sequence > known.versions.configuration {
                match Configuration::parse(&update.body.0) {
                    Ok(configuration) => {
                        info!("configuration {} is in force", configuration.generation);
                        known.configuration = Some(Arc::new(configuration));
                        known.versions.configuration = update.sequence;
                    }
                    Err(e) => warn!("a configuration cannot be read: {e}"),
                }
            }
        }
        if let Some(list) = updates.servers {
            if list.version > known.versions.servers {
                known.versions.servers = list.version;
                known.servers = Arc::new(list);
            }
        }
        if let Some(view) = updates.stores {
            if view.number > known.versions.stores {
                known.versions.stores = view.number;
                known.stores = Arc::new(view);
            }
        }
        drop(known);
        self.changed.notify_waiters();
    }
}
