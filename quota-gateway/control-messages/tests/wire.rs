//! Messages: read as written, refused whole where anything is off, and decisions that never go back at a reader.

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
    fn sensible(&self) -> bool {
        sane(self.0)
    }
}

const FLEET: Fleet = Fleet(7);

fn decision(token: u64, revision: u64, level: f64) -> Decision<Level> {
    Decision { stamp: Stamp { token, revision }, valid_ms: 3000, body: Level(level) }
}

fn report() -> Report {
    let seen = Seen { served: 3.0, busy: 1.0, failed: 0.0, unconnected: 0.0 };
    Report {
        gateway: 3,
        incarnation: 99,
        number: 1,
        zone: "hall-a".to_owned(),
        span_ms: 1000,
        requested_units: 12.5,
        zones: vec![ZoneSeen { zone: "hall-b".to_owned(), seen, servers: 9.0, warm: 8.5 }],
        shares: Demand { all: 9.0, weight: 4.0, points: vec![(0.5, 2.0), (1.0, 4.0)] },
        goes_by: AppliedDecisions::default(),
    }
}

/// Each thing that can be wrong with a report, by the field, and why it is refused.
#[test]
fn what_is_absurd_is_refused_whole() {
    type Spoil = fn(&mut Report);
    let spoil: [(&str, Spoil); 12] = [
        ("span", |r| r.span_ms = 0),
        ("a zone without a name", |r| r.zone.clear()),
        ("a long name", |r| r.zones[0].zone = "h".repeat(MAX_NAME_BYTES + 1)),
        ("no number", |r| r.requested_units = f64::NAN),
        ("negative", |r| r.zones[0].seen.failed = -1.0),
        ("huge", |r| r.zones[0].servers = 1e13),
        ("more warm than there are", |r| r.zones[0].warm = 10.0),
        ("too many zones", |r| r.zones = vec![r.zones[0].clone(); MAX_ZONES + 1]),
        ("a zone twice", |r| r.zones.push(r.zones[0].clone())),
        ("levels that fall", |r| r.shares.points.reverse()),
        ("a sum that falls", |r| r.shares.points[1].1 = 1.0),
        ("too many points", |r| r.shares.points = (0..=MAX_POINTS).map(|i| (i as f64, 0.0)).collect()),
    ];
    assert_eq!(decode::<Report>(FLEET, &encode(FLEET, &report()).unwrap()), Ok(report()));
    for (what, spoil) in spoil {
        let mut spoilt = report();
        spoil(&mut spoilt);
        let bytes = encode(FLEET, &spoilt).unwrap();
        assert_eq!(decode::<Report>(FLEET, &bytes), Err(Refusal::Absurd), "{what}");
    }
}

#[test]
fn what_is_not_for_here_is_refused_by_its_head() {
    let bytes = encode(FLEET, &report()).unwrap();
    let spoilt = |at: usize, by: u8| {
        let mut bytes = bytes.clone();
        bytes[at] ^= by;
        decode::<Report>(FLEET, &bytes)
    };
    assert_eq!(spoilt(0, 1), Err(Refusal::Foreign));
    assert_eq!(spoilt(4, 2), Err(Refusal::Version));
    assert_eq!(spoilt(6, 1), Err(Refusal::Kind));
    assert_eq!(spoilt(7, 1), Err(Refusal::Fleet));
    assert_eq!(spoilt(18, 0x7f), Err(Refusal::TooLong));
    assert_eq!(spoilt(HEAD, 1), Err(Refusal::Damaged));
    assert_eq!(decode::<Report>(FLEET, &bytes[..bytes.len() - 1]), Err(Refusal::Truncated));
    assert_eq!(decode::<Decision<Level>>(FLEET, &bytes), Err(Refusal::Kind));
    let endless = Decision { valid_ms: u32::MAX, ..decision(1, 1, 1.0) };
    let bytes = encode(FLEET, &endless).unwrap();
    assert_eq!(decode::<Decision<Level>>(FLEET, &bytes), Err(Refusal::Absurd));
}

proptest! {
    #[test]
    fn no_bytes_bring_a_reader_down_and_no_flipped_bit_is_taken(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..2000, bit in 0u8..8,
    ) {
        let _ = decode::<Report>(FLEET, &bytes);
        let mut headed = encode(FLEET, &report()).unwrap()[..HEAD].to_vec();
        headed.extend(&bytes);
        prop_assert!(decode::<Report>(FLEET, &headed).is_err());
        let mut whole = encode(FLEET, &report()).unwrap();
        let at = at % whole.len();
        whole[at] ^= 1 << bit;
        prop_assert!(decode::<Report>(FLEET, &whole).is_err(), "byte {at} bit {bit}");
    }

    /// Whatever comes in whatever order, a reader's stamp never falls, and what it goes by is never older than its time.
    #[test]
    fn a_reader_never_goes_back(
        steps in proptest::collection::vec((1u64..5, 1u64..5, 0u64..3, 0u64..4000), 1..60),
    ) {
        let (mut reader, mut now) = (Reader::default(), Duration::ZERO);
        let (mut last, mut newest): (Option<Stamp>, Duration) = (None, Duration::ZERO);
        for (token, revision, level, later) in steps {
            let asked = now;
            now += Duration::from_millis(later);
            let read = decision(token, revision, level as f64);
            let taken = reader.take(asked, read.clone());
            prop_assert!(reader.stamp() >= last);
            prop_assert_eq!(taken == Taken::New, reader.stamp() > last);
            if taken != Taken::Late {
                newest = asked;
            }
            last = reader.stamp();
            match reader.standing(now) {
                Standing::Never => prop_assert!(false, "something was read"),
                Standing::Valid(held) => prop_assert!(now < newest + Duration::from_secs(3) && Some(held.stamp) == last),
                Standing::Lapsed(held, since) => {
                    prop_assert_eq!(now - since, newest + Duration::from_secs(3));
                    prop_assert_eq!(Some(held.stamp), last);
                }
            }
        }
    }
}

/// An answer that was asked for earlier and comes later shortens nothing.
#[test]
fn a_late_answer_does_not_shorten_a_renewal() {
    let mut reader = Reader::default();
    let second = Duration::from_secs;
    reader.take(second(1), decision(1, 1, 1.0));
    assert_eq!(reader.take(second(5), decision(1, 1, 1.0)), Taken::Renewed);
    assert_eq!(reader.take(second(2), decision(1, 1, 1.0)), Taken::Renewed);
    reader.renewed(second(3));
    assert_eq!(reader.until(), Some(second(8)));
    // One stamp has one decision.
    assert_eq!(reader.take(second(9), decision(1, 1, 2.0)), Taken::Late);
    assert_eq!(reader.until(), Some(second(8)));
}
