use super::super::jitter;
use super::*;

/// News of the agent's counts as told at once, and half a second later nothing new may go to what drains: the rest of
/// it is for the answer, the list's reading and what was begun just before.
#[test]
fn a_pushed_list_is_asked_for_well_within_the_time_in_which_a_change_binds() {
    for own in [false, true] {
        let pace = FollowTiming::of(Method::Push, own);
        let least = Duration::from_millis(if own { 1250 } else { 300 });
        assert!(pace.heard_within() <= least, "{pace:?}");
        // How many calls are out at a time: each holds a descriptor, of 32 that are kept for such things.
        let beside = pace.full_list_after.expect("another call beside a silent one");
        assert!((pace.wait + pace.timeout).as_secs_f64() / beside.as_secs_f64() < 9.0, "{pace:?}");
    }
    assert_eq!(FollowTiming::of(Method::Subscribe, false).full_list_after, None, "calls are priced there");
    assert_eq!(
        FollowTiming::of(Method::Subscribe, true),
        FollowTiming::of(Method::Subscribe, false),
        "there too"
    );
}

/// What the waits add up to where lists are asked for, in the worst order: the watch falls silent as it begins, and the
/// call for the whole list takes as long as it may; or the call before was turned away.
#[test]
fn where_lists_are_asked_for_a_change_is_held_before_it_counts_as_told() {
    let pace = FollowTiming::of(Method::Subscribe, false);
    let millis = |duration: Duration| duration.as_millis();
    let watch = millis(pace.wait) + millis(pace.watch_timeout) + millis(pace.backoff.0) * 3 / 2;
    let call = millis(pace.timeout) + millis(pace.backoff.1) * 3 / 2;
    let silent = watch.max(call) + millis(pace.timeout);
    let refused = millis(pace.round(u32::MAX)) * 3 / 2 + millis(pace.busy_timeout);
    assert!(silent <= 6000, "{silent} ms");
    assert!(refused <= 6000, "{refused} ms");
    assert_eq!(millis(pace.update_bound()), silent.max(refused));
    let mut random = Random(1);
    let longest = (0..1000).map(|_| FollowTiming::jittered(pace.round(300), &mut random)).max();
    assert!(longest.is_some_and(|longest| longest + pace.busy_timeout <= Duration::from_secs(6)));
}

/// A hundred gateways that were killed together all started a watch in the same instant.
#[test]
fn many_gateways_that_start_together_call_one_after_another() {
    let asked = FollowTiming::of(Method::Subscribe, false);
    let mut calls = vec![0; 40];
    for seed in 0..100_u64 {
        let at = jitter(asked.round(100), &mut Random(seed));
        calls[(at.as_millis() / 100) as usize] += 1;
    }
    assert!(calls.iter().all(|&calls| calls <= 12), "in 100 ms each: {calls:?}");
    assert!(jitter(asked.round(3), &mut Random(1)) < Duration::from_millis(150), "a few need not wait");
    assert_eq!(
        FollowTiming::of(Method::Push, false).round(100),
        Duration::ZERO,
        "what it tells counts as told"
    );
    assert_eq!(asked.round(0), Duration::ZERO);
    // Also three hundred at once are ready in time: nine in ten within ten seconds.
    assert!(asked.round(u32::MAX) + asked.busy_timeout < Duration::from_secs(10));
}
