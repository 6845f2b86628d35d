use super::*;

#[test]
fn whoever_brings_something_has_time_and_whoever_drips_has_not() {
    let mut pace = TransferRate::waiting();
    let start = Instant::now();
    let left = |pace: &TransferRate| pace.due().expect("it is waited for").saturating_duration_since(start);
    assert!(left(&pace) <= MAX_GAP + Duration::from_millis(100));
    pace.brought_some(10 << 20);
    assert!(left(&pace) <= MAX_GAP + Duration::from_millis(200), "no credit for a silence");
    // Waited for since long ago: what was brought bears it, or does not.
    pace.waited = Duration::from_secs(60);
    assert!(left(&pace) >= MAX_GAP);
    let drips = TransferRate { waited: Duration::from_secs(60), brought: 1000, ..pace };
    assert!(left(&drips) <= Duration::from_millis(200));
    pace.brought(1);
    assert_eq!(pace.due(), None, "nobody waits for it");
}
