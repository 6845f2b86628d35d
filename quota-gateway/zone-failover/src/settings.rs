//! What operators say of zones, and the figures of the decision with their reasons.

use serde::Deserialize;
use std::time::Duration;

/// A zone, by its name in the list of servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub name: String,
    /// Zones of one region are near each other; left out: all are of one.
    #[serde(default)]
    pub region: String,
}

/// All that the decision is configured with.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// In the order of their nearness to each other: a zone's nearest is the next one round within its region.
    pub places: Vec<Place>,
    /// Units a second that one warm server is known to bear; 0: what it has been seen to take.
    pub server_bears: f64,
    /// A gateway that was not heard for this long is left out of account.
    pub unheard_ms: u64,
    /// Evidence must last for this long before a zone is out: two reports, so that one spell of bad luck moves nothing.
    pub out_after_ms: u64,
    /// A zone stays out at least this long; doubled each time that it falls again soon after it returned ...
    pub hold_ms: u64,
    /// ... up to this.
    pub hold_most_ms: u64,
    /// A return takes this long from the first share to all of it: the time in which cold servers warm up.
    pub ramp_ms: u64,
    /// Between two moves of regions.
    pub dwell_ms: u64,
    /// A new owner decides nothing new for this long: two reports of every gateway.
    pub settle_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            places: Vec::new(),
            server_bears: 0.0,
            unheard_ms: 3500,
            out_after_ms: 900,
            hold_ms: 4000,
            hold_most_ms: 120_000,
            ramp_ms: 10_000,
            dwell_ms: 10_000,
            settle_ms: 2200,
        }
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Settings {
    /// The error names the field.
    pub fn check(&self) -> Result<(), String> {
        use marblecroft_control_messages::report::{MAX_NAME_BYTES, MAX_ZONES};
        if self.places.is_empty() || self.places.len() > MAX_ZONES {
            return Err(format!("places: {} of 1 to {MAX_ZONES}", self.places.len()));
        }
        for (i, place) in self.places.iter().enumerate() {
            if place.name.is_empty()
                || place.name.len() > MAX_NAME_BYTES
                || place.region.len() > MAX_NAME_BYTES
            {
                return Err(format!("places[{i}]: a name has 1 to {MAX_NAME_BYTES} bytes"));
            }
            if self.places[..i].iter().any(|other| other.name == place.name) {
                return Err(format!("places[{i}].name: {} comes twice", place.name));
            }
        }
        if !marblecroft_control_messages::frame::is_valid_quantity(self.server_bears) {
            return Err("server_bears: no number from 0".to_owned());
        }
        let times = [
            ("unheard_ms", self.unheard_ms),
            ("out_after_ms", self.out_after_ms),
            ("hold_ms", self.hold_ms),
            ("hold_most_ms", self.hold_most_ms),
            ("ramp_ms", self.ramp_ms),
            ("dwell_ms", self.dwell_ms),
            ("settle_ms", self.settle_ms),
        ];
        match times.into_iter().find(|(_, time)| !(1..=3_600_000).contains(time)) {
            Some((name, time)) => Err(format!("{name}: {time} is not from 1 to 3600000")),
            None => Ok(()),
        }
    }

    pub fn zone(&self, name: &str) -> Option<usize> {
        self.places.iter().position(|place| place.name == name)
    }

    /// The other zones, nearest first: of the own region, then the others', each in order from this one on, round.
    pub fn nearest(&self, from: usize) -> Vec<usize> {
        let n = self.places.len();
        let mut others: Vec<usize> = (1..n).map(|step| (from + step) % n).collect();
        others.sort_by_key(|&to| self.places[to].region != self.places[from].region);
        others
    }
}
