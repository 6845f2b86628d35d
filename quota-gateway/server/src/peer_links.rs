//! The updates that two processes of one gateway exchange while both run, during an upgrade.
//!
//! Both serve clients on the same listening socket. Each reports its attempts to the other, which counts them
//! against the same quotas, and passes on the operators' changes. An update is a line of JSON that other
//! versions of the program also read, so the names of variants and fields are part of the format.

use crate::commands::Change;
use marblecroft_quota_gateway_core::PeerProcessEvent;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use tokio::sync::mpsc;

/// The number of updates that are queued for another process. A process that does not read them, so that the
/// queue is full, is no longer treated as a peer.
const UPDATES_BUFFERED: usize = 4096;

/// An update for the other process.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// An operator made a change.
    Change(Change),
    /// The process that sends the update has sent an attempt, or one of its attempts has ended.
    #[serde(rename = "Elsewhere")]
    Process(PeerProcessEvent),
}

/// The sender of lines to one other process.
pub type PeerSender = mpsc::Sender<String>;

/// The other processes of this gateway, which exist only during an upgrade.
#[derive(Default)]
pub struct PeerLinks(RefCell<Vec<PeerSender>>);

impl PeerLinks {
    /// Creates the queue of lines to another process. Updates are queued once its sender was added.
    pub fn channel() -> (PeerSender, mpsc::Receiver<String>) {
        mpsc::channel(UPDATES_BUFFERED)
    }

    /// Adds a process, which is sent all further updates.
    pub fn add(&self, sender: PeerSender) {
        self.0.borrow_mut().push(sender);
    }

    /// Removes a process, which is sent no further updates.
    pub fn remove(&self, sender: &PeerSender) {
        self.0.borrow_mut().retain(|link| !link.same_channel(sender));
    }

    /// Returns whether there is another process.
    pub fn has_peers(&self) -> bool {
        !self.0.borrow().is_empty()
    }

    /// Reports an event of this process to the others. `event` is called only if there is another process.
    pub fn send_event(&self, event: impl FnOnce() -> PeerProcessEvent) {
        if self.has_peers() {
            self.broadcast(&PeerUpdate::Process(event()));
        }
    }

    /// Passes on an operator's change to the other processes.
    pub fn send_change(&self, change: &Change) {
        if self.has_peers() {
            self.broadcast(&PeerUpdate::Change(change.clone()));
        }
    }

    fn broadcast(&self, update: &PeerUpdate) {
        if let Ok(line) = serde_json::to_string(update) {
            self.0.borrow_mut().retain(|link| link.try_send(line.clone() + "\n").is_ok());
        }
    }
}
