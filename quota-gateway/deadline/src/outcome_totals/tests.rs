use super::*;
use std::time::Duration;

#[test]
fn outcomes_are_counted_by_class_stage_and_end() {
    let at = |millis: u64| Time(millis * 1_000_000);
    let ms = Duration::from_millis;
    let totals = OutcomeTotals::new(&["read \"a\"".to_owned(), "write".to_owned()]).expect("valid metrics");
    let mut budget = Budget::new(ms(500), at(0));
    budget.on_complete(at(20), ms(0));
    budget.begin_connect(at(20), ms(250));
    budget.begin_attempt(at(30), at(500), ms(0)).expect("time remains");
    totals.record_attempt(1, true);
    budget.decide(at(230));
    totals.record_decided(1, &budget, at(230));
    totals.record_outcome(1, &budget, at(231), Outcome::Answered);
    totals.record_withheld(0);
    // An unknown class is ignored.
    totals.record_attempt(2, true);
    totals.record_outcome(2, &budget, at(231), Outcome::Answered);
    let (text, format) = totals.exposition(2.5).expect("an exposition");
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
