//! What is published: each zone's state, and which share of its traffic each zone sends to which.

use marblecroft_control_messages::frame::{is_valid_quantity, Kind};
use marblecroft_control_messages::published::Body;
use marblecroft_control_messages::report::{MAX_NAME_BYTES, MAX_ZONES};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Serving,
    /// Something is wrong with it, or with those who look: nobody new is sent there, its own traffic stays.
    Suspect,
    FailedOver,
    /// Back, with a share that rises.
    Returning,
    /// An operator's word.
    HeldByOperator,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Suspect => "suspect",
            State::FailedOver => "out",
            State::Returning => "returning",
            State::HeldByOperator => "held_out",
        }
    }

    /// Whether anything is sent there by decision.
    pub fn takes(self) -> bool {
        matches!(self, State::Serving | State::Returning)
    }
}

/// One zone in a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneDecided {
    pub name: String,
    pub state: State,
    /// How often it fell soon after a return: the next hold is the longer for it.
    pub falls: u32,
    /// Units a second that it is known to bear.
    pub bears: f64,
    /// Units a second that its own gateways are asked for, and how many gateways of it were heard.
    pub asked: f64,
    pub gateways: u32,
    /// The share of that which goes to each zone, in the order of the zones; what is left of 1 is refused at the door.
    pub shares: Vec<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesDecided {
    pub zones: Vec<ZoneDecided>,
}

impl Body for ZonesDecided {
    const KIND: Kind = Kind::Zones;

    fn is_valid(&self) -> bool {
        let n = self.zones.len();
        let share = |share: &f64| (0.0..=1.0).contains(share);
        (1..=MAX_ZONES).contains(&n)
            && self.zones.iter().enumerate().all(|(i, zone)| {
                (1..=MAX_NAME_BYTES).contains(&zone.name.len())
                    && self.zones[..i].iter().all(|other| other.name != zone.name)
                    && is_valid_quantity(zone.bears)
                    && is_valid_quantity(zone.asked)
                    && zone.shares.len() == n
                    && zone.shares.iter().all(share)
                    && zone.shares.iter().sum::<f64>() <= 1.0 + 1e-6
            })
    }
}

/// What one gateway goes by: for each zone by name, the share of its requests that may go there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    pub shares: Vec<(String, f64)>,
    /// Units a second of its own to each other zone, at the most: a share of what it was asked when it was decided, and a
    /// little more. A jump in demand goes no further than this before the next decision.
    pub abroad: Vec<(String, f64)>,
}

/// What a gateway's traffic may grow by between two decisions before what goes abroad is cut.
pub const GROWTH: f64 = 1.25;

impl ZonesDecided {
    /// For a gateway of this zone that is asked for so much; none where the zone is unknown here, or nothing is open to it:
    /// it then does as it would alone.
    pub fn for_gateway(&self, zone: &str, asked: f64) -> Option<Bound> {
        let own = self.zones.iter().find(|own| own.name == zone)?;
        if own.shares.iter().all(|share| *share <= 0.0) {
            return None;
        }
        let part = GROWTH * asked.min(own.asked / f64::from(own.gateways.max(1)) * MAX_RELATIVE_TRAFFIC);
        let named = || self.zones.iter().zip(&own.shares).map(|(to, share)| (to.name.clone(), *share));
        Some(Bound {
            shares: named().collect(),
            abroad: named().filter(|(to, _)| to != zone).map(|(to, share)| (to, share * part)).collect(),
        })
    }
}

/// A gateway takes several times the mean of its zone's traffic at the most.
const MAX_RELATIVE_TRAFFIC: f64 = 8.0;
