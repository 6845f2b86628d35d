//! The configuration: the file at the path in `RELAY_CONFIG`, and the environment variables that override it
//! at the start.
//!
//! The keys of the file are fixed: they are the names in the `serde` attributes, or else of the fields. The
//! limits on connections are derived from the configured number of descriptors.

use crate::console::MAX_CONSOLE_CONNECTIONS;
use crate::fleet_decisions::fleet_config::{FleetConfig, FleetConfigError};
use marblecroft_discovery::client::RemovalPolicy;
use marblecroft_discovery::format::HostList;
use marblecroft_logging::LogConfig;
use marblecroft_simulator_adapter::GatewaySettings;
use quick_error::quick_error;
use serde::Deserialize;
use std::env::VarError;
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;
use std::{env, fs, io};

/// The environment variable with the path of the configuration file.
const FILE_VARIABLE: &str = "RELAY_CONFIG";
/// The largest number of further addresses of the discovery service.
const MAX_OTHER_SERVICES: usize = 8;
/// The upper limit of the removal delay of missing servers, in milliseconds.
const MAX_REMOVAL_DELAY_MS: u64 = 60_000;
/// The lower limit of the number of connections, whatever the limit on descriptors.
const MIN_SOCKETS: usize = 8;
/// The descriptors for the process itself: standard streams, epoll, signals, the listener, discovery, and
/// closed ones that are not released yet.
const RESERVED_SOCKETS: usize = 32;
/// The minimum number of descriptors that may be configured. With fewer, too few are left for clients and
/// servers.
const MIN_CONFIGURED_SOCKETS: usize = 2 * RESERVED_SOCKETS;

quick_error! {
    /// The reason why a configuration is rejected. The message is one line that names the missing or invalid
    /// key or variable.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The environment variable with the path of the file is not set.
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
        /// The value of an environment variable is not an address.
        Address(variable: &'static str, value: String, cause: AddrParseError) {
            display("{variable}: {value:?}: {cause}")
            source(cause)
        }
        /// The limit on descriptors is too low.
        TooFewSockets(sockets: usize) {
            display("limits.sockets: {sockets} is less than {MIN_CONFIGURED_SOCKETS}")
        }
        /// The settings of the discovery service are out of range.
        DiscoveryService {
            display(
                "list_service: expected at most {MAX_OTHER_SERVICES} others, a missing_share from 0 to 1 and \
                 a missing_hold_ms of at most {MAX_REMOVAL_DELAY_MS}"
            )
        }
        /// The settings of the fleet are out of range.
        Fleet(cause: FleetConfigError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// The configuration. Unknown keys of the file are ignored.
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
    /// Set if the endpoint list comes from the project's own discovery service.
    #[serde(rename = "list_service")]
    pub discovery_service: Option<DiscoveryService>,
    /// Set if the gateway is a member of a fleet; otherwise it makes all decisions locally.
    #[serde(rename = "stewards")]
    pub fleet: Option<FleetConfig>,
    /// The endpoint list that is used until one is fetched.
    #[serde(rename = "known")]
    pub initial_endpoints: Option<HostList>,
    /// The settings of the core, and the names that the endpoint list uses.
    pub settings: GatewaySettings,
    /// The format of log events on standard error.
    #[serde(default)]
    pub log: LogConfig,
}

/// The project's own discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryService {
    /// The addresses that are asked in turn if the address in `discovery` fails.
    #[serde(default)]
    others: Vec<SocketAddr>,
    /// The fraction of servers that may disappear together without a removal delay. Default: 0.5.
    #[serde(rename = "missing_share", default = "default_missing_fraction")]
    missing_fraction: f64,
    /// The removal delay of servers that disappeared together, in milliseconds. Default: 10 000.
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
    /// The policy for full lists from which many known servers are missing.
    pub fn removal_policy(&self) -> RemovalPolicy {
        RemovalPolicy {
            max_missing_fraction: self.missing_fraction,
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
    /// The number of file descriptors that the process may use.
    pub sockets: usize,
}

/// The limits on open connections.
pub struct ConnectionLimits {
    /// The maximum number of connections from clients.
    pub clients: usize,
    /// The maximum number of connections to servers.
    pub servers: usize,
}

impl Config {
    /// Reads the configuration at the start of the process, when environment variables override the file.
    ///
    /// # Errors
    /// Fails if the file or a variable is missing or invalid.
    pub fn load() -> Result<Config, ConfigError> {
        let mut config = Config::from_file()?;
        let Config { listen, discovery, console, .. } = &mut config;
        *listen = address_variable("RELAY_LISTEN")?.unwrap_or(*listen);
        *discovery = address_variable("RELAY_DISCOVERY")?.unwrap_or(*discovery);
        *console = address_variable("RELAY_CONSOLE")?.or(*console);
        Ok(config)
    }

    /// Reads only the file. Used for reloads, because the variables were set for the configuration at the
    /// start.
    ///
    /// # Errors
    /// Fails if the file is missing or invalid.
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
        if config.discovery_service.as_ref().is_some_and(|service| !service.is_valid()) {
            return Err(ConfigError::DiscoveryService);
        }
        if let Some(fleet) = &config.fleet {
            fleet.check()?;
        }
        Ok(config)
    }

    /// The addresses of the discovery agents, in the order in which they are asked.
    pub fn agents(&self) -> Vec<SocketAddr> {
        let others = self.discovery_service.iter().flat_map(|service| &service.others);
        std::iter::once(&self.discovery).chain(others).copied().collect()
    }

    /// The limits on open connections. `is_shared` is set while another process of this gateway runs, which
    /// gets half of them.
    ///
    /// A request uses one connection of each kind, and a hedged request uses another one to a server. Clients
    /// still get more connections than servers, because each client opens its own and keeps many that are not
    /// in use.
    pub fn connection_limits(&self, is_shared: bool) -> ConnectionLimits {
        // The console's connections are reserved, independently of the clients.
        let console = self.console.map_or(0, |_| MAX_CONSOLE_CONNECTIONS);
        let sockets = if is_shared { self.limits.sockets / 2 } else { self.limits.sockets };
        let available = sockets.saturating_sub(RESERVED_SOCKETS + console).max(MIN_SOCKETS);
        let clients = available * 3 / 5;
        ConnectionLimits { clients, servers: available - clients }
    }
}

/// Returns the address in an environment variable, if it is set.
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
