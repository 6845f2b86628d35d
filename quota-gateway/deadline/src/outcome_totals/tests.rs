use super::*;
use std::time::Duration;

#[test]
fn what_became_of_budgets_is_told_by_class_stage_and_end() {
    let at = |millis: u64| Time(millis * 1_000_000);
    let ms = Duration::from_millis;
    let ledger = OutcomeTotals::new(&["read \"a\"".to_owned(), "write".to_owned()]).expect("a ledger");
    let mut budget = Budget::new(ms(500), at(0));
    budget.on_complete(at(20), ms(0));
    budget.connecting(at(20), ms(250));
    budget.sending(at(30), at(500), ms(0)).expect("time is left");
    ledger.sent(1, true);
    budget.answered(at(230));
    ledger.decided(1, &budget, at(230));
    ledger.ended(1, &budget, at(231), End::Answered);
    ledger.withheld(0);
    // A number that no class has changes nothing.
    ledger.sent(2, true);
    ledger.ended(2, &budget, at(231), End::Answered);
    let (text, format) = ledger.exposition(2.5).expect("a text");
    let text = String::from_utf8(text).expect("UTF-8");
    assert!(format.starts_with("text/plain; version=0.0.4"), "{format}");
    for line in [
        "# TYPE marblecroft_request_stage_seconds histogram",
        "marblecroft_request_stage_seconds_bucket{class=\"write\",stage=\"attempt\",le=\"0.1\"} 0",
        "marblecroft_request_stage_seconds_bucket{class=\"write\",stage=\"attempt\",le=\"0.25\"} 1",
        "marblecroft_request_stage_seconds_sum{class=\"write\",stage=\"attempt\"} 0.2",
        "marblecroft_request_stage_seconds_sum{class=\"write\",stage=\"connect\"} 0.01",
        "marblecroft_request_stage_seconds_count{class=\"write\",stage=\"unseen\"} 0",
        "marblecroft_request_left_seconds_sum{class=\"write\"} 0.28",
        "marblecroft_requests_total{class=\"write\",end=\"answered\"} 1",
        "marblecroft_requests_total{class=\"write\",end=\"client_gone\"} 0",
        "marblecroft_attempts_total{attempt=\"first\",class=\"write\"} 1",
        "marblecroft_retry_budget 2.5",
        "marblecroft_attempts_withheld_total{class=\"read \\\"a\\\"\"} 1",
    ] {
        assert!(text.lines().any(|l| l == line), "no line {line} in\n{text}");
    }
}
