//! The commands that operators give on the console, and their results.

use serde::{Deserialize, Serialize};

/// A command. Commands that change something are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check whether this process accepts clients.
    Ready,
    /// Return the metrics.
    Metrics,
    /// Change the state of the gateway.
    Change(Change),
}

/// The result of a command that succeeded.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandOutput {
    /// Success without further output.
    Done,
    /// A text of this content type.
    Text { body: Vec<u8>, content_type: String },
}

/// A change that both processes of a gateway apply during an upgrade.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Send no requests to the pay server with this id.
    Disable(String),
    /// Send requests to it again.
    Enable(String),
    /// Drain the clients' connections.
    Drain,
    /// Stop draining.
    Undrain,
}

/// The reason why a command failed.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The process does not accept clients yet, or no longer accepts them.
    NotReady,
    /// No metrics are recorded.
    MetricsUnavailable,
    /// No pay server with this id is known.
    UnknownServer(String),
}
