//! The configuration file of a process, in TOML.

use marblecroft_logging::LogConfig;
use quick_error::quick_error;
use serde::Deserialize;
use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

quick_error! {
    /// The reason why a configuration cannot be used.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The file cannot be read.
        Read(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The file is not valid TOML, or has an unknown key or a value of a wrong type.
        Syntax(path: PathBuf, message: String) {
            display("{}: {}", path.display(), message)
        }
        /// A key has a value that is not allowed.
        Value(path: PathBuf, message: &'static str) {
            display("{}: {}", path.display(), message)
        }
        /// An address is not a loopback address.
        NotLoopback(path: PathBuf, key: &'static str) {
            display("{}: {}: not a loopback address, and allow_other_than_loopback is not set", path.display(), key)
        }
    }
}

/// The configuration of a process.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address on which the process listens.
    pub listen: SocketAddr,
    /// IP address of the address translator, if there is one. The other members are then called at this
    /// address, with their own ports.
    pub peers_at: Option<IpAddr>,
    /// The data folder, which contains the log.
    pub data: PathBuf,
    #[serde(default = "default_heartbeat_ms")]
    heartbeat_ms: u64,
    #[serde(default = "default_election_ms")]
    election_ms: u64,
    /// Number of log entries after which a snapshot is built.
    #[serde(default = "default_entries_per_snapshot")]
    pub snapshot_every: u64,
    /// Maximum number of open connections.
    #[serde(default = "default_max_connections")]
    pub connections: usize,
    /// Maximum number of calls that are in progress.
    #[serde(default = "default_max_calls")]
    pub calls: usize,
    #[serde(default)]
    allow_other_than_loopback: bool,
    /// The address on which the metrics are served; without it, they are not served.
    pub metrics: Option<SocketAddr>,
    /// Injected disk faults, for fault tests.
    pub trial: Option<DiskFaults>,
    /// Settings of logging.
    #[serde(default)]
    pub log: LogConfig,
}

/// Injected disk faults, for tests of a cluster. They must not be used in production.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiskFaults {
    sync_delay_ms: u64,
    /// Number of syncs after which all further syncs fail.
    pub syncs_fail_after: Option<u64>,
    /// Whether queued writes share a sync.
    pub group_commit: bool,
}

impl Default for DiskFaults {
    fn default() -> DiskFaults {
        DiskFaults { sync_delay_ms: 0, syncs_fail_after: None, group_commit: true }
    }
}

impl DiskFaults {
    /// Returns the additional time that each sync takes.
    pub fn sync_delay(&self) -> Duration {
        Duration::from_millis(self.sync_delay_ms)
    }
}

fn default_heartbeat_ms() -> u64 {
    100
}

fn default_election_ms() -> u64 {
    500
}

fn default_entries_per_snapshot() -> u64 {
    10_000
}

fn default_max_connections() -> usize {
    1024
}

fn default_max_calls() -> usize {
    4096
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]. It is displayed in one line that names the key.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = fs::read_to_string(path).map_err(|error| ConfigError::Read(path.to_owned(), error))?;
        let config: Config = toml::from_str(&text)
            .map_err(|error| ConfigError::Syntax(path.to_owned(), error.message().replace('\n', " ")))?;
        config.check_addresses(path)?;
        config.check_values().map_err(|message| ConfigError::Value(path.to_owned(), message))?;
        Ok(config)
    }

    /// Returns the interval between two heartbeats of the leader.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the shortest time without a heartbeat after which a process becomes a candidate.
    pub fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.election_ms)
    }

    fn check_addresses(&self, path: &Path) -> Result<(), ConfigError> {
        for (key, address) in [("listen", Some(self.listen)), ("metrics", self.metrics)] {
            let is_public = address.is_some_and(|address| !address.ip().is_loopback());
            if is_public && !self.allow_other_than_loopback {
                return Err(ConfigError::NotLoopback(path.to_owned(), key));
            }
        }
        Ok(())
    }

    fn check_values(&self) -> Result<(), &'static str> {
        if self.trial.is_some_and(|trial| trial.sync_delay_ms > 60_000) {
            return Err("trial.sync_delay_ms: must be at most 60000");
        }
        if !(10..=10_000).contains(&self.heartbeat_ms) {
            return Err("heartbeat_ms: must be from 10 to 10000");
        }
        if self.election_ms < 3 * self.heartbeat_ms || self.election_ms > 60_000 {
            return Err("election_ms: must be at least three times heartbeat_ms and at most 60000");
        }
        if self.snapshot_every < 100 || self.connections == 0 || self.calls == 0 {
            return Err("snapshot_every: must be at least 100; connections, calls: must be above 0");
        }
        Ok(())
    }
}
