//! A steward's configuration: one TOML file.

use marblecroft_logging::LogConfig;
use marblecroft_shard_map::map::MAX_SHARDS;
use marblecroft_shard_map::owner::MAX_GATEWAYS;
use marblecroft_singleton_roles::keys::ROLES;
use marblecroft_zone_failover::settings::Settings as Zones;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The fleet's name: the same in each gateway's configuration.
    pub fleet: String,
    /// This steward's, unlike all others'.
    pub name: String,
    /// The zone that it stands in, so that owners are spread over zones.
    #[serde(default)]
    pub zone: String,
    /// Where it takes reports, and by which address gateways reach it if that is another one.
    pub listen: SocketAddr,
    pub reached_at: Option<SocketAddr>,
    pub coordinators: Vec<String>,
    /// Where a coordinator that is named is called, with its own port, if there is an address translator between.
    pub coordinators_at: Option<IpAddr>,
    #[serde(default = "session_ms")]
    pub session_ms: u64,
    /// Between two looks at what was reported.
    #[serde(default = "decide_ms")]
    pub decide_ms: u64,
    #[serde(default = "connections")]
    pub connections: usize,
    #[serde(default)]
    pub allow_other_than_loopback: bool,
    /// Where the page of metrics is served; nowhere without it.
    pub metrics: Option<SocketAddr>,
    #[serde(default)]
    pub log: LogConfig,
    /// How long a reader may go by each decision after it last knew it for the newest.
    #[serde(default)]
    pub valid: Valid,
    /// The zones, where they are decided on.
    pub zones: Option<Zones>,
    /// Where shares are decided on; capacity is that of the zones' decision, or this.
    pub shares: Option<FairShareConfig>,
    /// Where it is decided which book is written at which cell.
    pub books: Option<ShardMapConfig>,
}

/// A cell of pay servers, and where it takes what is asked of it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardCell {
    /// As the list names it.
    pub number: u32,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    pub at: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMapConfig {
    /// Books that a map begins with where none stands, of the same width.
    #[serde(default = "default_shard_count")]
    pub count: usize,
    pub cells: Vec<ShardCell>,
    /// Cells remember epochs and turn lower ones away; without it a move waits for gateways instead.
    pub fencing: bool,
    /// Gateways that there are: while fewer are heard, one that is not may hold an older map.
    pub gateways: usize,
    /// The longest that an attempt can be out.
    #[serde(default = "attempt_ms")]
    pub attempt_ms: u64,
    /// A step that is not answered for this long is given up, where it can be.
    #[serde(default = "default_timeout_ms")]
    pub patience_ms: u64,
}

fn default_shard_count() -> usize {
    8
}

fn attempt_ms() -> u64 {
    4000
}

fn default_timeout_ms() -> u64 {
    5000
}

impl ShardMapConfig {
    /// The error names the field.
    fn check(&self, loopback: bool) -> Result<(), String> {
        if !(1..=MAX_SHARDS).contains(&self.count) {
            return Err(format!("count: from 1 to {MAX_SHARDS}"));
        }
        if self.cells.is_empty() || self.cells.len() > MAX_CELLS {
            return Err(format!("cells: 1 to {MAX_CELLS}"));
        }
        for (i, cell) in self.cells.iter().enumerate() {
            if self.cells[..i].iter().any(|other| other.number == cell.number) {
                return Err(format!("cells[{i}].number: {} comes twice", cell.number));
            }
            if loopback && !cell.at.ip().is_loopback() {
                return Err(format!(
                    "cells[{i}].at: not on this machine alone, and allow_other_than_loopback is not set"
                ));
            }
        }
        if self.gateways == 0 || self.gateways > MAX_GATEWAYS {
            return Err(format!("gateways: from 1 to {MAX_GATEWAYS}"));
        }
        for (field, value) in [("attempt_ms", self.attempt_ms), ("patience_ms", self.patience_ms)] {
            if !(100..=600_000).contains(&value) {
                return Err(format!("{field}: from 100 to 600000"));
            }
        }
        Ok(())
    }
}

/// Cells that a map is dealt out over.
const MAX_CELLS: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Valid {
    /// A failover that was decided on is good until another is: a steward less is no reason to undo it.
    pub zones_ms: u32,
    /// Shares bind where capacity is short, and what is asked changes by the second.
    pub shares_ms: u32,
    /// Past it pay runs are refused; where cells do not fence, a move waits for so long for a gateway that is not heard.
    pub books_ms: u32,
}

impl Default for Valid {
    fn default() -> Valid {
        Valid { zones_ms: 60_000, shares_ms: 5_000, books_ms: 10_000 }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FairShareConfig {
    /// Units a second, where zones are not decided on.
    pub capacity: f64,
}

fn session_ms() -> u64 {
    2000
}

fn decide_ms() -> u64 {
    200
}

fn connections() -> usize {
    2048
}

/// The longest name: a part of a name in the coordination service.
const MAX_NAME_BYTES: usize = 64;

impl Config {
    /// The error is one line that names the field.
    pub fn read(path: &Path) -> Result<Config, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::of(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn of(text: &str) -> Result<Config, String> {
        let config: Config = toml::from_str(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        for (field, name) in [("fleet", &config.fleet), ("name", &config.name)] {
            let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !plain {
                return Err(format!("{field}: 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.'"));
            }
        }
        for (field, addr) in [("listen", Some(config.listen)), ("metrics", config.metrics)] {
            if addr.is_some_and(|addr| !addr.ip().is_loopback()) && !config.allow_other_than_loopback {
                return Err(format!(
                    "{field}: not on this machine alone, and allow_other_than_loopback is not set"
                ));
            }
        }
        if config.coordinators.is_empty() || config.coordinators.len() > 16 {
            return Err("coordinators: 1 to 16 addresses".to_owned());
        }
        let bounds = [
            ("session_ms", config.session_ms, 500, 60_000),
            ("decide_ms", config.decide_ms, 20, 10_000),
            ("connections", config.connections as u64, 1, 65_536),
            ("valid.zones_ms", config.valid.zones_ms.into(), 1000, 600_000),
            ("valid.shares_ms", config.valid.shares_ms.into(), 1000, 600_000),
            ("valid.books_ms", config.valid.books_ms.into(), 1000, 600_000),
        ];
        for (field, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                return Err(format!("{field}: from {least} to {most}"));
            }
        }
        if let Some(zones) = &config.zones {
            zones.check().map_err(|e| format!("zones.{e}"))?;
        }
        if let Some(shares) = &config.shares {
            if !marblecroft_control_messages::frame::is_valid_quantity(shares.capacity) {
                return Err("shares.capacity: no number from 0".to_owned());
            }
            if config.zones.is_none() && shares.capacity <= 0.0 {
                return Err("shares.capacity: needed where zones are not decided on".to_owned());
            }
        }
        if let Some(books) = &config.books {
            books.check(!config.allow_other_than_loopback).map_err(|e| format!("books.{e}"))?;
        }
        if config.roles().is_empty() {
            return Err("zones, shares, books: one of them at least".to_owned());
        }
        Ok(config)
    }

    /// The duties that it is a candidate for.
    pub fn roles(&self) -> Vec<&'static str> {
        let named = [self.zones.is_some(), self.shares.is_some(), self.books.is_some()];
        ROLES.into_iter().zip(named).filter(|(_, named)| *named).map(|(duty, _)| duty).collect()
    }
}
