//! The configuration of a controller: one TOML file.

mod shard_map;

pub use shard_map::{ShardCell, ShardMapConfig, ShardMapConfigError};

use marblecroft_control_messages::frame::is_valid_quantity;
use marblecroft_logging::LogConfig;
use marblecroft_singleton_roles::keys::ROLES;
use marblecroft_zone_failover::settings::{Settings as ZoneFailoverConfig, SettingsError};
use quick_error::quick_error;
use serde::Deserialize;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Maximum length of a name, in bytes. Names are parts of keys in the coordination service.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of addresses of the coordination service.
const MAX_COORDINATORS: usize = 16;

quick_error! {
    /// Why a configuration is invalid. The display text is one line that names the key.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The file cannot be read.
        Unreadable(path: PathBuf, cause: io::Error) {
            display("{}: {cause}", path.display())
            source(cause)
        }
        /// The file's configuration is invalid.
        InvalidFile(path: PathBuf, cause: Box<ConfigError>) {
            display("{}: {cause}", path.display())
            source(cause)
        }
        /// The text is not TOML, or has unknown keys, missing keys or values of the wrong type.
        Malformed(cause: toml::de::Error) {
            display("{}", cause.to_string().trim().replace('\n', " "))
            source(cause)
        }
        /// A name is empty, too long or has characters that are not allowed.
        Name(key: &'static str) {
            display("{key}: expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.'")
        }
        /// An address is not a loopback address, and the configuration does not allow other addresses.
        NotLoopback(key: &'static str) {
            display("{key}: not a loopback address, and allow_other_than_loopback is not set")
        }
        /// The number of addresses of the coordination service is 0 or too large.
        Coordinators {
            display("coordinators: expected 1 to {MAX_COORDINATORS} addresses")
        }
        /// A number is out of range.
        OutOfRange(key: &'static str, min: u64, max: u64) {
            display("{key}: expected a number from {min} to {max}")
        }
        /// The settings of the zone failover are invalid.
        Zones(cause: SettingsError) {
            display("zones.{cause}")
            source(cause)
        }
        /// The capacity is negative, too large or not a number.
        InvalidCapacity {
            display("shares.capacity: expected a number from 0 to 1e12")
        }
        /// No capacity is configured, and there are no zones to derive it from.
        MissingCapacity {
            display("shares.capacity: required if zones is not configured")
        }
        /// The configuration of the shard map is invalid.
        ShardMap(cause: ShardMapConfigError) {
            display("books.{cause}")
            source(cause)
        }
        /// No role is configured.
        NoRole {
            display("zones, shares, books: at least one is required")
        }
    }
}

/// The configuration of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the fleet. It must be equal in the configuration of each gateway.
    pub fleet: String,
    /// The name of this controller, unique in the fleet.
    pub name: String,
    /// The zone of this controller. The owners of roles are spread over zones.
    #[serde(default)]
    pub zone: String,
    /// The address to listen on for reports.
    pub listen: SocketAddr,
    /// The address at which gateways reach this controller, if it differs from the one to listen on.
    #[serde(rename = "reached_at")]
    pub report_address: Option<SocketAddr>,
    /// The addresses of the coordination service.
    pub coordinators: Vec<String>,
    /// The IP address at which all coordinators are reached, each at its own port, if addresses are
    /// translated.
    #[serde(rename = "coordinators_at")]
    pub coordinator_host: Option<IpAddr>,
    /// Time to live of the session at the coordination service without renewal, in milliseconds.
    #[serde(rename = "session_ms", default = "default_session_ttl_ms")]
    pub session_ttl_ms: u64,
    /// The interval between two decisions, in milliseconds.
    #[serde(rename = "decide_ms", default = "default_decision_interval_ms")]
    pub decision_interval_ms: u64,
    /// Maximum number of connections from gateways.
    #[serde(rename = "connections", default = "default_max_connections")]
    pub max_connections: usize,
    /// Whether addresses other than loopback addresses are allowed.
    #[serde(default)]
    pub allow_other_than_loopback: bool,
    /// The address at which metrics are served; `None` disables them.
    pub metrics: Option<SocketAddr>,
    /// The logging configuration.
    #[serde(default)]
    pub log: LogConfig,
    /// How long decisions are valid.
    #[serde(rename = "valid", default)]
    pub ttl: DecisionTtl,
    /// The zone failover, if this controller is a candidate for it.
    pub zones: Option<ZoneFailoverConfig>,
    /// The fair shares, if this controller is a candidate for them.
    #[serde(rename = "shares")]
    pub fair_share: Option<FairShareConfig>,
    /// The shard map, if this controller is a candidate for it.
    #[serde(rename = "books")]
    pub shard_map: Option<ShardMapConfig>,
}

/// For how long a reader may use each decision after the last confirmation that it is the newest, in
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionTtl {
    /// TTL of zone failover decisions. Long, because the loss of all controllers is no reason to revert a
    /// failover.
    pub zones_ms: u32,
    /// TTL of fair-share decisions. Short, because demand changes within seconds.
    #[serde(rename = "shares_ms")]
    pub fair_share_ms: u32,
    /// TTL of shard maps. Gateways with an expired shard map reject writes. If cells do not fence, a
    /// migration waits this long for a gateway that does not report.
    #[serde(rename = "books_ms")]
    pub shard_map_ms: u32,
}

impl Default for DecisionTtl {
    fn default() -> DecisionTtl {
        DecisionTtl { zones_ms: 60_000, fair_share_ms: 5_000, shard_map_ms: 10_000 }
    }
}

/// The configuration of the fair shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FairShareConfig {
    /// The capacity in units per second. If zones are configured, it is the upper bound of their capacity. 0
    /// means that no capacity is configured.
    pub capacity: f64,
}

fn default_session_ttl_ms() -> u64 {
    2000
}

fn default_decision_interval_ms() -> u64 {
    200
}

fn default_max_connections() -> usize {
    2048
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] with the path, if the file cannot be read or is not valid.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|cause| ConfigError::Unreadable(path.to_owned(), cause))?;
        Config::parse(&text).map_err(|cause| ConfigError::InvalidFile(path.to_owned(), Box::new(cause)))
    }

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for the first key that is not valid.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let config: Config = toml::from_str(text).map_err(ConfigError::Malformed)?;
        config.check_names()?;
        config.check_addresses()?;
        config.check_ranges()?;
        config.check_roles()?;
        Ok(config)
    }

    /// Returns the roles that this controller is a candidate for.
    pub fn roles(&self) -> Vec<&'static str> {
        let configured = [self.zones.is_some(), self.fair_share.is_some(), self.shard_map.is_some()];
        let roles = ROLES.into_iter().zip(configured);
        roles.filter(|(_, configured)| *configured).map(|(role, _)| role).collect()
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        for (key, name) in [("fleet", &self.fleet), ("name", &self.name)] {
            let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
                return Err(ConfigError::Name(key));
            }
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), ConfigError> {
        for (key, address) in [("listen", Some(self.listen)), ("metrics", self.metrics)] {
            let is_loopback = address.is_none_or(|address| address.ip().is_loopback());
            if !is_loopback && !self.allow_other_than_loopback {
                return Err(ConfigError::NotLoopback(key));
            }
        }
        if !(1..=MAX_COORDINATORS).contains(&self.coordinators.len()) {
            return Err(ConfigError::Coordinators);
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), ConfigError> {
        for (key, value, min, max) in [
            ("session_ms", self.session_ttl_ms, 500, 60_000),
            ("decide_ms", self.decision_interval_ms, 20, 10_000),
            ("connections", self.max_connections as u64, 1, 65_536),
            ("valid.zones_ms", self.ttl.zones_ms.into(), 1000, 600_000),
            ("valid.shares_ms", self.ttl.fair_share_ms.into(), 1000, 600_000),
            ("valid.books_ms", self.ttl.shard_map_ms.into(), 1000, 600_000),
        ] {
            if !(min..=max).contains(&value) {
                return Err(ConfigError::OutOfRange(key, min, max));
            }
        }
        Ok(())
    }

    fn check_roles(&self) -> Result<(), ConfigError> {
        if let Some(zones) = &self.zones {
            zones.check().map_err(ConfigError::Zones)?;
        }
        if let Some(fair_share) = &self.fair_share {
            if !is_valid_quantity(fair_share.capacity) {
                return Err(ConfigError::InvalidCapacity);
            }
            if self.zones.is_none() && fair_share.capacity <= 0.0 {
                return Err(ConfigError::MissingCapacity);
            }
        }
        if let Some(shard_map) = &self.shard_map {
            shard_map.check(self.allow_other_than_loopback).map_err(ConfigError::ShardMap)?;
        }
        if self.roles().is_empty() {
            return Err(ConfigError::NoRole);
        }
        Ok(())
    }
}
