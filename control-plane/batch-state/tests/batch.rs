//! Outputs of operations on jobs, the sum of queued tokens under any history of operations, and the granting
//! of leases.

use marblecroft_batch_state::lease::{LeaseTerms, Leases};
use marblecroft_batch_state::{BatchState, Item, ItemId, ItemOutcome, NewJob, Operation, Output};
use marblecroft_chain_replication::StateMachine;
use marblecroft_rpc::Bytes;
use std::time::Duration;

fn job(id: &str, tokens: &[u64], max_queued_tokens: u64) -> NewJob {
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
        max_queued_tokens,
        accepted_at_ms: 1000,
        due_after_ms: 8000,
    }
}

fn record(job: &str, item: u32, text: &str) -> Operation {
    Operation::RecordResult { job: job.to_owned(), item, outcome: ItemOutcome::Completed(text.to_owned()) }
}

#[test]
fn duplicate_operations_change_nothing_and_quotas_are_enforced() {
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
    for (operation, expected, queued_tokens) in transcript {
        assert_eq!(batch.apply(operation.clone()), expected, "{operation:?}");
        assert_eq!(batch.queued_tokens("r"), queued_tokens, "{operation:?}");
    }
    let results = batch.job("a").expect("the job is stored").results();
    let texts: Vec<_> = results.iter().map(|result| (result.item, result.outcome.clone())).collect();
    let completed = |text: &str| ItemOutcome::Completed(text.to_owned());
    assert_eq!(texts, [(1, completed("second")), (0, completed("first"))]);
    assert_eq!(BatchState::restore(&batch.snapshot()), Some(batch));
}

#[test]
fn queued_tokens_are_the_sum_over_pending_items_and_never_exceed_the_limit() {
    arbtest::arbtest(|u| {
        let mut batch = BatchState::default();
        let max_queued_tokens = 500;
        while !u.is_empty() {
            let job_id = u.choose(&["a", "b", "c", "d"])?;
            let operation = match u.int_in_range(0..=3)? {
                0 => Operation::SubmitJob(job(
                    job_id,
                    &[u.int_in_range(0..=200)?, u.int_in_range(0..=200)?],
                    max_queued_tokens,
                )),
                1 | 2 => record(job_id, u.int_in_range(0..=2)?, "x"),
                _ => Operation::EndJob { job: (*job_id).to_owned() },
            };
            let before: Vec<_> = batch.jobs().map(|(id, job)| (id.clone(), job.results().to_vec())).collect();
            batch.apply(operation);
            for (id, results) in before {
                assert!(
                    batch.job(&id).expect("the job is stored").results().starts_with(&results),
                    "a recorded result has changed"
                );
            }
            let pending =
                batch.open_jobs().flat_map(|(_, job)| job.pending_items().map(move |i| job.pending_item(i)));
            let sum: u64 = pending.flatten().map(|item| item.tokens).sum();
            assert_eq!(batch.queued_tokens("r"), sum);
            assert!(sum <= max_queued_tokens);
        }
        Ok(())
    })
    .budget_ms(700);
}

fn id(job: &str, item: u32) -> ItemId {
    ItemId { job: job.to_owned(), item }
}

fn terms(gateway: &str, now_s: u64, duration: Duration) -> LeaseTerms<'_> {
    LeaseTerms { gateway, now: Duration::from_secs(now_s), duration }
}

#[test]
fn an_item_is_leased_to_one_gateway_until_the_lease_expires_or_is_not_reported() {
    let mut batch = BatchState::default();
    batch.apply(Operation::SubmitJob(job("a", &[1, 1, 1], 0)));
    let mut leases = Leases::default();
    let terms = |gateway, now_s| terms(gateway, now_s, Duration::from_secs(1));
    let first = leases.grant(&terms("x", 0), &batch, 2, 1000);
    assert_eq!(first, [id("a", 0), id("a", 1)]);
    assert_eq!(leases.grant(&terms("y", 0), &batch, 9, 1000), [id("a", 2)]);
    assert_eq!(leases.renew(&terms("y", 0), &batch, first.clone()), first, "the items are leased to x");
    assert!(leases.renew(&terms("x", 0), &batch, first[..1].to_vec()).is_empty());
    assert_eq!(
        leases.grant(&terms("y", 0), &batch, 9, 1000).len(),
        2,
        "items that x and y do not report are released"
    );
    batch.apply(record("a", 0, "done"));
    assert_eq!(leases.renew(&terms("x", 0), &batch, first[..1].to_vec()), first[..1]);
    assert_eq!(leases.grant(&terms("z", 2), &batch, 9, 1000).len(), 2, "the leases have expired");
}

#[test]
fn a_job_that_cannot_meet_its_deadline_is_granted_after_those_that_can() {
    let mut batch = BatchState::default();
    let due = |id: &str, due_after_ms: u64| NewJob { due_after_ms, ..job(id, &[1, 1, 1, 1], 0) };
    batch.apply(Operation::SubmitJob(due("soon", 3000)));
    batch.apply(Operation::SubmitJob(due("later", 9000)));
    let accepted_at_ms = batch.job("soon").expect("the job is stored").accepted_at_ms;
    let mut leases = Leases::default();
    let terms = |gateway| terms(gateway, 0, Duration::from_secs(60));
    let first = leases.grant(&terms("x"), &batch, 1, accepted_at_ms);
    assert_eq!(first, [id("soon", 0)], "the earliest deadline");
    // The estimate converges towards the run times of 5 s.
    for _ in 0..100 {
        let granted = leases.grant(&terms("y"), &batch, 1, accepted_at_ms);
        granted.iter().for_each(|id| leases.finish(id, Duration::from_secs(5)));
    }
    assert!((4.9..5.5).contains(&leases.run_time().as_secs_f64()), "{:?}", leases.run_time());
    let next = leases.grant(&terms("y"), &batch, 1, accepted_at_ms);
    assert_eq!(next, [id("later", 0)], "the first job would miss its deadline");
}
