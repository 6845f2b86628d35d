//! Records: what is written is read again; bytes of any kind are refused without a panic, and so is what no owner writes; the
//! table of the design, row by row; and any sequence of owners' steps keeps what is promised of one record.

use marblecroft_work_handoff::record::{
    Bad, Class, Ended, Record, Stage, MAX_ATTEMPTS, MAX_REQUEST_BYTES, VERSION,
};
use marblecroft_work_handoff::succeed::{read, step, Receipt, Situation, Step};
use marblecroft_work_handoff::work_log::{Entry, RecordKey, SHARDS};
use proptest::prelude::*;
use std::time::Duration;

fn record(class: Class, attempts: u8, stage: Stage) -> Record {
    let counted = attempts > 0;
    Record { class, customer: 7, digest: 9, request: vec![1, 2, 3], left_ms: 1000, attempts, counted, stage }
}

fn intent() -> Stage {
    Stage::Intent { server: "s".to_owned(), out_ms: 300 }
}

const FRESH: Situation =
    Situation { age: Duration::ZERO, receipts: false, owner_dead: false, overlap: false };

#[test]
fn the_table_holds_row_by_row() {
    let ms = Duration::from_millis;
    let (safe, never) = (Class::SafeToRepeat, Class::NeverTwice);
    let aged = |age| Situation { age: ms(age), ..FRESH };
    let receipts = Situation { receipts: true, ..FRESH };
    let given = || Step::End(Ended::GivenUp);
    for (row, record, of, expected) in [
        ("accepted, safe", record(safe, 0, Stage::Accepted), FRESH, Step::Send),
        ("accepted, unsafe", record(never, 0, Stage::Accepted), FRESH, Step::Send),
        ("accepted, its time over", record(never, 0, Stage::Accepted), aged(1000), given()),
        ("accepted, attempts used", record(safe, 4, Stage::Accepted), FRESH, given()),
        ("intent, receipts, safe", record(safe, 1, intent()), receipts, Step::Seal),
        ("intent, receipts, unsafe", record(never, 1, intent()), receipts, Step::Seal),
        ("intent, unsafe", record(never, 1, intent()), FRESH, Step::End(Ended::Unknown)),
        (
            "intent, unsafe, owner dead",
            record(never, 1, intent()),
            Situation { owner_dead: true, ..FRESH },
            Step::End(Ended::Unknown),
        ),
        (
            "intent, unsafe, overlap",
            record(never, 1, intent()),
            Situation { overlap: true, ..FRESH },
            Step::End(Ended::Unknown),
        ),
        ("intent, safe, still out", record(safe, 1, intent()), aged(100), Step::Wait(ms(200))),
        ("intent, safe, out no longer", record(safe, 1, intent()), aged(300), Step::Send),
        (
            "intent, safe, owner dead",
            record(safe, 1, intent()),
            Situation { owner_dead: true, ..FRESH },
            Step::Send,
        ),
        (
            "intent, safe, overlap",
            record(safe, 1, intent()),
            Situation { overlap: true, ..FRESH },
            Step::Send,
        ),
        ("intent, safe, attempts used", record(safe, 4, intent()), aged(300), given()),
        ("intent, safe, its time over", record(safe, 1, intent()), aged(1000), given()),
        ("outcome", record(never, 1, Stage::Outcome(Ended::Unknown)), aged(9999), Step::Give(Ended::Unknown)),
    ] {
        assert_eq!(step(&record, of), expected, "{row}");
    }
    // No time would be left once the old attempt is out no longer.
    let long = Record { left_ms: 200, ..record(safe, 1, intent()) };
    assert_eq!(step(&long, FRESH), given());
    let unsafe_one = record(never, 1, intent());
    assert_eq!(read(&unsafe_one, Receipt::Ran(vec![5]), ms(9999)), Step::End(Ended::Answered(vec![5])));
    assert_eq!(read(&unsafe_one, Receipt::Sealed, ms(10)), Step::Send);
    assert_eq!(read(&unsafe_one, Receipt::Sealed, ms(1000)), given());
    assert!(matches!(read(&unsafe_one, Receipt::Out, ms(10)), Step::Wait(_)));
    assert_eq!(read(&unsafe_one, Receipt::Out, ms(1000)), Step::End(Ended::Unknown));
}

#[test]
fn what_cannot_be_is_refused_by_name() {
    let good = record(Class::NeverTwice, 1, intent());
    let bytes = good.encode().expect("it fits");
    assert_eq!(Record::decode(&bytes), Ok(good.clone()));
    let mut other = bytes.clone();
    other[0] = VERSION + 1;
    assert_eq!(Record::decode(&other), Err(Bad::Version(VERSION + 1)));
    let mut spoilt = bytes.clone();
    *spoilt.last_mut().expect("some") ^= 1;
    assert_eq!(Record::decode(&spoilt), Err(Bad::Checksum));
    assert_eq!(Record::decode(&bytes[..3]), Err(Bad::Short));
    for (record, what) in [
        (Record { attempts: 0, ..good.clone() }, "intent without an attempt"),
        (Record { counted: false, ..good.clone() }, "intent without its unit"),
        (Record { attempts: MAX_ATTEMPTS + 1, ..good.clone() }, "number of attempts"),
        (Record { stage: Stage::Intent { server: String::new(), out_ms: 1 }, ..good.clone() }, "server"),
        (
            Record { attempts: 0, stage: Stage::Outcome(Ended::Unknown), ..good.clone() },
            "outcome of no attempt",
        ),
    ] {
        assert_eq!(record.encode(), Err(Bad::Impossible(what)));
    }
    let at_bound = Record { request: vec![0; MAX_REQUEST_BYTES], ..good.clone() };
    assert!(at_bound.encode().is_ok());
    assert_eq!(Record { request: vec![0; MAX_REQUEST_BYTES + 1], ..good }.encode(), Err(Bad::TooLarge));
}

proptest! {
    #[test]
    fn any_bytes_are_read_without_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..100), summed in any::<bool>()) {
        if summed && bytes.len() > 5 {
            bytes[0] = VERSION;
            let sum = crc32fast::hash(&bytes[5..]);
            bytes[1..5].copy_from_slice(&sum.to_le_bytes());
        }
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert!(record.attempts <= MAX_ATTEMPTS);
        }
    }

    /// Any steps of any owners: attempts only rise and end at four, a unit that is counted stays counted, an outcome is the last
    /// word, and every record on the way can be written and read.
    #[test]
    fn whatever_owners_do_a_record_keeps_its_order(steps in prop::collection::vec(0u8..4, 0..30), trace in "[a-z0-9]{1,16}") {
        let place = RecordKey { owner: "g".to_owned(), trace };
        prop_assert!(place.shard() < SHARDS && place.key().ends_with(&place.trace));
        let mut entry = Entry::accepted(place, record(Class::NeverTwice, 0, Stage::Accepted));
        for what in steps {
            let next = match what {
                0 | 1 => entry.intends("s", 500, 300),
                2 => entry.never_ran(400),
                _ => entry.ended(Ended::GivenUp),
            };
            let before = entry.record.clone();
            let over = matches!(before.stage, Stage::Outcome(_));
            let Some(next) = next else {
                prop_assert!(over || what == 2 && before.stage == Stage::Accepted || before.attempts == MAX_ATTEMPTS);
                continue;
            };
            prop_assert!(!over && next.record.attempts >= before.attempts && next.record.counted >= before.counted);
            prop_assert_eq!(Record::decode(&next.record.encode().expect("it fits")), Ok(next.record.clone()));
            entry = next.at(entry.revision + 1);
        }
    }
}
