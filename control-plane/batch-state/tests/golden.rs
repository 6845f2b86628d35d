//! The encodings of operations and state and the outputs of operations are stable. Each value is encoded and
//! compared with the fixture, which is also decoded and encoded again. A state that was stored by an earlier
//! release can be restored. Leases are volatile and never encoded.

#[path = "../../../testing/support/golden/encoding.rs"]
mod encoding;

use encoding::{check, decode_hex};
use marblecroft_batch_state::{BatchState, Item, ItemOutcome, ItemResult, NewJob, Operation, Output};
use marblecroft_chain_replication::StateMachine;
use marblecroft_rpc::Bytes;

fn item(id: &str, tokens: u64) -> Item {
    Item {
        id: id.to_owned(),
        path: format!("/batch/{id}"),
        headers: vec![("x-token-usage".to_owned(), "30,12".to_owned()), ("b".to_owned(), "c".to_owned())],
        body: Bytes(format!("{{\"prompt\":\"{id}\"}}").into_bytes()),
        tokens,
    }
}

fn job(id: &str, route: &str, items: Vec<Item>, accepted_at_ms: u64) -> NewJob {
    let host = format!("{route}.example");
    let (id, route) = (id.to_owned(), route.to_owned());
    NewJob { id, route, host, items, max_queued_tokens: 1000, accepted_at_ms, due_after_ms: 8000 }
}

fn partly_completed() -> NewJob {
    let items = vec![item("first", 100), item("second", 230), item("third", 310)];
    job("job-1", "nightly", items, 1_700_000_000_123)
}

fn record(job: &str, item: u32, outcome: ItemOutcome) -> Operation {
    Operation::RecordResult { job: job.to_owned(), item, outcome }
}

fn operations() -> [(&'static str, Operation); 9] {
    let ended = job("job-2", "hourly", vec![item("fourth", 40), item("fifth", 50)], 1_700_000_001_456);
    let completed = job("job-0", "nightly", vec![item("sixth", 7)], 1_600_000_000_000);
    [
        ("submit_done", Operation::SubmitJob(completed)),
        ("submit_half_done", Operation::SubmitJob(partly_completed())),
        ("submit_ended", Operation::SubmitJob(ended)),
        ("record_all", record("job-0", 0, ItemOutcome::Completed("sixth's".to_owned()))),
        ("record", record("job-1", 2, ItemOutcome::Completed("{\"a\":1}\n[DONE]".to_owned()))),
        ("dead_letter", record("job-1", 0, ItemOutcome::DeadLettered)),
        ("record_of_none", record("job-9", 4, ItemOutcome::DeadLettered)),
        ("end", Operation::EndJob { job: "job-2".to_owned() }),
        ("forget", Operation::ExpireJobs { accepted_before_ms: 1_650_000_000_000 }),
    ]
}

#[test]
fn operations_on_the_batch_state_keep_their_bytes() {
    check(include_str!("golden/operations.hex"), &operations());
}

#[test]
fn outcomes_and_results_keep_their_bytes() {
    let outcomes =
        [("completed", ItemOutcome::Completed("text".to_owned())), ("dead", ItemOutcome::DeadLettered)];
    check(include_str!("golden/outcomes.hex"), &outcomes);
    let result = ItemResult { item: 6, outcome: ItemOutcome::DeadLettered };
    check(include_str!("golden/results.hex"), &[("result", result)]);
    check(include_str!("golden/jobs.hex"), &[("job", partly_completed())]);
    check(include_str!("golden/items.hex"), &[("item", item("seventh", 77))]);
}

#[test]
fn the_state_with_a_partly_completed_job_keeps_its_bytes() {
    let mut batch = BatchState::default();
    let outputs = operations().map(|(_, operation)| batch.apply(operation));
    let mut expected = [const { Output::Applied }; 9];
    expected[..3].fill(Output::Accepted);
    expected[6] = Output::UnknownJob;
    assert_eq!(outputs, expected);
    check(include_str!("golden/state.hex"), &[("state", batch), ("none", BatchState::default())]);
}

#[test]
fn a_stored_batch_state_is_restored_and_usable() {
    let line = include_str!("golden/state.hex").lines().next().expect("the fixture has a line");
    let bytes = decode_hex(line.split(' ').nth(1).expect("the line has a value"));
    let mut batch = BatchState::restore(&bytes).expect("a valid snapshot");
    assert_eq!(batch.snapshot(), bytes);
    assert_eq!((batch.queued_tokens("nightly"), batch.queued_tokens("hourly")), (230, 0));
    assert!(batch.job("job-0").is_none());
    let stored = batch.job("job-1").expect("the job is stored");
    assert_eq!((stored.route.as_str(), stored.host.as_str()), ("nightly", "nightly.example"));
    assert_eq!((stored.sequence, stored.accepted_at_ms, stored.due_after_ms), (2, 1_700_000_000_123, 8000));
    assert_eq!((stored.total(), stored.is_open(), stored.is_ended()), (3, true, false));
    let results = [
        ItemResult { item: 2, outcome: ItemOutcome::Completed("{\"a\":1}\n[DONE]".to_owned()) },
        ItemResult { item: 0, outcome: ItemOutcome::DeadLettered },
    ];
    assert_eq!(stored.results(), results);
    assert_eq!(stored.pending_items().collect::<Vec<_>>(), [1]);
    assert_eq!(stored.pending_item(1), Some(&item("second", 230)));
    assert!(batch.job("job-2").is_some_and(|job| job.is_ended() && !job.is_open()));
    let mut other = partly_completed();
    other.items[1].tokens += 1;
    let large = job("job-3", "nightly", vec![item("eighth", 771)], 1_700_000_002_000);
    let cases = [
        // A resubmission is recognized by its digest, which does not depend on the order of headers.
        (Operation::SubmitJob(partly_completed()), Output::Accepted),
        (Operation::SubmitJob(other), Output::Conflict),
        (Operation::SubmitJob(large), Output::OverQuota),
        (record("job-1", 1, ItemOutcome::Completed("last".to_owned())), Output::Applied),
    ];
    for (operation, expected) in cases {
        assert_eq!(batch.apply(operation.clone()), expected, "{operation:?}");
    }
    assert_eq!(batch.queued_tokens("nightly"), 0);
    assert!(batch.job("job-1").is_some_and(|job| !job.is_open()));
}
