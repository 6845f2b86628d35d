//! What the service is told at its start: one file.

use marblecroft_logging::LogConfig;
use serde::Deserialize;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub listen: SocketAddr,
    /// The folder that holds the log; this process's alone.
    pub data: PathBuf,
    /// Whoever reaches the service can change the list: other than on the loopback address it listens only if told so.
    #[serde(default)]
    allow_other_than_loopback: bool,
    /// The other processes of this store. One that writes asks them whether another one does by now.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The one that writes, where this one does not.
    pub follow: Option<SocketAddr>,
    /// A replica that has not been in step with the one that writes for this long tells no lists; one that writes and has
    /// not heard of half of its peers for this long writes no more.
    #[serde(default = "stale")]
    pub stale_ms: u64,
    #[serde(default)]
    pub limits: Limits,
    /// How events are told on standard error.
    #[serde(default)]
    pub log: LogConfig,
}

fn stale() -> u64 {
    5000
}

/// Others of a store.
const MAX_PEERS: usize = 8;
/// A replica that is further behind is no use.
const MAX_STALENESS_MS: u64 = 60_000;
const MIN_STALENESS_MS: u64 = 1000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections at once; further ones are answered with 503.
    pub connections: usize,
    /// Watches that wait at once.
    pub watches: usize,
    /// Whole lists a second, and at once.
    pub whole_lists_per_s: u32,
    /// Changes are gathered for so long before those who wait are told.
    pub gather_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 1024, watches: 768, whole_lists_per_s: 400, gather_ms: 20 }
    }
}

/// What is gathered for longer is no longer news: drains bind gateways half a second after they are told.
const MAX_BATCHING_MS: u64 = 200;

impl Config {
    /// Reads the file that the one argument names, or `MARBLECROFT_DISCOVERY_CONFIG`, or the name it had before,
    /// `MAPLEDECK_DISCOVERY_CONFIG`; the error is one line.
    pub fn load(mut args: impl Iterator<Item = OsString>) -> Result<Config, String> {
        let path = args
            .next()
            .or_else(|| env::var_os("MARBLECROFT_DISCOVERY_CONFIG"))
            .or_else(|| env::var_os("MAPLEDECK_DISCOVERY_CONFIG"));
        let path = PathBuf::from(path.ok_or("the configuration's file is named nowhere")?);
        if args.next().is_some() {
            return Err("more than one argument".to_owned());
        }
        let text = fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut deserializer = serde_json::Deserializer::from_slice(&text);
        let config: Config = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| e.to_string().replace('\n', " "))?;
        deserializer.end().map_err(|e| e.to_string())?;
        if !config.listen.ip().is_loopback() && !config.allow_other_than_loopback {
            return Err(format!(
                "listen: {} is not on this machine alone, and allow_other_than_loopback is not set",
                config.listen
            ));
        }
        if config.peers.len() > MAX_PEERS {
            return Err(format!("peers: more than {MAX_PEERS}"));
        }
        if !(MIN_STALENESS_MS..=MAX_STALENESS_MS).contains(&config.stale_ms) {
            return Err(format!("stale_ms: not from {MIN_STALENESS_MS} to {MAX_STALENESS_MS}"));
        }
        let Limits { connections, watches, whole_lists_per_s, gather_ms } = config.limits;
        if connections == 0 || watches == 0 || whole_lists_per_s == 0 || gather_ms > MAX_BATCHING_MS {
            return Err(format!("limits: each is above 0, and gather_ms {MAX_BATCHING_MS} at most"));
        }
        Ok(config)
    }
}
