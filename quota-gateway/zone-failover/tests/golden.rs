//! Compares the encoding of the published zones decision with recorded bytes. After a rename of a type or
//! field only the code here changes; the fixture stays.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;
#[path = "../../../testing/support/golden/message.rs"]
mod message;

use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_zone_failover::decision::{ZoneDecision, ZoneState, ZonesDecision};
use message::check_message;

fn zone(number: u32, state: ZoneState, shares: [f64; 5]) -> ZoneDecision {
    ZoneDecision {
        name: format!("hall-{number}"),
        state,
        flap_count: number + 7,
        capacity: f64::from(number) + 100.25,
        demand: f64::from(number) + 50.5,
        gateways: number + 20,
        shares: shares.to_vec(),
    }
}

#[test]
fn the_encoding_of_zones_decisions_matches_the_fixture() {
    let body = ZonesDecision {
        zones: vec![
            zone(1, ZoneState::Serving, [0.5, 0.25, 0.125, 0.0, 0.0625]),
            zone(2, ZoneState::Suspect, [0.0, 1.0, 0.0, 0.0, 0.0]),
            zone(3, ZoneState::FailedOver, [0.75, 0.125, 0.0, 0.0, 0.0]),
            zone(4, ZoneState::Returning, [0.0, 0.0, 0.0, 0.875, 0.0]),
            zone(5, ZoneState::HeldByOperator, [0.1, 0.2, 0.0, 0.3, 0.0]),
        ],
    };
    let decision = Decision { stamp: Stamp { token: 1009, revision: 2011 }, valid_ms: 3017, body };
    check_message("decision.hex", &decision);
}
