//! A decoded message equals the encoded one, invalid messages are rejected, and a reader never returns to an
//! older decision.

use marblecroft_control_messages::frame::*;
use marblecroft_control_messages::published::*;
use marblecroft_control_messages::report::*;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Level(f64);

impl Body for Level {
    const KIND: Kind = Kind::Shares;
    fn is_valid(&self) -> bool {
        is_valid_quantity(self.0)
    }
}

const FLEET: Fleet = Fleet(7);

fn decision(token: u64, revision: u64, level: f64) -> Decision<Level> {
    Decision { stamp: Stamp { token, revision }, valid_ms: 3000, body: Level(level) }
}

fn report() -> Report {
    let attempts = AttemptCounts { served: 3.0, rejected: 1.0, failed: 0.0, connect_failed: 0.0 };
    Report {
        gateway: 3,
        incarnation: 99,
        sequence: 1,
        zone: "hall-a".to_owned(),
        span_ms: 1000,
        requested_units: 12.5,
        zones: vec![ZoneObservation { zone: "hall-b".to_owned(), attempts, servers: 9.0, warm: 8.5 }],
        demand: Demand { total: 9.0, weight: 4.0, points: vec![(0.5, 2.0), (1.0, 4.0)] },
        applied_decisions: AppliedDecisions::default(),
    }
}

/// Invalidates each checked value of a report in turn.
#[test]
fn a_report_with_an_invalid_value_is_rejected() {
    type Invalidate = fn(&mut Report);
    let invalidations: [(&str, Invalidate); 12] = [
        ("empty period", |r| r.span_ms = 0),
        ("empty zone name", |r| r.zone.clear()),
        ("too long zone name", |r| r.zones[0].zone = "h".repeat(MAX_NAME_BYTES + 1)),
        ("not a number", |r| r.requested_units = f64::NAN),
        ("negative value", |r| r.zones[0].attempts.failed = -1.0),
        ("too large value", |r| r.zones[0].servers = 1e13),
        ("more warm servers than servers", |r| r.zones[0].warm = 10.0),
        ("too many zones", |r| r.zones = vec![r.zones[0].clone(); MAX_ZONES + 1]),
        ("duplicate zone", |r| r.zones.push(r.zones[0].clone())),
        ("descending levels", |r| r.demand.points.reverse()),
        ("descending values", |r| r.demand.points[1].1 = 1.0),
        ("too many points", |r| r.demand.points = (0..=MAX_POINTS).map(|i| (i as f64, 0.0)).collect()),
    ];
    assert_eq!(decode::<Report>(FLEET, &encode(FLEET, &report()).unwrap()), Ok(report()));
    for (case, invalidate) in invalidations {
        let mut invalid = report();
        invalidate(&mut invalid);
        let bytes = encode(FLEET, &invalid).unwrap();
        assert_eq!(decode::<Report>(FLEET, &bytes), Err(DecodeError::InvalidValue), "{case}");
    }
}

#[test]
fn a_message_with_an_unexpected_header_is_rejected() {
    let bytes = encode(FLEET, &report()).unwrap();
    let decode_altered = |at: usize, xor: u8| {
        let mut bytes = bytes.clone();
        bytes[at] ^= xor;
        decode::<Report>(FLEET, &bytes)
    };
    assert_eq!(decode_altered(0, 1), Err(DecodeError::BadMagic));
    assert_eq!(decode_altered(4, 2), Err(DecodeError::UnsupportedVersion));
    assert_eq!(decode_altered(6, 1), Err(DecodeError::UnexpectedKind));
    assert_eq!(decode_altered(7, 1), Err(DecodeError::WrongFleet));
    assert_eq!(decode_altered(18, 0x7f), Err(DecodeError::TooLong));
    assert_eq!(decode_altered(HEADER_BYTES, 1), Err(DecodeError::Corrupt));
    assert_eq!(decode::<Report>(FLEET, &bytes[..bytes.len() - 1]), Err(DecodeError::Truncated));
    assert_eq!(decode::<Decision<Level>>(FLEET, &bytes), Err(DecodeError::UnexpectedKind));
    let valid_too_long = Decision { valid_ms: u32::MAX, ..decision(1, 1, 1.0) };
    let bytes = encode(FLEET, &valid_too_long).unwrap();
    assert_eq!(decode::<Decision<Level>>(FLEET, &bytes), Err(DecodeError::InvalidValue));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_flipped_bits_are_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..2000, bit in 0u8..8,
    ) {
        let _ = decode::<Report>(FLEET, &bytes);
        let mut with_header = encode(FLEET, &report()).unwrap()[..HEADER_BYTES].to_vec();
        with_header.extend(&bytes);
        prop_assert!(decode::<Report>(FLEET, &with_header).is_err());
        let mut encoded = encode(FLEET, &report()).unwrap();
        let at = at % encoded.len();
        encoded[at] ^= 1 << bit;
        prop_assert!(decode::<Report>(FLEET, &encoded).is_err(), "byte {at} bit {bit}");
    }

    /// For any sequence of decisions, the reader's stamp never decreases, and no decision is valid after it
    /// has expired.
    #[test]
    fn a_reader_never_goes_back_to_an_older_decision(
        steps in proptest::collection::vec((1u64..5, 1u64..5, 0u64..3, 0u64..4000), 1..60),
    ) {
        let (mut reader, mut now) = (DecisionReader::default(), Duration::ZERO);
        let (mut last, mut last_accepted_at): (Option<Stamp>, Duration) = (None, Duration::ZERO);
        for (token, revision, level, elapsed_ms) in steps {
            let requested_at = now;
            now += Duration::from_millis(elapsed_ms);
            let read = decision(token, revision, level as f64);
            let acceptance = reader.accept(requested_at, read.clone());
            prop_assert!(reader.stamp() >= last);
            prop_assert_eq!(acceptance == Acceptance::New, reader.stamp() > last);
            if acceptance != Acceptance::Stale {
                last_accepted_at = requested_at;
            }
            last = reader.stamp();
            match reader.validity(now) {
                Validity::NoDecision => prop_assert!(false, "a decision was read"),
                Validity::Valid(current) => {
                    prop_assert!(now < last_accepted_at + Duration::from_secs(3) && Some(current.stamp) == last)
                }
                Validity::Expired(current, since) => {
                    prop_assert_eq!(now - since, last_accepted_at + Duration::from_secs(3));
                    prop_assert_eq!(Some(current.stamp), last);
                }
            }
        }
    }
}

#[test]
fn a_late_response_to_an_earlier_request_does_not_shorten_the_validity() {
    let mut reader = DecisionReader::default();
    let seconds = Duration::from_secs;
    reader.accept(seconds(1), decision(1, 1, 1.0));
    assert_eq!(reader.accept(seconds(5), decision(1, 1, 1.0)), Acceptance::Renewed);
    assert_eq!(reader.accept(seconds(2), decision(1, 1, 1.0)), Acceptance::Renewed);
    reader.renew(seconds(3));
    assert_eq!(reader.valid_until(), Some(seconds(8)));
    // A stamp identifies one decision.
    assert_eq!(reader.accept(seconds(9), decision(1, 1, 2.0)), Acceptance::Stale);
    assert_eq!(reader.valid_until(), Some(seconds(8)));
}
