//! The configuration: one JSON file, read at the start.

use marblecroft_logging::LogConfig;
use quick_error::quick_error;
use serde::Deserialize;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs, io};

quick_error! {
    /// Why a configuration cannot be used.
    #[derive(Debug)]
    pub enum ConfigError {
        /// No file is named.
        NoFile {
            display("the configuration's file is named nowhere")
        }
        /// There is more than one argument.
        ExtraArgument {
            display("more than one argument")
        }
        /// The file cannot be read.
        Read(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The file is no JSON, or has a field that does not exist or a value of another type.
        Syntax(message: String) {
            display("{}", message)
        }
        /// The address is not one of this machine alone.
        NotLoopback(address: SocketAddr) {
            display("listen: {} is not on this machine alone, and allow_other_than_loopback is not set", address)
        }
        /// A field has a value that is not allowed, for this reason.
        Value(field: &'static str, reason: String) {
            display("{}: {}", field, reason)
        }
    }
}

/// The configuration. Fields without a stated default are required.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The folder of the journal, which no other process may use.
    pub data: PathBuf,
    /// Allows other addresses than loopback ones, false by default: whoever reaches the service can change the list.
    #[serde(default)]
    allow_other_than_loopback: bool,
    /// The other processes of this store, none by default. A writer polls them for a higher epoch.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The writer that this process follows; by default it is a writer itself.
    pub follow: Option<SocketAddr>,
    /// How long, in milliseconds, a replica serves lists after it was last in sync, and a writer accepts changes after it
    /// last heard from half of its peers. 5000 by default.
    #[serde(default = "default_stale_ms")]
    pub stale_ms: u64,
    /// The limits.
    #[serde(default)]
    pub limits: Limits,
    /// The log on standard error.
    #[serde(default)]
    pub log: LogConfig,
}

fn default_stale_ms() -> u64 {
    5000
}

/// The most other processes of a store.
const MAX_PEERS: usize = 8;
/// The highest `stale_ms`: older lists are of no use.
const MAX_STALENESS_MS: u64 = 60_000;
/// The lowest `stale_ms`: twice the interval in which peers are polled.
const MIN_STALENESS_MS: u64 = 1000;

/// The limits, all of them with defaults.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections at once, 1024 by default. Further ones are answered with 503.
    pub connections: usize,
    /// Watches that wait at once, 768 by default. Further ones are answered with 503.
    pub watches: usize,
    /// Full lists per second, and in a burst, 400 by default. Further requests are answered with 503.
    pub whole_lists_per_s: u32,
    /// How long, in milliseconds, changes are gathered before watches are answered, 20 by default.
    pub gather_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 1024, watches: 768, whole_lists_per_s: 400, gather_ms: 20 }
    }
}

/// The highest `gather_ms`: a gateway must obey a drain within half a second.
const MAX_BATCHING_MS: u64 = 200;

impl Config {
    /// Reads the file that the one argument names, or the environment variable `MARBLECROFT_DISCOVERY_CONFIG`, or its former
    /// name `MAPLEDECK_DISCOVERY_CONFIG`.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]: one line for the operator.
    pub fn load(mut args: impl Iterator<Item = OsString>) -> Result<Config, ConfigError> {
        let path = args
            .next()
            .or_else(|| env::var_os("MARBLECROFT_DISCOVERY_CONFIG"))
            .or_else(|| env::var_os("MAPLEDECK_DISCOVERY_CONFIG"));
        let path = PathBuf::from(path.ok_or(ConfigError::NoFile)?);
        if args.next().is_some() {
            return Err(ConfigError::ExtraArgument);
        }
        let text = fs::read(&path).map_err(|error| ConfigError::Read(path, error))?;
        let mut deserializer = serde_json::Deserializer::from_slice(&text);
        let config: Config = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| ConfigError::Syntax(error.to_string().replace('\n', " ")))?;
        deserializer.end().map_err(|error| ConfigError::Syntax(error.to_string()))?;
        if !config.listen.ip().is_loopback() && !config.allow_other_than_loopback {
            return Err(ConfigError::NotLoopback(config.listen));
        }
        if config.peers.len() > MAX_PEERS {
            return Err(ConfigError::Value("peers", format!("more than {MAX_PEERS}")));
        }
        if !(MIN_STALENESS_MS..=MAX_STALENESS_MS).contains(&config.stale_ms) {
            let reason = format!("not from {MIN_STALENESS_MS} to {MAX_STALENESS_MS}");
            return Err(ConfigError::Value("stale_ms", reason));
        }
        let Limits { connections, watches, whole_lists_per_s, gather_ms } = config.limits;
        if connections == 0 || watches == 0 || whole_lists_per_s == 0 || gather_ms > MAX_BATCHING_MS {
            let reason = format!("each is above 0, and gather_ms {MAX_BATCHING_MS} at most");
            return Err(ConfigError::Value("limits", reason));
        }
        Ok(config)
    }
}
