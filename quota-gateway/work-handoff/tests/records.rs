//! Records: what is written is read again; bytes of any kind are refused without a panic, and so is what no owner writes; the
//! table of the design, row by row; and any sequence of owners' steps keeps what is promised of one record.

use marblecroft_work_handoff::record::{
    Record, RecordError, RequestClass, RequestOutcome, Stage, MAX_ATTEMPTS, MAX_REQUEST_BYTES, VERSION,
};
use marblecroft_work_handoff::takeover::{
    next_step, step_after_seal, Receipt, TakeoverContext, TakeoverStep,
};
use marblecroft_work_handoff::work_log::{Entry, RecordKey, SHARD_COUNT};
use proptest::prelude::*;
use std::time::Duration;

fn record(class: RequestClass, attempts: u8, stage: Stage) -> Record {
    let quota_charged = attempts > 0;
    Record {
        class,
        customer: 7,
        digest: 9,
        request: vec![1, 2, 3],
        remaining_ms: 1000,
        attempts,
        quota_charged,
        stage,
    }
}

fn intent() -> Stage {
    Stage::Intent { server: "s".to_owned(), max_attempt_ms: 300 }
}

const FRESH: TakeoverContext =
    TakeoverContext { age: Duration::ZERO, has_receipts: false, is_owner_dead: false, allows_overlap: false };

#[test]
fn the_table_holds_row_by_row() {
    let ms = Duration::from_millis;
    let (safe, never) = (RequestClass::Idempotent, RequestClass::NonIdempotent);
    let aged = |age| TakeoverContext { age: ms(age), ..FRESH };
    let receipts = TakeoverContext { has_receipts: true, ..FRESH };
    let given = || TakeoverStep::Finish(RequestOutcome::Abandoned);
    for (row, record, of, expected) in [
        ("accepted, safe", record(safe, 0, Stage::Accepted), FRESH, TakeoverStep::Send),
        ("accepted, unsafe", record(never, 0, Stage::Accepted), FRESH, TakeoverStep::Send),
        ("accepted, its time over", record(never, 0, Stage::Accepted), aged(1000), given()),
        ("accepted, attempts used", record(safe, 4, Stage::Accepted), FRESH, given()),
        ("intent, receipts, safe", record(safe, 1, intent()), receipts, TakeoverStep::Seal),
        ("intent, receipts, unsafe", record(never, 1, intent()), receipts, TakeoverStep::Seal),
        ("intent, unsafe", record(never, 1, intent()), FRESH, TakeoverStep::Finish(RequestOutcome::Unknown)),
        (
            "intent, unsafe, owner dead",
            record(never, 1, intent()),
            TakeoverContext { is_owner_dead: true, ..FRESH },
            TakeoverStep::Finish(RequestOutcome::Unknown),
        ),
        (
            "intent, unsafe, overlap",
            record(never, 1, intent()),
            TakeoverContext { allows_overlap: true, ..FRESH },
            TakeoverStep::Finish(RequestOutcome::Unknown),
        ),
        ("intent, safe, still out", record(safe, 1, intent()), aged(100), TakeoverStep::Wait(ms(200))),
        ("intent, safe, out no longer", record(safe, 1, intent()), aged(300), TakeoverStep::Send),
        (
            "intent, safe, owner dead",
            record(safe, 1, intent()),
            TakeoverContext { is_owner_dead: true, ..FRESH },
            TakeoverStep::Send,
        ),
        (
            "intent, safe, overlap",
            record(safe, 1, intent()),
            TakeoverContext { allows_overlap: true, ..FRESH },
            TakeoverStep::Send,
        ),
        ("intent, safe, attempts used", record(safe, 4, intent()), aged(300), given()),
        ("intent, safe, its time over", record(safe, 1, intent()), aged(1000), given()),
        (
            "outcome",
            record(never, 1, Stage::Outcome(RequestOutcome::Unknown)),
            aged(9999),
            TakeoverStep::Report(RequestOutcome::Unknown),
        ),
    ] {
        assert_eq!(next_step(&record, of), expected, "{row}");
    }
    // No time would be left once the old attempt is out no longer.
    let long = Record { remaining_ms: 200, ..record(safe, 1, intent()) };
    assert_eq!(next_step(&long, FRESH), given());
    let unsafe_one = record(never, 1, intent());
    assert_eq!(
        step_after_seal(&unsafe_one, Receipt::Executed(vec![5]), ms(9999)),
        TakeoverStep::Finish(RequestOutcome::Completed(vec![5]))
    );
    assert_eq!(step_after_seal(&unsafe_one, Receipt::Sealed, ms(10)), TakeoverStep::Send);
    assert_eq!(step_after_seal(&unsafe_one, Receipt::Sealed, ms(1000)), given());
    assert!(matches!(step_after_seal(&unsafe_one, Receipt::Running, ms(10)), TakeoverStep::Wait(_)));
    assert_eq!(
        step_after_seal(&unsafe_one, Receipt::Running, ms(1000)),
        TakeoverStep::Finish(RequestOutcome::Unknown)
    );
}

#[test]
fn what_cannot_be_is_refused_by_name() {
    let good = record(RequestClass::NonIdempotent, 1, intent());
    let bytes = good.encode().expect("it fits");
    assert_eq!(Record::decode(&bytes), Ok(good.clone()));
    let mut other = bytes.clone();
    other[0] = VERSION + 1;
    assert_eq!(Record::decode(&other), Err(RecordError::UnsupportedVersion(VERSION + 1)));
    let mut spoilt = bytes.clone();
    *spoilt.last_mut().expect("some") ^= 1;
    assert_eq!(Record::decode(&spoilt), Err(RecordError::ChecksumMismatch));
    assert_eq!(Record::decode(&bytes[..3]), Err(RecordError::Truncated));
    for (record, error, what) in [
        (
            Record { attempts: 0, ..good.clone() },
            RecordError::IntentWithoutAttempt,
            "intent without an attempt",
        ),
        (
            Record { quota_charged: false, ..good.clone() },
            RecordError::IntentWithoutCharge,
            "intent without its unit",
        ),
        (
            Record { attempts: MAX_ATTEMPTS + 1, ..good.clone() },
            RecordError::TooManyAttempts,
            "number of attempts",
        ),
        (
            Record { stage: Stage::Intent { server: String::new(), max_attempt_ms: 1 }, ..good.clone() },
            RecordError::InvalidServer,
            "server",
        ),
        (
            Record { attempts: 0, stage: Stage::Outcome(RequestOutcome::Unknown), ..good.clone() },
            RecordError::OutcomeWithoutAttempt,
            "outcome of no attempt",
        ),
    ] {
        assert_eq!(error.to_string(), format!("a record with an impossible {what}"));
        assert_eq!(record.encode(), Err(error));
    }
    let at_bound = Record { request: vec![0; MAX_REQUEST_BYTES], ..good.clone() };
    assert!(at_bound.encode().is_ok());
    assert_eq!(
        Record { request: vec![0; MAX_REQUEST_BYTES + 1], ..good }.encode(),
        Err(RecordError::TooLarge)
    );
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

    /// Any steps of any owners: attempts only rise and end at four, a unit that is charged stays charged, an outcome is the last
    /// word, and every record on the way can be written and read.
    #[test]
    fn whatever_owners_do_a_record_keeps_its_order(steps in prop::collection::vec(0u8..4, 0..30), trace in "[a-z0-9]{1,16}") {
        let place = RecordKey { owner: "g".to_owned(), trace };
        prop_assert!(place.shard() < SHARD_COUNT && place.key().ends_with(&place.trace));
        let mut entry = Entry::accepted(place, record(RequestClass::NonIdempotent, 0, Stage::Accepted));
        for what in steps {
            let next = match what {
                0 | 1 => entry.with_intent("s", 500, 300),
                2 => entry.with_attempt_rejected(400),
                _ => entry.with_outcome(RequestOutcome::Abandoned),
            };
            let before = entry.record.clone();
            let over = matches!(before.stage, Stage::Outcome(_));
            let Some(next) = next else {
                prop_assert!(over || what == 2 && before.stage == Stage::Accepted || before.attempts == MAX_ATTEMPTS);
                continue;
            };
            prop_assert!(!over && next.record.attempts >= before.attempts && next.record.quota_charged >= before.quota_charged);
            prop_assert_eq!(Record::decode(&next.record.encode().expect("it fits")), Ok(next.record.clone()));
            entry = next.at_revision(entry.revision + 1);
        }
    }
}
