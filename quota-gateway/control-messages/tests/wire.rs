//! Messages are decoded as encoded, and rejected where anything is wrong; a reader never goes back to an older decision.

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

/// Each value of a report that can be invalid.
#[test]
fn a_report_with_an_invalid_value_is_rejected() {
    type Invalidate = fn(&mut Report);
    let invalidations: [(&str, Invalidate); 12] = [
        ("span", |r| r.span_ms = 0),
        ("a zone without a name", |r| r.zone.clear()),
        ("a long name", |r| r.zones[0].zone = "h".repeat(MAX_NAME_BYTES + 1)),
        ("no number", |r| r.requested_units = f64::NAN),
        ("negative", |r| r.zones[0].attempts.failed = -1.0),
        ("huge", |r| r.zones[0].servers = 1e13),
        ("more warm than there are", |r| r.zones[0].warm = 10.0),
        ("too many zones", |r| r.zones = vec![r.zones[0].clone(); MAX_ZONES + 1]),
        ("a zone twice", |r| r.zones.push(r.zones[0].clone())),
        ("levels that fall", |r| r.demand.points.reverse()),
        ("a sum that falls", |r| r.demand.points[1].1 = 1.0),
        ("too many points", |r| r.demand.points = (0..=MAX_POINTS).map(|i| (i as f64, 0.0)).collect()),
    ];
    assert_eq!(decode::<Report>(FLEET, &encode(FLEET, &report()).unwrap()), Ok(report()));
    for (what, invalidate) in invalidations {
        let mut invalid = report();
        invalidate(&mut invalid);
        let bytes = encode(FLEET, &invalid).unwrap();
        assert_eq!(decode::<Report>(FLEET, &bytes), Err(DecodeError::InvalidValue), "{what}");
    }
}

#[test]
fn a_message_with_an_unexpected_header_is_rejected() {
    let bytes = encode(FLEET, &report()).unwrap();
    let altered = |at: usize, by: u8| {
        let mut bytes = bytes.clone();
        bytes[at] ^= by;
        decode::<Report>(FLEET, &bytes)
    };
    assert_eq!(altered(0, 1), Err(DecodeError::BadMagic));
    assert_eq!(altered(4, 2), Err(DecodeError::UnsupportedVersion));
    assert_eq!(altered(6, 1), Err(DecodeError::UnexpectedKind));
    assert_eq!(altered(7, 1), Err(DecodeError::WrongFleet));
    assert_eq!(altered(18, 0x7f), Err(DecodeError::TooLong));
    assert_eq!(altered(HEADER_BYTES, 1), Err(DecodeError::Corrupt));
    assert_eq!(decode::<Report>(FLEET, &bytes[..bytes.len() - 1]), Err(DecodeError::Truncated));
    assert_eq!(decode::<Decision<Level>>(FLEET, &bytes), Err(DecodeError::UnexpectedKind));
    let too_long_valid = Decision { valid_ms: u32::MAX, ..decision(1, 1, 1.0) };
    let bytes = encode(FLEET, &too_long_valid).unwrap();
    assert_eq!(decode::<Decision<Level>>(FLEET, &bytes), Err(DecodeError::InvalidValue));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_flipped_bits_are_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..2000, bit in 0u8..8,
    ) {
        let _ = decode::<Report>(FLEET, &bytes);
        let mut headed = encode(FLEET, &report()).unwrap()[..HEADER_BYTES].to_vec();
        headed.extend(&bytes);
        prop_assert!(decode::<Report>(FLEET, &headed).is_err());
        let mut encoded = encode(FLEET, &report()).unwrap();
        let at = at % encoded.len();
        encoded[at] ^= 1 << bit;
        prop_assert!(decode::<Report>(FLEET, &encoded).is_err(), "byte {at} bit {bit}");
    }

    /// In any order of decisions a reader's stamp never falls, and no decision is valid after its time.
    #[test]
    fn a_reader_never_goes_back_to_an_older_decision(
        steps in proptest::collection::vec((1u64..5, 1u64..5, 0u64..3, 0u64..4000), 1..60),
    ) {
        let (mut reader, mut now) = (DecisionReader::default(), Duration::ZERO);
        let (mut last, mut newest): (Option<Stamp>, Duration) = (None, Duration::ZERO);
        for (token, revision, level, later) in steps {
            let requested_at = now;
            now += Duration::from_millis(later);
            let read = decision(token, revision, level as f64);
            let acceptance = reader.accept(requested_at, read.clone());
            prop_assert!(reader.stamp() >= last);
            prop_assert_eq!(acceptance == Acceptance::New, reader.stamp() > last);
            if acceptance != Acceptance::Stale {
                newest = requested_at;
            }
            last = reader.stamp();
            match reader.validity(now) {
                Validity::NoDecision => prop_assert!(false, "something was read"),
                Validity::Valid(current) => prop_assert!(now < newest + Duration::from_secs(3) && Some(current.stamp) == last),
                Validity::Expired(current, since) => {
                    prop_assert_eq!(now - since, newest + Duration::from_secs(3));
                    prop_assert_eq!(Some(current.stamp), last);
                }
            }
        }
    }
}

/// A late answer to an earlier request does not shorten the validity.
#[test]
fn a_late_answer_does_not_shorten_a_renewal() {
    let mut reader = DecisionReader::default();
    let second = Duration::from_secs;
    reader.accept(second(1), decision(1, 1, 1.0));
    assert_eq!(reader.accept(second(5), decision(1, 1, 1.0)), Acceptance::Renewed);
    assert_eq!(reader.accept(second(2), decision(1, 1, 1.0)), Acceptance::Renewed);
    reader.renew(second(3));
    assert_eq!(reader.valid_until(), Some(second(8)));
    // A stamp identifies one decision.
    assert_eq!(reader.accept(second(9), decision(1, 1, 2.0)), Acceptance::Stale);
    assert_eq!(reader.valid_until(), Some(second(8)));
}
