//! The updates that two processes of one gateway exchange while both live, during an upgrade.
//!
//! Both serve clients on the same listening socket, so each reports its attempts to the other, which counts them against
//! the same quotas, and passes on the operators' changes. An update is a line of JSON, read by other versions of the
//! program: names of variants and fields are part of the format.

use crate::commands::Change;
use marblecroft_quota_gateway_core::PeerProcessEvent;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use tokio::sync::mpsc;

/// The number of updates that may wait to be sent. A process that reads none is not treated as a peer any more.
const UPDATES_BUFFERED: usize = 4096;

/// An update for the other process.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// The operators made a change.
    Change(Change),
    /// An attempt was sent, or ended, at the process that sends the update.
    #[serde(rename = "Elsewhere")]
    Process(PeerProcessEvent),
}

/// The queue of lines to one other process.
pub type PeerSender = mpsc::Sender<String>;

/// The other processes of this gateway. There is one during an upgrade only.
#[derive(Default)]
pub struct PeerLinks(RefCell<Vec<PeerSender>>);

impl PeerLinks {
    /// Creates the queue of lines to another process, which gets no updates until it is added.
    pub fn channel() -> (PeerSender, mpsc::Receiver<String>) {
        mpsc::channel(UPDATES_BUFFERED)
    }

    /// Sends all updates to this process too, from now on.
    pub fn add(&self, sender: PeerSender) {
        self.0.borrow_mut().push(sender);
    }

    /// Sends no more updates to this process.
    pub fn remove(&self, sender: &PeerSender) {
        self.0.borrow_mut().retain(|link| !link.same_channel(sender));
    }

    /// Returns whether there is another process.
    pub fn has_peers(&self) -> bool {
        !self.0.borrow().is_empty()
    }

    /// Reports an event of this process; `event` is called only if there is another process.
    pub fn send_event(&self, event: impl FnOnce() -> PeerProcessEvent) {
        if self.has_peers() {
            self.broadcast(&PeerUpdate::Process(event()));
        }
    }

    /// Passes on the operators' change.
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
