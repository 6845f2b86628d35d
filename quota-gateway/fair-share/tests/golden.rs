//! Compares the encoding of the published share decision with recorded bytes. After a rename of a type or
//! field only the code here changes; the fixture stays.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;
#[path = "../../../testing/support/golden/message.rs"]
mod message;

use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_fair_share::decision::ShareDecision;
use message::check_message;

#[test]
fn the_encoding_of_share_decisions_matches_the_fixture() {
    let body = ShareDecision {
        level: 12.5,
        capacity: 900.25,
        weight: 41.75,
        points: vec![0.5, 1.25, 9.0],
        grants: vec![(3, 10.5), (70_001, 20.25)],
    };
    let decision = Decision { stamp: Stamp { token: 1009, revision: 2011 }, valid_ms: 3017, body };
    check_message("decision.hex", &decision);
}
