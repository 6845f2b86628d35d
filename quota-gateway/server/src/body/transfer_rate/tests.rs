use super::*;

#[test]
fn a_steady_sender_has_time_and_a_dripping_one_has_none() {
    let mut rate = TransferRate::waiting();
    let start = Instant::now();
    let left =
        |rate: &TransferRate| rate.deadline().expect("the reader waits").saturating_duration_since(start);
    assert!(left(&rate) <= MAX_GAP + Duration::from_millis(100));
    rate.on_received_awaiting_more(10 << 20);
    assert!(left(&rate) <= MAX_GAP + Duration::from_millis(200), "no credit for a gap");
    // After a long wait in all, the bytes received so far either justify it or do not.
    rate.waited = Duration::from_secs(60);
    assert!(left(&rate) >= MAX_GAP);
    let dripping = TransferRate { waited: Duration::from_secs(60), received_bytes: 1000, ..rate };
    assert!(left(&dripping) <= Duration::from_millis(200));
    rate.on_received(1);
    assert_eq!(rate.deadline(), None, "the reader does not wait");
}
