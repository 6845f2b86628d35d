//! The configuration: one JSON file, which is read at the start.

use marblecroft_logging::LogConfig;
use quick_error::quick_error;
use serde::Deserialize;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs, io};

quick_error! {
    /// The reason why a configuration cannot be used.
    #[derive(Debug)]
    pub enum ConfigError {
        /// No configuration file is given.
        NoFile {
            display("no configuration file is given as the argument or in MARBLECROFT_DISCOVERY_CONFIG")
        }
        /// There is more than one argument.
        ExtraArgument {
            display("expected at most one argument, the configuration file")
        }
        /// The file cannot be read.
        Read(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The file is not valid JSON, or has an unknown field or a value of the wrong type.
        Syntax(message: String) {
            display("{}", message)
        }
        /// The address is not a loopback address.
        NotLoopback(address: SocketAddr) {
            display("listen: {} is not a loopback address, and allow_other_than_loopback is not set", address)
        }
        /// The value of a field is not allowed, for this reason.
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
    /// Whether to allow addresses other than loopback, false by default: any client that can connect to the
    /// service can change the list.
    #[serde(default)]
    allow_other_than_loopback: bool,
    /// The other processes of this store, none by default. They are polled for a higher epoch.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The writer that this process follows. By default, this process is the writer.
    pub follow: Option<SocketAddr>,
    /// The maximum age in milliseconds, 5000 by default. A replica serves lists while its last
    /// synchronization is not older, and a writer accepts changes while the last responses of at least half
    /// of its peers are not older.
    #[serde(default = "default_stale_ms")]
    pub stale_ms: u64,
    /// The limits on load.
    #[serde(default)]
    pub limits: Limits,
    /// The settings of the log on standard error.
    #[serde(default)]
    pub log: LogConfig,
}

fn default_stale_ms() -> u64 {
    5000
}

/// The maximum number of other processes of a store.
const MAX_PEERS: usize = 8;
/// The maximum `stale_ms`. Older lists are of no use to gateways.
const MAX_STALENESS_MS: u64 = 60_000;
/// The minimum `stale_ms`: twice the interval at which peers are polled.
const MIN_STALENESS_MS: u64 = 1000;

/// The limits on load. Each has a default.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of concurrent connections, 1024 by default. Further ones are answered with 503.
    pub connections: usize,
    /// Number of concurrently waiting watches, 768 by default. Further ones are answered with 503.
    pub watches: usize,
    /// Rate of full lists per second, which is also the burst size; 400 by default. Further requests are
    /// answered with 503.
    #[serde(rename = "whole_lists_per_s")]
    pub full_lists_per_s: u32,
    /// How long, in milliseconds, changes are batched before watches are answered, 20 by default.
    #[serde(rename = "gather_ms")]
    pub batch_delay_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 1024, watches: 768, full_lists_per_s: 400, batch_delay_ms: 20 }
    }
}

/// The maximum `gather_ms`: a gateway must apply a drain within half a second.
const MAX_BATCH_DELAY_MS: u64 = 200;

impl Config {
    /// Reads the configuration file. Its path is the only argument, or the value of the environment variable
    /// `MARBLECROFT_DISCOVERY_CONFIG` or of its former name `MAPLEDECK_DISCOVERY_CONFIG`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`], which displays as one line for the operator.
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
            return Err(ConfigError::Value("peers", format!("must have at most {MAX_PEERS} addresses")));
        }
        if !(MIN_STALENESS_MS..=MAX_STALENESS_MS).contains(&config.stale_ms) {
            let reason = format!("must be from {MIN_STALENESS_MS} to {MAX_STALENESS_MS}");
            return Err(ConfigError::Value("stale_ms", reason));
        }
        let Limits { connections, watches, full_lists_per_s, batch_delay_ms } = config.limits;
        if connections == 0 || watches == 0 || full_lists_per_s == 0 || batch_delay_ms > MAX_BATCH_DELAY_MS {
            let reason =
                format!("each must be above 0, except gather_ms, which must be at most {MAX_BATCH_DELAY_MS}");
            return Err(ConfigError::Value("limits", reason));
        }
        Ok(config)
    }
}
