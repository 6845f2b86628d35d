//! Recorded bytes of the ledger's records.
//!
//! The fixtures were written by one run of the code of the day on which they were recorded. Each test encodes fixed values
//! and compares with the fixture, decodes the fixture, and encodes what was decoded to the same bytes. A type or field that
//! is renamed in the program is renamed in the construction code here; the fixtures stay.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, same_bytes};
use marblecroft_work_handoff::record::{Class, Ended, Record, Stage};
use marblecroft_work_handoff::work_log::RecordKey;

fn record(class: Class, number: u8, stage: Stage) -> Record {
    Record {
        class,
        customer: 0x0102_0304_0506_0700 + u64::from(number),
        digest: 0xa1b2_c300 + u32::from(number),
        request: format!("POST /pay/{number} HTTP/1.1\r\n\r\nbody").into_bytes(),
        left_ms: 30_000 + u32::from(number),
        attempts: number,
        counted: number > 0,
        stage,
    }
}

/// Each stage and each end, and what its fixture is called.
fn records() -> Vec<(&'static str, Record)> {
    let intent = Stage::Intent { server: "server-5".to_owned(), out_ms: 1234 };
    let answered = Ended::Answered(b"HTTP/1.1 200 OK\r\n\r\npaid".to_vec());
    vec![
        ("accepted.hex", record(Class::SafeToRepeat, 0, Stage::Accepted)),
        ("intent.hex", record(Class::NeverTwice, 1, intent)),
        ("answered.hex", record(Class::SafeToRepeat, 2, Stage::Outcome(answered))),
        ("given-up.hex", record(Class::NeverTwice, 3, Stage::Outcome(Ended::GivenUp))),
        ("unknown.hex", record(Class::NeverTwice, 4, Stage::Outcome(Ended::Unknown))),
    ]
}

#[test]
fn records_keep_their_bytes() {
    for (fixture, record) in records() {
        same_bytes(fixture, &record.encode().expect("it fits"));
        let read = Record::decode(&bytes(fixture)).unwrap_or_else(|e| panic!("{fixture}: {e}"));
        assert_eq!(read, record, "{fixture}");
        same_bytes(fixture, &read.encode().expect("it fits"));
    }
}

/// Another shard or key, and a successor would not find what was written before.
#[test]
fn records_keep_their_place() {
    let place = RecordKey { owner: "gateway-3".to_owned(), trace: "4bf92f3577b34da6".to_owned() };
    golden::same_text("place.txt", &format!("{} {}", place.shard(), place.key()));
}
