//! Recorded bytes of the published decision on zones. A type or field that is renamed in the program is renamed in the
//! construction code here; the fixture stays.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, same_bytes};
use marblecroft_control_messages::frame::{decode, encode, Fleet};
use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_zone_failover::body::{State, ZoneDecided, ZonesDecided};

const FLEET: Fleet = Fleet(0x0102_0304_0506_0708);

fn zone(number: u32, state: State, shares: [f64; 5]) -> ZoneDecided {
    ZoneDecided {
        name: format!("hall-{number}"),
        state,
        falls: number + 7,
        bears: f64::from(number) + 100.25,
        asked: f64::from(number) + 50.5,
        gateways: number + 20,
        shares: shares.to_vec(),
    }
}

#[test]
fn decisions_on_zones_keep_their_bytes() {
    let body = ZonesDecided {
        zones: vec![
            zone(1, State::Serving, [0.5, 0.25, 0.125, 0.0, 0.0625]),
            zone(2, State::Suspect, [0.0, 1.0, 0.0, 0.0, 0.0]),
            zone(3, State::FailedOver, [0.75, 0.125, 0.0, 0.0, 0.0]),
            zone(4, State::Returning, [0.0, 0.0, 0.0, 0.875, 0.0]),
            zone(5, State::HeldByOperator, [0.1, 0.2, 0.0, 0.3, 0.0]),
        ],
    };
    let decision = Decision { stamp: Stamp { token: 1009, revision: 2011 }, valid_ms: 3017, body };
    let encoded = encode(FLEET, &decision).expect("it fits");
    same_bytes("decision.hex", &encoded);
    let read: Decision<ZonesDecided> = decode(FLEET, &bytes("decision.hex")).expect("it is read");
    assert_eq!(read, decision);
    same_bytes("decision.hex", &encode(FLEET, &read).expect("it fits"));
}
