//! Jobs as transcripts, and the sum of waiting tokens under any history.

use marblecroft_batch_state::lease::Leases;
use marblecroft_batch_state::{BatchState, Item, ItemOutcome, NewJob, Operation, Output};
use marblecroft_chain_replication::StateMachine;
use marblecroft_rpc::Bytes;
use std::time::Duration;

fn job(id: &str, tokens: &[u64], most: u64) -> NewJob {
    let item = |(index, &tokens): (usize, &u64)| Item {
        id: format!("{id}-{index}"),
        path: "/p/".to_owned(),
        headers: Vec::new(),
        body: Bytes(vec![index as u8]),
        tokens,
    };
    NewJob {
        id: id.to_owned(),
        route: "r".to_owned(),
        host: "h".to_owned(),
        items: tokens.iter().enumerate().map(item).collect(),
        max_queued_tokens: most,
        accepted_at_ms: 1000,
        due_after_ms: 8000,
    }
}

fn record(job: &str, item: u32, text: &str) -> Operation {
    Operation::RecordResult { job: job.to_owned(), item, outcome: ItemOutcome::Completed(text.to_owned()) }
}

#[test]
fn a_transcript_of_two_jobs() {
    let mut batch = BatchState::default();
    let end = |job: &str| Operation::EndJob { job: job.to_owned() };
    let transcript = [
        (Operation::SubmitJob(job("a", &[40, 60], 150)), Output::Accepted, 100),
        (Operation::SubmitJob(job("a", &[40, 60], 150)), Output::Accepted, 100),
        (Operation::SubmitJob(job("b", &[60], 150)), Output::OverQuota, 100),
        (record("a", 1, "second"), Output::Applied, 40),
        (record("a", 1, "again"), Output::Applied, 40),
        (Operation::SubmitJob(job("b", &[60], 150)), Output::Accepted, 100),
        (end("b"), Output::Applied, 40),
        (end("b"), Output::Applied, 40),
        (record("b", 0, "late"), Output::Applied, 40),
        (record("a", 0, "first"), Output::Applied, 0),
        (record("c", 0, "none"), Output::UnknownJob, 0),
        (end("c"), Output::UnknownJob, 0),
    ];
    for (operation, expected, waiting) in transcript {
        assert_eq!(batch.apply(operation.clone()), expected, "{operation:?}");
        assert_eq!(batch.queued_tokens("r"), waiting, "{operation:?}");
    }
    let results = batch.job("a").expect("kept").results();
    let texts: Vec<_> = results.iter().map(|result| (result.item, result.outcome.clone())).collect();
    let completed = |text: &str| ItemOutcome::Completed(text.to_owned());
    assert_eq!(texts, [(1, completed("second")), (0, completed("first"))]);
    assert_eq!(BatchState::restore(&batch.snapshot()), Some(batch));
}

#[test]
fn the_sum_is_that_of_the_items_that_wait_and_never_above_the_limit() {
    arbtest::arbtest(|u| {
        let mut batch = BatchState::default();
        let most = 500;
        while !u.is_empty() {
            let name = u.choose(&["a", "b", "c", "d"])?;
            let operation = match u.int_in_range(0..=3)? {
                0 => Operation::SubmitJob(job(
                    name,
                    &[u.int_in_range(0..=200)?, u.int_in_range(0..=200)?],
                    most,
                )),
                1 | 2 => record(name, u.int_in_range(0..=2)?, "x"),
                _ => Operation::EndJob { job: (*name).to_owned() },
            };
            let before: Vec<_> = batch.jobs().map(|(id, job)| (id.clone(), job.results().to_vec())).collect();
            batch.apply(operation);
            for (id, results) in before {
                assert!(batch.job(&id).expect("kept").results().starts_with(&results), "a position changed");
            }
            let waits =
                batch.open_jobs().flat_map(|(_, job)| job.pending_items().map(move |i| job.pending_item(i)));
            let sum: u64 = waits.flatten().map(|item| item.tokens).sum();
            assert_eq!(batch.queued_tokens("r"), sum);
            assert!(sum <= most);
        }
        Ok(())
    })
    .budget_ms(700);
}

#[test]
fn an_item_is_one_gateways_until_its_lease_ends_or_it_is_not_told_any_more() {
    let mut batch = BatchState::default();
    batch.apply(Operation::SubmitJob(job("a", &[1, 1, 1], 0)));
    let (mut leases, term) = (Leases::default(), Duration::from_secs(1));
    let at = Duration::from_secs;
    let first = leases.grant(&batch, "x", 2, at(0), 1000, term);
    assert_eq!(first, [("a".to_owned(), 0), ("a".to_owned(), 1)]);
    assert_eq!(leases.grant(&batch, "y", 9, at(0), 1000, term), [("a".to_owned(), 2)]);
    assert_eq!(leases.renew(&batch, "y", first.clone(), at(0), term), first, "they are another's");
    assert!(leases.renew(&batch, "x", first[..1].to_vec(), at(0), term).is_empty());
    assert_eq!(leases.grant(&batch, "y", 9, at(0), 1000, term).len(), 2, "what x does not tell is free");
    batch.apply(record("a", 0, "done"));
    assert_eq!(leases.renew(&batch, "x", first[..1].to_vec(), at(0), term), first[..1]);
    assert_eq!(leases.grant(&batch, "z", 9, at(2), 1000, term).len(), 2, "leases have ended");
}

#[test]
fn a_job_that_cannot_be_done_in_time_as_items_run_lately_comes_after_those_that_can() {
    let mut batch = BatchState::default();
    let due = |id: &str, due_after_ms: u64| NewJob { due_after_ms, ..job(id, &[1, 1, 1, 1], 0) };
    batch.apply(Operation::SubmitJob(due("soon", 3000)));
    batch.apply(Operation::SubmitJob(due("later", 9000)));
    let taken_at_ms = batch.job("soon").expect("taken").accepted_at_ms;
    let (mut leases, term) = (Leases::default(), Duration::from_secs(60));
    let at = Duration::from_secs;
    let first = leases.grant(&batch, "x", 1, at(0), taken_at_ms, term);
    assert_eq!(first, [("soon".to_owned(), 0)], "the one that is due first");
    // Items take 5 s by now.
    for _ in 0..100 {
        let granted = leases.grant(&batch, "y", 1, at(0), taken_at_ms, term);
        granted.iter().for_each(|key| leases.finish(key, at(5)));
    }
    assert!((4.9..5.5).contains(&leases.run_time().as_secs_f64()), "{:?}", leases.run_time());
    let next = leases.grant(&batch, "y", 1, at(0), taken_at_ms, term);
    assert_eq!(next, [("later".to_owned(), 0)], "the first one would be late");
}
