//! Golden tests of the encoding of records.
//!
//! The fixtures were recorded by one run of an earlier version of the code. Each test encodes fixed values
//! and compares them with the fixture, decodes the fixture, and checks that the decoded value is encoded to
//! the same bytes. If a type or field is renamed, only the code that constructs the values here changes; the
//! fixtures do not.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, same_bytes};
use marblecroft_work_handoff::record::{Record, RequestClass, RequestOutcome, Stage};
use marblecroft_work_handoff::work_log::RecordKey;

fn record(class: RequestClass, number: u8, stage: Stage) -> Record {
    Record {
        class,
        customer: 0x0102_0304_0506_0700 + u64::from(number),
        digest: 0xa1b2_c300 + u32::from(number),
        request: format!("POST /pay/{number} HTTP/1.1\r\n\r\nbody").into_bytes(),
        remaining_ms: 30_000 + u32::from(number),
        attempts: number,
        quota_charged: number > 0,
        stage,
    }
}

/// Returns a record of each stage and outcome, with the name of its fixture.
fn records() -> Vec<(&'static str, Record)> {
    let intent = Stage::Intent { server: "server-5".to_owned(), max_attempt_ms: 1234 };
    let completed = RequestOutcome::Completed(b"HTTP/1.1 200 OK\r\n\r\npaid".to_vec());
    vec![
        ("accepted.hex", record(RequestClass::Idempotent, 0, Stage::Accepted)),
        ("intent.hex", record(RequestClass::NonIdempotent, 1, intent)),
        ("answered.hex", record(RequestClass::Idempotent, 2, Stage::Outcome(completed))),
        ("given-up.hex", record(RequestClass::NonIdempotent, 3, Stage::Outcome(RequestOutcome::Abandoned))),
        ("unknown.hex", record(RequestClass::NonIdempotent, 4, Stage::Outcome(RequestOutcome::Unknown))),
    ]
}

#[test]
fn records_have_a_stable_encoding() {
    for (fixture, record) in records() {
        same_bytes(fixture, &record.encode().expect("it fits"));
        let read = Record::decode(&bytes(fixture)).unwrap_or_else(|e| panic!("{fixture}: {e}"));
        assert_eq!(read, record, "{fixture}");
        same_bytes(fixture, &read.encode().expect("it fits"));
    }
}

/// If the shard or key of a record changed, a successor would not find records that another version has
/// written.
#[test]
fn records_have_stable_shards_and_keys() {
    let record_key = RecordKey { owner: "gateway-3".to_owned(), trace: "4bf92f3577b34da6".to_owned() };
    golden::same_text("place.txt", &format!("{} {}", record_key.shard(), record_key.key()));
}
