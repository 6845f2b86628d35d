use super::*;

/// A pushed change counts as delivered at once, and half a second later nothing new may go to a server that drains: the rest
/// of that time is for the answer, for applying the list, and for attempts that have just begun.
#[test]
fn a_pushed_list_is_requested_well_before_its_change_takes_effect() {
    for is_own_service in [false, true] {
        let timing = FollowTiming::of(Method::Push, is_own_service);
        let max_time = Duration::from_millis(if is_own_service { 1250 } else { 300 });
        assert!(timing.max_time_to_call() <= max_time, "{timing:?}");
        // Bounds the calls in flight: each uses one of the 32 descriptors that are reserved for the process itself.
        let hedge_after = timing.hedge_after.expect("a silent call is hedged");
        assert!((timing.wait + timing.timeout).as_secs_f64() / hedge_after.as_secs_f64() < 9.0, "{timing:?}");
    }
    assert_eq!(FollowTiming::of(Method::Subscribe, false).hedge_after, None, "calls are priced there");
    assert_eq!(
        FollowTiming::of(Method::Subscribe, true),
        FollowTiming::of(Method::Subscribe, false),
        "so is the project's own service"
    );
}

/// The waits in the worst order: the watch turns silent as it begins, and the call for the full list takes as long as it
/// may; or the call before was rejected.
#[test]
fn a_polled_change_is_received_before_it_counts_as_delivered() {
    let timing = FollowTiming::of(Method::Subscribe, false);
    let millis = |duration: Duration| duration.as_millis();
    let watch = millis(timing.wait) + millis(timing.watch_timeout) + millis(timing.backoff.first) * 3 / 2;
    let call = millis(timing.timeout) + millis(timing.backoff.max) * 3 / 2;
    let silent = watch.max(call) + millis(timing.timeout);
    let rejected = millis(timing.round(u32::MAX)) * 3 / 2 + millis(timing.busy_timeout);
    assert!(silent <= 6000, "{silent} ms");
    assert!(rejected <= 6000, "{rejected} ms");
    assert_eq!(millis(timing.update_bound()), silent.max(rejected));
    let mut random = Random(1);
    let longest = (0..1000).map(|_| FollowTiming::jittered(timing.round(300), &mut random)).max();
    assert!(longest.is_some_and(|longest| longest + timing.busy_timeout <= Duration::from_secs(6)));
}

/// A hundred gateways that were killed together all started a watch in the same instant.
#[test]
fn gateways_that_start_together_spread_their_calls() {
    let polled = FollowTiming::of(Method::Subscribe, false);
    let mut calls = vec![0; 40];
    for seed in 0..100_u64 {
        let at = jitter(polled.round(100), &mut Random(seed));
        calls[(at.as_millis() / 100) as usize] += 1;
    }
    assert!(calls.iter().all(|&calls| calls <= 12), "in 100 ms each: {calls:?}");
    assert!(
        jitter(polled.round(3), &mut Random(1)) < Duration::from_millis(150),
        "few gateways need not wait"
    );
    assert_eq!(
        FollowTiming::of(Method::Push, false).round(100),
        Duration::ZERO,
        "a pushed change counts as delivered"
    );
    assert_eq!(polled.round(0), Duration::ZERO);
    // Three hundred at once are ready in time, too: nine in ten within ten seconds.
    assert!(polled.round(u32::MAX) + polled.busy_timeout < Duration::from_secs(10));
}
