//! The configured zones, and the parameters of the decision.

use marblecroft_control_messages::frame::is_valid_quantity;
use marblecroft_control_messages::report::{MAX_NAME_BYTES, MAX_ZONES};
use quick_error::quick_error;
use serde::Deserialize;
use std::time::Duration;

/// Maximum number of doublings of the failover time, so that the factor does not overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Upper bound of each period, in milliseconds.
const MAX_PERIOD_MS: u64 = 3_600_000;

quick_error! {
    /// Reason why settings are rejected. The text is one line that names the field.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// There are no zones, or more than [`MAX_ZONES`].
        ZoneCount(count: usize) {
            display("places: {count} zones, expected 1 to {MAX_ZONES}")
        }
        /// The name of the zone with this index is empty, or its name or region is too long.
        NameLength(index: usize) {
            display("places[{index}]: name not 1 to {MAX_NAME_BYTES} bytes, or region above {MAX_NAME_BYTES}")
        }
        /// The zone with this index has the same name as an earlier one.
        DuplicateName(index: usize, name: String) {
            display("places[{index}].name: duplicate name {name}")
        }
        /// The capacity of a server is not a valid quantity.
        ServerCapacity {
            display("server_bears: not a valid number of 0 or more")
        }
        /// A period of this field, in milliseconds, is out of range.
        Period(field: &'static str, period_ms: u64) {
            display("{field}: {period_ms} is not in the range 1 to {MAX_PERIOD_MS}")
        }
    }
}

/// One zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// Its name, as in the server list.
    pub name: String,
    /// Its region; zones of the same region are near each other. Zones without a region form one region.
    #[serde(default)]
    pub region: String,
}

/// All settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The zones in a circular order of distance: the next zone in the same region is the nearest.
    #[serde(rename = "places")]
    pub zones: Vec<ZoneSettings>,
    /// Capacity of one warm server in units per second; 0 to estimate it.
    #[serde(rename = "server_bears")]
    pub server_capacity: f64,
    /// Time after which the last report of a gateway expires, in milliseconds.
    #[serde(rename = "unheard_ms")]
    pub report_ttl_ms: u64,
    /// Time for which the evidence must be against a zone before it fails over, in milliseconds. It requires
    /// two reports, so that a single burst of errors has no effect.
    #[serde(rename = "out_after_ms")]
    pub failover_delay_ms: u64,
    /// Time that a zone stays failed over, in milliseconds. It is doubled for each failure during a recent
    /// return.
    #[serde(rename = "hold_ms")]
    pub min_failover_ms: u64,
    /// Upper bound of the doubled time that a zone stays failed over, in milliseconds.
    #[serde(rename = "hold_most_ms")]
    pub max_failover_ms: u64,
    /// Time in which the traffic of a returning zone rises to all of its traffic, in milliseconds. It is the
    /// time in which servers warm up.
    #[serde(rename = "ramp_ms")]
    pub slow_start_ms: u64,
    /// Minimum time between the failovers of two regions, in milliseconds.
    #[serde(rename = "dwell_ms")]
    pub region_failover_interval_ms: u64,
    /// Time for which a new owner only receives reports, in milliseconds. It is long enough for two reports
    /// of every gateway.
    #[serde(rename = "settle_ms")]
    pub observation_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            zones: Vec::new(),
            server_capacity: 0.0,
            report_ttl_ms: 3500,
            failover_delay_ms: 900,
            min_failover_ms: 4000,
            max_failover_ms: 120_000,
            slow_start_ms: 10_000,
            region_failover_interval_ms: 10_000,
            observation_ms: 2200,
        }
    }
}

impl Settings {
    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.zones.is_empty() || self.zones.len() > MAX_ZONES {
            return Err(SettingsError::ZoneCount(self.zones.len()));
        }
        (0..self.zones.len()).try_for_each(|index| self.check_zone(index))?;
        if !is_valid_quantity(self.server_capacity) {
            return Err(SettingsError::ServerCapacity);
        }
        self.check_periods()
    }

    fn check_zone(&self, index: usize) -> Result<(), SettingsError> {
        let ZoneSettings { name, region } = &self.zones[index];
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || region.len() > MAX_NAME_BYTES {
            return Err(SettingsError::NameLength(index));
        }
        if self.zones[..index].iter().any(|other| other.name == *name) {
            return Err(SettingsError::DuplicateName(index, name.clone()));
        }
        Ok(())
    }

    fn check_periods(&self) -> Result<(), SettingsError> {
        let periods = [
            ("unheard_ms", self.report_ttl_ms),
            ("out_after_ms", self.failover_delay_ms),
            ("hold_ms", self.min_failover_ms),
            ("hold_most_ms", self.max_failover_ms),
            ("ramp_ms", self.slow_start_ms),
            ("dwell_ms", self.region_failover_interval_ms),
            ("settle_ms", self.observation_ms),
        ];
        match periods.into_iter().find(|(_, period_ms)| !(1..=MAX_PERIOD_MS).contains(period_ms)) {
            Some((field, period_ms)) => Err(SettingsError::Period(field, period_ms)),
            None => Ok(()),
        }
    }

    /// Returns the index of the zone with this name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// Returns whether two zones are in the same region.
    pub fn is_same_region(&self, a: usize, b: usize) -> bool {
        self.zones[a].region == self.zones[b].region
    }

    /// Returns the other zones, nearest first: those of the same region, then the others, each in circular
    /// order from this zone.
    pub fn by_distance(&self, from: usize) -> Vec<usize> {
        let zone_count = self.zones.len();
        let mut others: Vec<usize> = (1..zone_count).map(|step| (from + step) % zone_count).collect();
        others.sort_by_key(|&to| !self.is_same_region(from, to));
        others
    }

    /// Returns the time after which the last report of a gateway expires.
    pub fn report_ttl(&self) -> Duration {
        Duration::from_millis(self.report_ttl_ms)
    }

    /// Returns the time for which the evidence must be against a zone before it fails over.
    pub fn failover_delay(&self) -> Duration {
        Duration::from_millis(self.failover_delay_ms)
    }

    /// Returns the time that a zone with this flap count stays failed over.
    pub fn failover_time(&self, flap_count: u32) -> Duration {
        let doubled_ms = self.min_failover_ms.saturating_mul(1 << flap_count.min(MAX_DOUBLINGS));
        Duration::from_millis(doubled_ms.min(self.max_failover_ms.max(self.min_failover_ms)))
    }

    /// Returns the time over which the traffic of a returning zone rises from none to all of its traffic.
    pub fn slow_start(&self) -> Duration {
        Duration::from_millis(self.slow_start_ms)
    }

    /// Returns the minimum time between the failovers of two regions.
    pub fn region_failover_interval(&self) -> Duration {
        Duration::from_millis(self.region_failover_interval_ms)
    }

    /// Returns the time for which a new owner only receives reports.
    pub fn observation_time(&self) -> Duration {
        Duration::from_millis(self.observation_ms)
    }
}
