//! What the threads of a gateway share: the newest configuration, list of servers and view of the stores.
//!
//! The puller's thread writes it, everybody else takes snapshots. Each of the three carries a version of its own and is
//! replaced only by a newer one, so that a slow coordinator cannot take a gateway back.

use marblecroft_chain_replication::View;
use marblecroft_configuration::Configuration;
use marblecroft_protocol::coordinator::{ConfigurationUpdates, VersionVector};
use marblecroft_protocol::servers::ServerList;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tracing::{info, warn};

/// The newest of each that this process knows. Cheap to clone.
#[derive(Clone, Default)]
pub struct Snapshot {
    /// The configuration in force; `None` until the first one has come.
    pub configuration: Option<Arc<Configuration>>,
    /// The model servers; empty until the first list has come.
    pub servers: Arc<ServerList>,
    /// The view of the stores; number 0 until the first one has come.
    pub stores: Arc<View>,
    /// The versions of the three.
    pub versions: VersionVector,
}

impl Snapshot {
    /// Takes over each part that is newer. A configuration that cannot be parsed is passed over, and its version with it.
    fn update(&mut self, updates: ConfigurationUpdates) {
        if let Some(update) = updates.configuration {
            if update.sequence > self.versions.configuration_sequence {
                match Configuration::parse(&update.body.0) {
                    Ok(configuration) => {
                        info!(generation = %configuration.generation, "configuration in force");
                        self.configuration = Some(Arc::new(configuration));
                        self.versions.configuration_sequence = update.sequence;
                    }
                    Err(e) => warn!(error = %e, "configuration cannot be parsed"),
                }
            }
        }
        if let Some(list) = updates.servers {
            if list.version > self.versions.server_list_version {
                self.versions.server_list_version = list.version;
                self.servers = Arc::new(list);
            }
        }
        if let Some(view) = updates.stores {
            if view.number > self.versions.store_view_number {
                self.versions.store_view_number = view.number;
                self.stores = Arc::new(view);
            }
        }
    }
}

/// The shared state.
#[derive(Default)]
pub struct State {
    snapshot: Mutex<Snapshot>,
    /// Notified after each update, and when the process begins to end.
    pub changed: Notify,
    terminating: AtomicBool,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest of each.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    /// Returns the versions of the newest of each.
    pub fn versions(&self) -> VersionVector {
        self.lock().versions
    }

    /// Whether clients can be served: configuration and servers are known, and the process does not end.
    pub fn is_ready(&self) -> bool {
        let snapshot = self.lock();
        snapshot.configuration.is_some() && !snapshot.servers.servers.is_empty() && !self.is_terminating()
    }

    /// Whether the process has begun to end.
    pub fn is_terminating(&self) -> bool {
        self.terminating.load(Ordering::Relaxed)
    }

    /// Makes readiness fail and new work stop, because the process is to end.
    pub fn terminate(&self) {
        self.terminating.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Takes over what a coordinator sent, as far as it is newer.
    pub fn update(&self, updates: ConfigurationUpdates) {
        self.lock().update(updates);
        self.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
