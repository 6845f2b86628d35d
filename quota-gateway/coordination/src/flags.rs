//! The command line.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A process of the coordination service, and what operators ask of it
#[derive(Parser)]
#[command(version, about)]
pub struct Flags {
    /// Addresses of the service, with commas between
    #[arg(long, global = true, value_delimiter = ',', default_value = "127.0.0.1:7400")]
    pub at: Vec<String>,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Is a process of the service, as this file says
    Run {
        /// The configuration file
        config: PathBuf,
    },
    /// The processes at these addresses, all new, become a cluster
    Begin,
    /// How each process at the addresses is
    Status,
    /// Who votes
    Members,
    /// Adds a new process at this address; it learns all there is, then votes
    Add {
        /// The process' address
        addr: String,
    },
    /// Takes a member's vote, by its number
    Remove {
        /// The member's number, in hexadecimal digits
        node: String,
    },
    /// Lists the locks that are held
    Locks,
    /// Lists the open sessions
    Sessions,
    /// Takes a lock from whoever holds it; the next in its queue has it then
    Release {
        /// The lock
        lock: String,
    },
    /// Writes the whole state into a file
    Snapshot {
        /// The file
        file: PathBuf,
    },
    /// Makes a folder that begins a cluster of its own with the state of a file; no process may run on it
    Restore {
        /// The file
        file: PathBuf,
        /// The folder
        #[arg(long)]
        data: PathBuf,
        /// By which address the process on it will be reached
        #[arg(long)]
        addr: String,
    },
}
