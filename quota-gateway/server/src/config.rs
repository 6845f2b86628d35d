//! What a gateway is told at its start: the file that `RELAY_CONFIG` names, and the variables beside it.

use crate::console::MAX_CALLERS;
use crate::fleet_decisions::Stewards;
use marblecroft_discovery::client::Caution;
use marblecroft_discovery::format::HostList;
use marblecroft_logging::LogConfig;
use marblecroft_simulator_adapter::Site;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fs};

/// The configuration; fields that the gateway has no use for are passed over.
#[derive(Debug, Deserialize)]
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub console: Option<SocketAddr>,
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    pub limits: Limits,
    /// Where discovery is the project's own service: its other processes, and how a sudden loss of servers is met.
    pub list_service: Option<ListService>,
    /// Where the fleet decides in common; without it each gateway decides alone.
    pub stewards: Option<Stewards>,
    /// The list of servers as this gateway last had it.
    pub known: Option<HostList>,
    pub settings: Site,
    /// How events are told on standard error.
    #[serde(default)]
    pub log: LogConfig,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListService {
    /// Asked in turn when the one that `discovery` names fails.
    #[serde(default)]
    others: Vec<SocketAddr>,
    #[serde(default = "default_missing_share")]
    missing_share: f64,
    #[serde(default = "default_missing_hold_ms")]
    missing_hold_ms: u64,
}

fn default_missing_share() -> f64 {
    0.5
}

fn default_missing_hold_ms() -> u64 {
    10_000
}

/// Further addresses of the list service, and the longest that missing servers are held.
const MAX_OTHER_SERVICES: usize = 8;
const MAX_MISSING_HOLD_MS: u64 = 60_000;

impl ListService {
    pub fn caution(&self) -> Caution {
        Caution { share: self.missing_share, removal_delay: Duration::from_millis(self.missing_hold_ms) }
    }
}

#[derive(Debug, Deserialize)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
}

impl Config {
    /// Reads the configuration at the start, when the variables go before the file; the error is one line that
    /// names what is missing or wrong.
    pub fn load() -> Result<Config, String> {
        let mut config = Config::from_file()?;
        let Config { listen, discovery, console, .. } = &mut config;
        *listen = address_variable("RELAY_LISTEN")?.unwrap_or(*listen);
        *discovery = address_variable("RELAY_DISCOVERY")?.unwrap_or(*discovery);
        *console = address_variable("RELAY_CONSOLE")?.or(*console);
        Ok(config)
    }

    /// Reads the file alone: once it has been replaced, the variables of the start name what is gone.
    pub fn from_file() -> Result<Config, String> {
        let path = env::var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}"))?;
        let text = fs::read(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        Config::parse(&text)
    }

    fn parse(text: &[u8]) -> Result<Config, String> {
        let config: Config =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))
                .map_err(|e| e.to_string())?;
        // With fewer there is nothing left for clients and servers beside what the process itself needs.
        if config.limits.sockets < 2 * RESERVED_SOCKETS {
            return Err(format!(
                "limits.sockets: {} is under {}",
                config.limits.sockets,
                2 * RESERVED_SOCKETS
            ));
        }
        if let Some(ListService { others, missing_share, missing_hold_ms }) = &config.list_service {
            let usable = others.len() <= MAX_OTHER_SERVICES && (0.0..=1.0).contains(missing_share);
            if !usable || *missing_hold_ms > MAX_MISSING_HOLD_MS {
                return Err(format!(
                    "list_service: {MAX_OTHER_SERVICES} others, a share of 1 and {MAX_MISSING_HOLD_MS} ms at the most"
                ));
            }
        }
        config.stewards.as_ref().map_or(Ok(()), Stewards::check)?;
        Ok(config)
    }

    /// Where the list is asked for, in turn.
    pub fn agents(&self) -> Vec<SocketAddr> {
        let others = self.list_service.iter().flat_map(|service| &service.others);
        std::iter::once(&self.discovery).chain(others).copied().collect()
    }
}

/// Connections there are in any case.
const MIN_SOCKETS: usize = 8;

/// The address that a variable names, if it is set.
fn address_variable(name: &str) -> Result<Option<SocketAddr>, String> {
    let Ok(value) = env::var(name) else { return Ok(None) };
    value.parse().map(Some).map_err(|e| format!("{name}: {value:?}: {e}"))
}

/// Descriptors for the process itself: standard streams, epoll, signals, the listener, discovery, and some
/// that are closed already but not yet given back.
const RESERVED_SOCKETS: usize = 32;

impl Config {
    /// Connections from clients and to servers. A request holds one of each, and a second copy one more to a
    /// server; but clients keep far more connections than are in use, as each of them opens its own.
    /// While another process of this gateway lives, the two share them.
    pub fn budget(&self, shared: bool) -> (usize, usize) {
        // Those of the operators' callers are kept free for them, whatever the clients do.
        let console = self.console.map_or(0, |_| MAX_CALLERS);
        let sockets = if shared { self.limits.sockets / 2 } else { self.limits.sockets };
        let free = sockets.saturating_sub(RESERVED_SOCKETS + console).max(MIN_SOCKETS);
        let clients = free * 3 / 5;
        (clients, free - clients)
    }
}

fn hex<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}
