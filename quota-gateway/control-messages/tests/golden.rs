//! Golden tests of the encoding of messages between gateways and controllers: frames, reports and published
//! decisions.
//!
//! The fixtures were recorded by one run of an earlier version of the code. Each test encodes fixed values
//! and compares them with the fixture, decodes the fixture, and checks that the decoded value is encoded to
//! the same bytes. If a type or field is renamed, only the code that constructs the values here changes; the
//! fixtures do not.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;
#[path = "../../../testing/support/golden/message.rs"]
mod message;

use marblecroft_control_messages::frame::{Fleet, Kind};
use marblecroft_control_messages::published::{Body, Decision, Stamp};
use marblecroft_control_messages::report::{
    AppliedDecisions, AttemptCounts, Demand, Report, ZoneObservation,
};
use message::check_message;
use serde::{Deserialize, Serialize};

fn zone(name: &str, base: f64) -> ZoneObservation {
    let attempts = AttemptCounts {
        served: base + 0.5,
        rejected: base + 1.25,
        failed: base + 2.125,
        connect_failed: base + 3.0625,
    };
    ZoneObservation { zone: name.to_owned(), attempts, servers: base + 9.0, warm: base + 8.5 }
}

fn stamp(number: u64) -> Stamp {
    Stamp { token: 1000 + number, revision: 2000 + number }
}

#[test]
fn reports_have_a_stable_encoding() {
    let report = Report {
        gateway: 300,
        incarnation: 0x1112_1314_1516_1718,
        sequence: 70_001,
        zone: "hall-a".to_owned(),
        span_ms: 1003,
        requested_units: 12.5,
        zones: vec![zone("hall-b", 10.0), zone("hall-c", 20.0)],
        demand: Demand { total: 9.75, weight: 4.25, points: vec![(0.5, 2.0), (1.5, 4.0)] },
        applied_decisions: AppliedDecisions { zones: stamp(1), shares: stamp(2), shard_map: stamp(3) },
    };
    check_message("report.hex", &report);
}

/// Replaces the bodies, which other crates define. The golden tests of their encoding are in those crates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct TestBody<const KIND: u8>(f64, String);

impl<const KIND: u8> Body for TestBody<KIND> {
    const KIND: Kind = match KIND {
        2 => Kind::Zones,
        3 => Kind::Shares,
        4 => Kind::ShardMap,
        5 => Kind::CellRequest,
        _ => Kind::CellReply,
    };
    fn is_valid(&self) -> bool {
        true
    }
}

fn assert_stable_decision<const KIND: u8>(fixture: &str) {
    let body = TestBody::<KIND>(f64::from(KIND) + 0.25, format!("body-{KIND}"));
    let decision = Decision { stamp: stamp(KIND.into()), valid_ms: 3000 + u32::from(KIND), body };
    check_message(fixture, &decision);
}

#[test]
fn decisions_of_each_kind_have_a_stable_encoding() {
    assert_stable_decision::<2>("decision-zones.hex");
    assert_stable_decision::<3>("decision-shares.hex");
    assert_stable_decision::<4>("decision-books.hex");
    assert_stable_decision::<5>("decision-cell-asked.hex");
    assert_stable_decision::<6>("decision-cell-said.hex");
}

/// Receivers compare these identifiers to reject messages of other fleets.
#[test]
fn fleets_have_stable_identifiers() {
    assert_eq!(Fleet::named(""), Fleet(0xcbf2_9ce4_8422_2325));
    assert_eq!(Fleet::named("a"), Fleet(0xaf63_dc4c_8601_ec8c));
    assert_eq!(Fleet::named("foobar"), Fleet(0x8594_4171_f739_67e8));
}
