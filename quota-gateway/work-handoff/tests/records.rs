//! Tests of records and of the steps of a successor. A decoded record equals the encoded one, invalid bytes
//! and states are rejected without a panic, each case of [`next_step`] is covered, and any sequence of
//! updates keeps a record's invariants.

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

const DEFAULT_CONTEXT: TakeoverContext = TakeoverContext {
    age: Duration::ZERO,
    has_receipts: false,
    is_owner_terminated: false,
    allows_overlap: false,
};

#[test]
fn each_state_of_a_record_leads_to_the_expected_step() {
    let ms = Duration::from_millis;
    let (idempotent_class, non_idempotent_class) = (RequestClass::Idempotent, RequestClass::NonIdempotent);
    let aged = |age| TakeoverContext { age: ms(age), ..DEFAULT_CONTEXT };
    let with_receipts = TakeoverContext { has_receipts: true, ..DEFAULT_CONTEXT };
    let abandoned = || TakeoverStep::Finish(RequestOutcome::Abandoned);
    for (case, record, context, expected) in [
        (
            "accepted, idempotent",
            record(idempotent_class, 0, Stage::Accepted),
            DEFAULT_CONTEXT,
            TakeoverStep::Send,
        ),
        (
            "accepted, non-idempotent",
            record(non_idempotent_class, 0, Stage::Accepted),
            DEFAULT_CONTEXT,
            TakeoverStep::Send,
        ),
        (
            "accepted, deadline exceeded",
            record(non_idempotent_class, 0, Stage::Accepted),
            aged(1000),
            abandoned(),
        ),
        (
            "accepted, no attempts left",
            record(idempotent_class, 4, Stage::Accepted),
            DEFAULT_CONTEXT,
            abandoned(),
        ),
        (
            "intent, receipts, idempotent",
            record(idempotent_class, 1, intent()),
            with_receipts,
            TakeoverStep::Seal,
        ),
        (
            "intent, receipts, non-idempotent",
            record(non_idempotent_class, 1, intent()),
            with_receipts,
            TakeoverStep::Seal,
        ),
        (
            "intent, non-idempotent",
            record(non_idempotent_class, 1, intent()),
            DEFAULT_CONTEXT,
            TakeoverStep::Finish(RequestOutcome::Unknown),
        ),
        (
            "intent, non-idempotent, owner terminated",
            record(non_idempotent_class, 1, intent()),
            TakeoverContext { is_owner_terminated: true, ..DEFAULT_CONTEXT },
            TakeoverStep::Finish(RequestOutcome::Unknown),
        ),
        (
            "intent, non-idempotent, overlap",
            record(non_idempotent_class, 1, intent()),
            TakeoverContext { allows_overlap: true, ..DEFAULT_CONTEXT },
            TakeoverStep::Finish(RequestOutcome::Unknown),
        ),
        (
            "intent, idempotent, still in flight",
            record(idempotent_class, 1, intent()),
            aged(100),
            TakeoverStep::Wait(ms(200)),
        ),
        (
            "intent, idempotent, no longer in flight",
            record(idempotent_class, 1, intent()),
            aged(300),
            TakeoverStep::Send,
        ),
        (
            "intent, idempotent, owner terminated",
            record(idempotent_class, 1, intent()),
            TakeoverContext { is_owner_terminated: true, ..DEFAULT_CONTEXT },
            TakeoverStep::Send,
        ),
        (
            "intent, idempotent, overlap",
            record(idempotent_class, 1, intent()),
            TakeoverContext { allows_overlap: true, ..DEFAULT_CONTEXT },
            TakeoverStep::Send,
        ),
        (
            "intent, idempotent, no attempts left",
            record(idempotent_class, 4, intent()),
            aged(300),
            abandoned(),
        ),
        (
            "intent, idempotent, deadline exceeded",
            record(idempotent_class, 1, intent()),
            aged(1000),
            abandoned(),
        ),
        (
            "outcome",
            record(non_idempotent_class, 1, Stage::Outcome(RequestOutcome::Unknown)),
            aged(9999),
            TakeoverStep::Report(RequestOutcome::Unknown),
        ),
    ] {
        assert_eq!(next_step(&record, context), expected, "{case}");
    }
    // No time would remain after the old attempt.
    let short_deadline = Record { remaining_ms: 200, ..record(idempotent_class, 1, intent()) };
    assert_eq!(next_step(&short_deadline, DEFAULT_CONTEXT), abandoned());
    let non_idempotent = record(non_idempotent_class, 1, intent());
    assert_eq!(
        step_after_seal(&non_idempotent, Receipt::Executed(vec![5]), ms(9999)),
        TakeoverStep::Finish(RequestOutcome::Completed(vec![5]))
    );
    assert_eq!(step_after_seal(&non_idempotent, Receipt::Sealed, ms(10)), TakeoverStep::Send);
    assert_eq!(step_after_seal(&non_idempotent, Receipt::Sealed, ms(1000)), abandoned());
    assert!(matches!(step_after_seal(&non_idempotent, Receipt::Running, ms(10)), TakeoverStep::Wait(_)));
    assert_eq!(
        step_after_seal(&non_idempotent, Receipt::Running, ms(1000)),
        TakeoverStep::Finish(RequestOutcome::Unknown)
    );
}

#[test]
fn invalid_records_are_rejected_with_their_reason() {
    let valid = record(RequestClass::NonIdempotent, 1, intent());
    let bytes = valid.encode().expect("it fits");
    assert_eq!(Record::decode(&bytes), Ok(valid.clone()));
    let mut other_version = bytes.clone();
    other_version[0] = VERSION + 1;
    assert_eq!(Record::decode(&other_version), Err(RecordError::UnsupportedVersion(VERSION + 1)));
    let mut corrupt = bytes.clone();
    *corrupt.last_mut().expect("some") ^= 1;
    assert_eq!(Record::decode(&corrupt), Err(RecordError::ChecksumMismatch));
    assert_eq!(Record::decode(&bytes[..3]), Err(RecordError::Truncated));
    for (record, error, reason) in [
        (
            Record { attempts: 0, ..valid.clone() },
            RecordError::IntentWithoutAttempt,
            "intent without an attempt",
        ),
        (
            Record { quota_charged: false, ..valid.clone() },
            RecordError::IntentWithoutCharge,
            "intent without a quota charge",
        ),
        (
            Record { attempts: MAX_ATTEMPTS + 1, ..valid.clone() },
            RecordError::TooManyAttempts,
            "more than 4 attempts",
        ),
        (
            Record { stage: Stage::Intent { server: String::new(), max_attempt_ms: 1 }, ..valid.clone() },
            RecordError::InvalidServer,
            "server name empty or longer than 256 bytes",
        ),
        (
            Record { attempts: 0, stage: Stage::Outcome(RequestOutcome::Unknown), ..valid.clone() },
            RecordError::OutcomeWithoutAttempt,
            "outcome without an attempt",
        ),
    ] {
        assert_eq!(error.to_string(), format!("invalid record: {reason}"));
        assert_eq!(record.encode(), Err(error));
    }
    let at_bound = Record { request: vec![0; MAX_REQUEST_BYTES], ..valid.clone() };
    assert!(at_bound.encode().is_ok());
    assert_eq!(
        Record { request: vec![0; MAX_REQUEST_BYTES + 1], ..valid }.encode(),
        Err(RecordError::TooLarge)
    );
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_without_a_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..100), has_checksum in any::<bool>(),
    ) {
        if has_checksum && bytes.len() > 5 {
            bytes[0] = VERSION;
            let checksum = crc32fast::hash(&bytes[5..]);
            bytes[1..5].copy_from_slice(&checksum.to_le_bytes());
        }
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert!(record.attempts <= MAX_ATTEMPTS);
        }
    }

    /// For any sequence of updates by any owners, the number of attempts only increases, to at most 4, a
    /// charge is never reverted, a record with an outcome does not change, and every intermediate record can
    /// be encoded and decoded.
    #[test]
    fn any_sequence_of_updates_keeps_the_invariants_of_a_record(
        updates in prop::collection::vec(0u8..4, 0..30), trace in "[a-z0-9]{1,16}",
    ) {
        let record_key = RecordKey { owner: "g".to_owned(), trace };
        prop_assert!(record_key.shard() < SHARD_COUNT && record_key.key().ends_with(&record_key.trace));
        let mut entry = Entry::accepted(record_key, record(RequestClass::NonIdempotent, 0, Stage::Accepted));
        for update in updates {
            let next = match update {
                0 | 1 => entry.with_intent("s", 500, 300),
                2 => entry.with_attempt_rejected(400),
                _ => entry.with_outcome(RequestOutcome::Abandoned),
            };
            let before = entry.record.clone();
            let has_ended = matches!(before.stage, Stage::Outcome(_));
            let Some(next) = next else {
                prop_assert!(
                    has_ended
                        || update == 2 && before.stage == Stage::Accepted
                        || before.attempts == MAX_ATTEMPTS
                );
                continue;
            };
            prop_assert!(
                !has_ended
                    && next.record.attempts >= before.attempts
                    && next.record.quota_charged >= before.quota_charged
            );
            prop_assert_eq!(Record::decode(&next.record.encode().expect("it fits")), Ok(next.record.clone()));
            entry = next.at_revision(entry.revision + 1);
        }
    }
}
