use super::*;

/// A pushed change counts as delivered immediately, and half a second later no new request may be sent to a
/// server that drains. The rest of that time is for the response, for applying the list, and for attempts
/// that have just begun.
#[test]
fn a_pushed_list_is_requested_well_before_its_change_takes_effect() {
    for is_own_service in [false, true] {
        let timing = FollowTiming::of(Method::Push, is_own_service);
        let max_time = Duration::from_millis(if is_own_service { 1250 } else { 300 });
        assert!(timing.max_time_to_call() <= max_time, "{timing:?}");
        // Limits the calls in flight: each uses one of the 32 descriptors that are reserved for the process
        // itself.
        let hedge_after = timing.hedge_after.expect("an unanswered call is hedged");
        assert!((timing.wait + timing.timeout).as_secs_f64() / hedge_after.as_secs_f64() < 9.0, "{timing:?}");
    }
    assert_eq!(
        FollowTiming::of(Method::Subscribe, false).hedge_after,
        None,
        "polling calls have a cost and are not hedged"
    );
    assert_eq!(
        FollowTiming::of(Method::Subscribe, true),
        FollowTiming::of(Method::Subscribe, false),
        "polling the project's own service has the same timing"
    );
}

/// The worst order of waits: the watch gets no response, and the call for the full list takes as long as its
/// timeout permits; or the previous call was rejected as busy.
#[test]
fn a_polled_change_is_received_before_it_counts_as_delivered() {
    let timing = FollowTiming::of(Method::Subscribe, false);
    let millis = |duration: Duration| duration.as_millis();
    let watch = millis(timing.wait) + millis(timing.watch_timeout) + millis(timing.backoff.first) * 3 / 2;
    let call = millis(timing.timeout) + millis(timing.backoff.max) * 3 / 2;
    let unanswered = watch.max(call) + millis(timing.timeout);
    let rejected = millis(timing.call_spread(u32::MAX)) * 3 / 2 + millis(timing.busy_timeout);
    assert!(unanswered <= 6000, "{unanswered} ms");
    assert!(rejected <= 6000, "{rejected} ms");
    assert_eq!(millis(timing.update_bound()), unanswered.max(rejected));
    let mut random = Random(1);
    let longest = (0..1000).map(|_| FollowTiming::jittered(timing.call_spread(300), &mut random)).max();
    assert!(longest.is_some_and(|longest| longest + timing.busy_timeout <= Duration::from_secs(6)));
}

/// Guards against a hundred gateways starting a watch at the same instant after they were killed together.
#[test]
fn gateways_that_start_together_spread_their_calls() {
    let polled = FollowTiming::of(Method::Subscribe, false);
    let mut calls = vec![0; 40];
    for seed in 0..100_u64 {
        let at = jitter(polled.call_spread(100), &mut Random(seed));
        calls[(at.as_millis() / 100) as usize] += 1;
    }
    assert!(calls.iter().all(|&calls| calls <= 12), "in 100 ms each: {calls:?}");
    assert!(
        jitter(polled.call_spread(3), &mut Random(1)) < Duration::from_millis(150),
        "three gateways wait less than 150 ms"
    );
    assert_eq!(
        FollowTiming::of(Method::Push, false).call_spread(100),
        Duration::ZERO,
        "calls are not spread if changes are pushed"
    );
    assert_eq!(polled.call_spread(0), Duration::ZERO);
    // 300 gateways that start together must also be ready in time: nine in ten within ten seconds.
    assert!(polled.call_spread(u32::MAX) + polled.busy_timeout < Duration::from_secs(10));
}
