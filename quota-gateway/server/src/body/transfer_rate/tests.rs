use super::*;

#[test]
fn the_deadline_is_later_for_a_steady_sender_than_for_a_dripping_one() {
    let mut rate = TransferRate::waiting();
    let start = Instant::now();
    let left =
        |rate: &TransferRate| rate.deadline().expect("the reader waits").saturating_duration_since(start);
    assert!(left(&rate) <= MAX_GAP + Duration::from_millis(100));
    rate.on_received_awaiting_more(10 << 20);
    assert!(left(&rate) <= MAX_GAP + Duration::from_millis(200), "a large transfer does not extend the gap");
    // After a long total wait, the deadline depends on whether the bytes received so far reach the minimum
    // rate.
    rate.waited = Duration::from_secs(60);
    assert!(left(&rate) >= MAX_GAP);
    let dripping = TransferRate { waited: Duration::from_secs(60), received_bytes: 1000, ..rate };
    assert!(left(&dripping) <= Duration::from_millis(200));
    rate.on_received(1);
    assert_eq!(rate.deadline(), None, "the reader is not waiting");
}
