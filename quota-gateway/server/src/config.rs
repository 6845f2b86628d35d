//! The configuration: the file that `RELAY_CONFIG` names, and the variables that override it at the start.
//!
//! Keys of the file are the names in the `serde` attributes; they are fixed. The process-wide limits on connections are
//! derived here from the number of descriptors.

use crate::console::MAX_CALLERS;
use crate::fleet_decisions::fleet_config::{FleetConfig, FleetConfigError};
use marblecroft_discovery::client::RemovalPolicy;
use marblecroft_discovery::format::HostList;
use marblecroft_logging::LogConfig;
use marblecroft_simulator_adapter::Site;
use quick_error::quick_error;
use serde::Deserialize;
use std::env::VarError;
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;
use std::{env, fs, io};

/// The variable that names the configuration file.
const FILE_VARIABLE: &str = "RELAY_CONFIG";
/// The largest number of further addresses of the discovery service.
const MAX_OTHER_SERVICES: usize = 8;
/// The longest time for which missing servers are kept, in milliseconds.
const MAX_REMOVAL_DELAY_MS: u64 = 60_000;
/// The least number of connections, whatever the limit on descriptors.
const MIN_SOCKETS: usize = 8;
/// Descriptors for the process itself: standard streams, epoll, signals, the listener, discovery, and some that are closed
/// already but not released yet.
const RESERVED_SOCKETS: usize = 32;
/// With fewer descriptors nothing is left for clients and servers beside what the process itself needs.
const MIN_CONFIGURED_SOCKETS: usize = 2 * RESERVED_SOCKETS;

quick_error! {
    /// Why a configuration is rejected. The text is one line that names what is missing or wrong.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The variable that names the file is not set.
        NoFile(cause: VarError) {
            display("{FILE_VARIABLE}: {cause}")
            source(cause)
        }
        /// The file cannot be read.
        Unreadable(path: String, cause: io::Error) {
            display("{FILE_VARIABLE}: {path}: {cause}")
            source(cause)
        }
        /// The file is not a configuration.
        Malformed(cause: serde_path_to_error::Error<serde_json::Error>) {
            display("{cause}")
            source(cause)
        }
        /// A variable does not name an address.
        Address(variable: &'static str, value: String, cause: AddrParseError) {
            display("{variable}: {value:?}: {cause}")
            source(cause)
        }
        /// The limit on descriptors is too low.
        TooFewSockets(sockets: usize) {
            display("limits.sockets: {sockets} is under {MIN_CONFIGURED_SOCKETS}")
        }
        /// The settings of the discovery service are out of range.
        ListService {
            display("list_service: {MAX_OTHER_SERVICES} others, a share of 1 and {MAX_REMOVAL_DELAY_MS} ms at the most")
        }
        /// The settings of the fleet are out of range.
        Fleet(cause: FleetConfigError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// The configuration. Keys that the gateway does not use are ignored.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the operators' console, if there is one.
    pub console: Option<SocketAddr>,
    /// Seeds every random choice of the process; written in hexadecimal.
    #[serde(deserialize_with = "parse_hex")]
    pub seed: u64,
    /// The limits of the process.
    pub limits: Limits,
    /// Set where the endpoint list comes from the project's own discovery service.
    pub list_service: Option<DiscoveryService>,
    /// Set where the gateway takes part in a fleet; without it each gateway decides alone.
    #[serde(rename = "stewards")]
    pub fleet: Option<FleetConfig>,
    /// The endpoint list that is in force until one is fetched.
    #[serde(rename = "known")]
    pub initial_list: Option<HostList>,
    /// The settings of the decisions and the names in the endpoint list.
    pub settings: Site,
    /// How events are logged on standard error.
    #[serde(default)]
    pub log: LogConfig,
}

/// The project's own discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryService {
    /// Asked in turn when the address in `discovery` fails.
    #[serde(default)]
    others: Vec<SocketAddr>,
    /// The fraction of servers that may disappear at once without being kept for a while. Default: 0.5.
    #[serde(rename = "missing_share", default = "default_missing_fraction")]
    missing_fraction: f64,
    /// How long servers that disappeared together are kept, in milliseconds. Default: 10 000.
    #[serde(rename = "missing_hold_ms", default = "default_removal_delay_ms")]
    removal_delay_ms: u64,
}

fn default_missing_fraction() -> f64 {
    0.5
}

fn default_removal_delay_ms() -> u64 {
    10_000
}

impl DiscoveryService {
    /// How a sudden loss of many servers is handled.
    pub fn removal_policy(&self) -> RemovalPolicy {
        RemovalPolicy {
            share: self.missing_fraction,
            removal_delay: Duration::from_millis(self.removal_delay_ms),
        }
    }

    fn is_valid(&self) -> bool {
        self.others.len() <= MAX_OTHER_SERVICES
            && (0.0..=1.0).contains(&self.missing_fraction)
            && self.removal_delay_ms <= MAX_REMOVAL_DELAY_MS
    }
}

/// The limits of the process.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// The number of file descriptors that the process may hold.
    pub sockets: usize,
}

/// The limits on open connections.
pub struct ConnectionLimits {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
}

impl Config {
    /// Reads the configuration at the start, when variables override the file.
    ///
    /// # Errors
    /// Fails if the file or a variable is missing or wrong.
    pub fn load() -> Result<Config, ConfigError> {
        let mut config = Config::from_file()?;
        let Config { listen, discovery, console, .. } = &mut config;
        *listen = address_variable("RELAY_LISTEN")?.unwrap_or(*listen);
        *discovery = address_variable("RELAY_DISCOVERY")?.unwrap_or(*discovery);
        *console = address_variable("RELAY_CONSOLE")?.or(*console);
        Ok(config)
    }

    /// Reads the file alone: once it has been replaced, the variables of the start are out of date.
    ///
    /// # Errors
    /// Fails if the file is missing or wrong.
    pub fn from_file() -> Result<Config, ConfigError> {
        let path = env::var(FILE_VARIABLE).map_err(ConfigError::NoFile)?;
        let text = fs::read(&path).map_err(|cause| ConfigError::Unreadable(path, cause))?;
        Config::parse(&text)
    }

    fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let config: Config =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))
                .map_err(ConfigError::Malformed)?;
        if config.limits.sockets < MIN_CONFIGURED_SOCKETS {
            return Err(ConfigError::TooFewSockets(config.limits.sockets));
        }
        if config.list_service.as_ref().is_some_and(|service| !service.is_valid()) {
            return Err(ConfigError::ListService);
        }
        if let Some(fleet) = &config.fleet {
            fleet.check()?;
        }
        Ok(config)
    }

    /// The addresses of discovery, in the order in which they are asked.
    pub fn agents(&self) -> Vec<SocketAddr> {
        let others = self.list_service.iter().flat_map(|service| &service.others);
        std::iter::once(&self.discovery).chain(others).copied().collect()
    }

    /// The limits on open connections; `is_shared` while another process of this gateway lives, which gets half of them.
    ///
    /// A request uses one connection of each kind, and a hedged one another one to a server; but clients keep far more
    /// connections open than are in use, because each client opens its own.
    pub fn connection_limits(&self, is_shared: bool) -> ConnectionLimits {
        // The console's connections are reserved, whatever the clients do.
        let console = self.console.map_or(0, |_| MAX_CALLERS);
        let sockets = if is_shared { self.limits.sockets / 2 } else { self.limits.sockets };
        let available = sockets.saturating_sub(RESERVED_SOCKETS + console).max(MIN_SOCKETS);
        let clients = available * 3 / 5;
        ConnectionLimits { clients, servers: available - clients }
    }
}

/// The address that a variable names, if it is set.
fn address_variable(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = env::var(variable) else { return Ok(None) };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(cause) => Err(ConfigError::Address(variable, value, cause)),
    }
}

fn parse_hex<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}
