//! State that the threads of a gateway share: the newest configuration, server list and store view.
//!
//! The update poller's thread writes it; all other code takes snapshots. Each of the three parts
//! has its own version and is replaced only by a newer one, so that a coordinator that lags behind
//! cannot revert a gateway to older state.

use marblecroft_chain_replication::View;
use marblecroft_configuration::Configuration;
use marblecroft_protocol::coordinator::{ConfigurationUpdates, VersionVector};
use marblecroft_protocol::servers::ServerList;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tracing::{info, warn};

/// The newest configuration, server list and store view that this process has received. Cheap to
/// clone.
#[derive(Clone, Default)]
pub struct Snapshot {
    /// Current configuration; `None` until the first one is received.
    pub configuration: Option<Arc<Configuration>>,
    /// Model servers; empty until the first list is received.
    pub servers: Arc<ServerList>,
    /// View of the stores; number 0 until the first view is received.
    pub store_view: Arc<View>,
    /// Versions of these three parts.
    pub versions: VersionVector,
}

impl Snapshot {
    /// Applies each part that is newer. A configuration that cannot be parsed is ignored, and its
    /// version is not recorded.
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
                self.store_view = Arc::new(view);
            }
        }
    }
}

/// The shared state.
#[derive(Default)]
pub struct State {
    snapshot: Mutex<Snapshot>,
    /// Notified after each update, and when the process starts to terminate.
    pub changed: Notify,
    terminating: AtomicBool,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the current state.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    /// Returns the versions of the current state.
    pub fn versions(&self) -> VersionVector {
        self.lock().versions
    }

    /// Returns whether clients can be served: a configuration and servers are available, and the
    /// process is not terminating.
    pub fn is_ready(&self) -> bool {
        let snapshot = self.lock();
        snapshot.configuration.is_some() && !snapshot.servers.servers.is_empty() && !self.is_terminating()
    }

    /// Returns whether the process has started to terminate.
    pub fn is_terminating(&self) -> bool {
        self.terminating.load(Ordering::Relaxed)
    }

    /// Marks the process as terminating, so that readiness checks fail and no new work is started.
    pub fn terminate(&self) {
        self.terminating.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Applies an update from a coordinator, as far as it is newer than the current state.
    pub fn update(&self, updates: ConfigurationUpdates) {
        self.lock().update(updates);
        self.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
