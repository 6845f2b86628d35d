//! Command line arguments.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A process of the coordination service, and commands for its operators
#[derive(Parser)]
#[command(version, about)]
pub struct Flags {
    /// Addresses of the service's processes, separated by commas
    #[arg(long, global = true, value_delimiter = ',', default_value = "127.0.0.1:7400")]
    pub at: Vec<String>,
    /// The command to run
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Runs a process of the service with this configuration file
    Run {
        /// The configuration file
        config: PathBuf,
    },
    /// Creates a cluster of the processes at the addresses, all of which must be new
    Begin,
    /// Prints the status of each process at the addresses
    Status,
    /// Lists the members of the cluster, and whether they vote
    Members,
    /// Adds the new process at this address, which votes once it has received the complete log
    Add {
        /// The address of the process
        addr: String,
    },
    /// Removes a member, by its number
    Remove {
        /// The member's number, in hexadecimal digits
        node: String,
    },
    /// Lists the locks that are held
    Locks,
    /// Lists the open sessions
    Sessions,
    /// Takes a lock from its holder; it passes to the next session in its queue
    Release {
        /// The lock
        lock: String,
    },
    /// Writes a snapshot of the complete state to a file
    Snapshot {
        /// The file
        file: PathBuf,
    },
    /// Creates the data folder of a new cluster from a snapshot; no process may be running on the folder
    Restore {
        /// The file of the snapshot
        file: PathBuf,
        /// The data folder
        #[arg(long)]
        data: PathBuf,
        /// The address under which the process on the folder will be reached
        #[arg(long)]
        addr: String,
    },
}
