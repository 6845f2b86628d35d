//! State that the threads of a gateway share: the newest configuration, server list and store view.
//!
//! The update poller's thread writes it; all other code takes snapshots. Each of the three parts
//! has its own version and is replaced only by a newer one, so that a coordinator that lags behind
//! cannot revert a gateway to older state.
//!
//! A gateway that was suspended or disconnected has older parts than others until its next pull, and
//! does not notice by itself. A decision that would be wrong on an older configuration, such as that a
//! route does not exist, therefore requires [`Snapshot::is_confirmed_since`].

use marblecroft_chain_replication::View;
use marblecroft_configuration::Configuration;
use marblecroft_protocol::coordinator::{ConfigurationUpdates, VersionVector};
use marblecroft_protocol::servers::ServerList;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;
use tokio::time::timeout_at;
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
    /// Time at or after which the configuration was the newest one; `None` before the first pull.
    confirmed_at: Option<Instant>,
}

impl Snapshot {
    /// Returns whether the configuration was the newest one at `time` or later. It then contains
    /// every change that had taken effect at any gateway before `time`.
    pub fn is_confirmed_since(&self, time: Instant) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| confirmed_at >= time)
    }

    /// Applies each part that is newer, from the reply to a pull that was sent at `requested_at`. A
    /// configuration that cannot be parsed is ignored, and its version is not recorded.
    fn update(&mut self, updates: ConfigurationUpdates, requested_at: Instant) {
        let newest_sequence = updates.configuration.as_ref().map(|update| update.sequence);
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
        // A coordinator replies under its lease, so its state was the newest one when the pull arrived.
        if newest_sequence.is_none_or(|newest| self.versions.configuration_sequence >= newest) {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
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
    /// Notified after each reply of a coordinator, and when the process starts to terminate.
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

    /// Applies the reply of a coordinator to a pull that was sent at `requested_at`, as far as it is
    /// newer than the current state.
    pub fn update(&self, updates: ConfigurationUpdates, requested_at: Instant) {
        self.lock().update(updates, requested_at);
        self.changed.notify_waiters();
    }

    /// Waits until the configuration is known to have been the newest one at `time` or later. Returns
    /// whether it is by `deadline`.
    pub async fn wait_until_confirmed_since(&self, time: Instant, deadline: Instant) -> bool {
        loop {
            // Must precede the snapshot, so that no change between the two is missed.
            let changed = self.changed.notified();
            if self.snapshot().is_confirmed_since(time) {
                return true;
            }
            if timeout_at(deadline.into(), changed).await.is_err() {
                return self.snapshot().is_confirmed_since(time);
            }
        }
    }
}

#[cfg(test)]
mod tests;
