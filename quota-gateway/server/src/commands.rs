//! The commands that operators give on the console, and their results.

use serde::{Deserialize, Serialize};

/// A command. Commands that change something are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Is this process ready for clients?
    Ready,
    /// Return the metrics.
    Metrics,
    /// Change the state of the gateway.
    Change(Change),
}

/// The result of a command that succeeded.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandOutput {
    /// There is nothing to say but that it succeeded.
    Done,
    /// A text of this content type.
    Text { body: Vec<u8>, content_type: String },
}

/// A change that both processes of a gateway make during an upgrade.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Send no requests to the pay server of this id.
    Disable(String),
    /// Send requests to it again.
    Enable(String),
    /// Drain the clients' connections.
    Drain,
    /// Stop draining.
    Undrain,
}

/// Why a command failed.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The process accepts no clients yet, or no longer.
    NotReady,
    /// No metrics are kept.
    MetricsUnavailable,
    /// No pay server of this id was ever listed.
    UnknownServer(String),
}
