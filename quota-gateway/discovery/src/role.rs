//! The role of this process in its store: the writer, or a replica that follows the writer.
//!
//! There is no election. Operators choose the writer by a promotion with an epoch higher than all earlier
//! ones. This module ensures that a writer with a lower epoch stops writing once a higher epoch is known, and
//! that a replica does not serve lists older than configured.

use crate::config::Config;
use marblecroft_discovery::http::HttpError;
use marblecroft_discovery::store::Store;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// The role of this process.
pub enum Role {
    /// It is the writer, unless another process has been promoted.
    Writer {
        /// The higher epoch of another process, if one has been promoted since.
        superseded_by: Option<u64>,
        /// Whether every peer has responded without a higher epoch, or operators have promoted this process.
        is_confirmed: bool,
        /// When each peer last responded without a higher epoch, in the order of the configuration.
        peers_confirmed_at: Vec<Option<Instant>>,
    },
    /// It follows a writer.
    Replica {
        /// The writer's address.
        writer: SocketAddr,
        /// The last time at which it had all changes of the writer.
        in_sync_at: Option<Instant>,
    },
}

impl Role {
    /// Returns the role at the start of the process. A promotion survives restarts and overrides the
    /// configuration.
    pub fn at_start(config: &Config, store: &Store) -> Role {
        match config.follow {
            Some(writer) if !store.is_promoted() => Role::Replica { writer, in_sync_at: None },
            _ => Role::Writer {
                superseded_by: None,
                is_confirmed: config.peers.is_empty(),
                peers_confirmed_at: vec![None; config.peers.len()],
            },
        }
    }

    /// Returns the role after a promotion. All peers count as confirmed now, so that they have time to
    /// respond.
    pub fn promoted(config: &Config) -> Role {
        let peers_confirmed_at = vec![Some(Instant::now()); config.peers.len()];
        Role::Writer { superseded_by: None, is_confirmed: true, peers_confirmed_at }
    }

    /// Returns whether this process is a writer.
    pub fn is_writer(&self) -> bool {
        matches!(self, Role::Writer { .. })
    }

    /// Returns the name of the role in the status response.
    pub fn name(&self) -> &'static str {
        match self {
            Role::Writer { superseded_by: Some(_), .. } => "superseded",
            Role::Writer { is_confirmed: false, .. } => "unconfirmed",
            Role::Writer { .. } => "writes",
            Role::Replica { .. } => "follows",
        }
    }

    /// Returns how long ago a replica was last in sync with the writer; `None` for a writer.
    pub fn lag(&self) -> Option<Duration> {
        match self {
            Role::Writer { .. } => None,
            Role::Replica { in_sync_at, .. } => Some(in_sync_at.map_or(Duration::MAX, |at| at.elapsed())),
        }
    }

    /// Returns an error unless lists may be served.
    pub fn check_may_serve(&self, config: &Config, store: &Store) -> Result<(), HttpError> {
        let reason = match self {
            Role::Writer { superseded_by: Some(_), .. } => "another process writes this store",
            Role::Writer { is_confirmed: false, .. } => "not every peer has said that none of them writes",
            Role::Writer { .. } => return Ok(()),
            Role::Replica { .. } if store.origin() == 0 => "nothing was taken over yet",
            Role::Replica { .. } if self.lag() > Some(Duration::from_millis(config.stale_ms)) => {
                "too far behind the process that writes"
            }
            Role::Replica { .. } => return Ok(()),
        };
        Err(HttpError::busy(reason))
    }

    /// Returns an error unless changes may be made.
    pub fn check_may_write(&self, config: &Config) -> Result<(), HttpError> {
        let Role::Writer { superseded_by, is_confirmed, peers_confirmed_at } = self else {
            return Err(HttpError::busy("this process follows another, which writes"));
        };
        if let Some(epoch) = superseded_by {
            return Err(HttpError::busy(&format!("another process writes this store, under epoch {epoch}")));
        }
        if !is_confirmed {
            return Err(HttpError::busy("not every peer has said that none of them writes"));
        }
        // A writer that is partitioned from its peers rejects changes, since operators may promote another
        // process on the other side.
        let max_age = Duration::from_millis(config.stale_ms);
        let is_recent = |at: &&Option<Instant>| at.is_some_and(|at| at.elapsed() <= max_age);
        if peers_confirmed_at.iter().filter(is_recent).count() * 2 < peers_confirmed_at.len() {
            return Err(HttpError::busy(
                "fewer than half of the peers are heard of, and another process may write",
            ));
        }
        Ok(())
    }

    /// Handles a higher epoch of another process. This process stops writing, and becomes a replica if the
    /// configuration names a writer to follow.
    pub fn on_higher_epoch(&mut self, config: &Config, epoch: u64) {
        if let Role::Writer { superseded_by, .. } = self {
            if superseded_by.replace(epoch) != Some(epoch) {
                warn!(epoch, "superseded: another process writes under epoch {epoch}");
            }
            if let Some(writer) = config.follow {
                *self = Role::Replica { writer, in_sync_at: None };
            }
        }
    }

    /// Records that a peer responded without a higher epoch. `peer` is its index in the configuration.
    pub fn on_peer_confirmed(&mut self, peer: usize) {
        if let Role::Writer { is_confirmed, peers_confirmed_at, .. } = self {
            peers_confirmed_at[peer] = Some(Instant::now());
            if !*is_confirmed && peers_confirmed_at.iter().all(Option::is_some) {
                *is_confirmed = true;
                info!("confirmed: no peer is at a higher epoch");
            }
        }
    }

    /// Records that a replica had all changes of the writer at this time.
    pub fn on_in_sync(&mut self, at: Instant) {
        if let Role::Replica { in_sync_at, .. } = self {
            *in_sync_at = Some(at);
        }
    }
}
