//! Store replies map to HTTP statuses, and only submissions that were not executed are rejected
//! with `Retry-After`.

use super::{max_queued_tokens, submission_reply};
use crate::stores::CallOutcome;
use hyper::header::RETRY_AFTER;
use marblecroft_protocol::store::StoreReply;

fn reply(outcome: CallOutcome) -> (u16, Option<String>) {
    let response = submission_reply(outcome);
    let retry_after = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    (response.status().as_u16(), retry_after.map(str::to_owned))
}

#[test]
fn a_submission_is_rejected_only_if_it_was_not_executed() {
    let stores = |reply| CallOutcome::Reply(Box::new(reply));
    assert_eq!(reply(stores(StoreReply::Accepted)), (202, None));
    assert_eq!(reply(stores(StoreReply::OverQuota)), (429, Some("0.7".to_owned())));
    assert_eq!(reply(stores(StoreReply::Conflict)), (409, None));
    assert_eq!(reply(stores(StoreReply::OutcomeUnknown)), (504, None));
    assert_eq!(reply(CallOutcome::NotExecuted), (503, Some("0.3".to_owned())));
    assert_eq!(reply(CallOutcome::MayHaveExecuted), (504, None));
}

#[test]
fn the_queue_limit_with_overage_is_rounded_down_to_whole_tokens() {
    assert_eq!(max_queued_tokens(1000, 0.0), 1000);
    assert_eq!(max_queued_tokens(15, 0.1), 16);
    assert_eq!(max_queued_tokens(u64::MAX, 1.0), u64::MAX);
}
