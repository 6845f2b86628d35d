//! Regression tests, one for each failure that was found.

mod common;
use common::*;
use marblecroft_quota_gateway_core::*;
use std::collections::{BTreeMap, BTreeSet};

fn safe_classes() -> Vec<Class> {
    vec![class(Effect::Safe, 1.0)]
}

/// A request whose server never responds gets exactly one final response, before its deadline.
#[test]
fn every_request_gets_a_response_in_time() {
    for effect in
        [Effect::Safe, keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::All), Effect::Unsafe]
    {
        let mut harness = Harness::new(settings(vec![class(effect, 1.0)], vec![unlimited_plan()]), 1);
        let (id, first) = harness.request(0, 0, 1);
        assert!(sent_to(&first).is_some());
        harness.advance(4000);
        let finals: Vec<u64> = harness
            .log
            .iter()
            .filter(|(_, a)| matches!(a, Action::Reject { id: i, .. } | Action::Fail { id: i } if *i == id))
            .map(|(at, _)| *at)
            .collect();
        assert_eq!(finals.len(), 1, "{effect:?}");
        assert!(finals[0] <= 3_000_000_000);
    }
}

/// A keyed request that may have been executed is retried only within its deduplication scope, and otherwise
/// fails instead of being rejected.
#[test]
fn keyed_requests_stay_in_their_deduplication_scope() {
    let mut harness =
        Harness::new(settings(vec![class(keyed(DeduplicationScope::Zone), 1.0)], vec![unlimited_plan()]), 8);
    for _ in 0..20 {
        let (id, first) = harness.request(0, 0, 1);
        let first = sent_to(&first).expect("admitted");
        let after = harness.finish_attempt(id, 0, Status::Error, 5);
        if let Some(second) = sent_to(&after) {
            assert_eq!(first.0 % 2, second.0 % 2, "retried in another zone");
            harness.finish_attempt(id, 1, Status::Ok, 5);
        } else {
            assert!(failed(&after) && !rejected(&after));
        }
        harness.advance(500);
    }
    assert!(harness.log.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count() > 20);
}

/// An unsafe request that may have been executed is not retried and fails instead of being rejected. One that
/// was not executed may be sent again.
#[test]
fn unsafe_requests_are_not_retried() {
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![unlimited_plan()]), 4);
    let (id, _) = harness.request(0, 0, 1);
    let after = harness.finish_attempt(id, 0, Status::ConnectFailed, 5);
    assert!(sent_to(&after).is_some());
    let after = harness.finish_attempt(id, 1, Status::Reset, 5);
    assert!(failed(&after) && sent_to(&after).is_none());
}

/// A server gets no requests from the moment at which the list reports it as draining.
#[test]
fn draining_servers_get_no_requests() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
    let mut drained = server(0);
    drained.lifecycle = Lifecycle::Draining;
    harness.update_servers(Scope::Delta, vec![drained]);
    for _ in 0..50 {
        assert_ne!(harness.serve(0, 0, 1, 20), Some(ServerId(0)));
    }
    harness.update_servers(Scope::Full, vec![server(0)]);
    assert_eq!(harness.serve(0, 0, 1, 20), Some(ServerId(0)), "the other server is no longer listed");
}

/// One gateway of two admits no more than half of a rate limit, whose bucket starts empty except for the
/// slack.
#[test]
fn a_gateway_admits_only_its_part_of_a_rate_limit() {
    let plan = Plan { rate_limit: 10.0, rate_limit_burst: 20.0, rate_limit_slack: 2.0, ..unlimited_plan() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan]), 20);
    let mut units = 0.0;
    for step in 1..=1000 {
        if harness.serve(0, 0, 1, 10).is_some() {
            units += 1.0;
        }
        let time = f64::from(step) * 0.01;
        assert!(units <= 1.0 + 5.0 * time + 1e-6, "{units} units after {time} s");
    }
    assert!(units > 40.0);
}

/// The bucket of a rate limit fills from the gateway's start, also for customers whose first request comes
/// later.
#[test]
fn the_rate_limit_bucket_fills_from_the_start_of_the_gateway() {
    let plan = Plan { rate_limit: 2.0, rate_limit_burst: 10.0, ..unlimited_plan() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan]), 4);
    assert!(rejected(&harness.request_with_units(0, 0, 1, 3.0).1));
    harness.advance(3000);
    assert!(sent_to(&harness.request_with_units(0, 0, 2, 3.0).1).is_some());
}

/// A server in slow start gets its reduced share of the requests, not an equal one.
#[test]
fn a_server_in_slow_start_gets_its_share() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for _ in 0..100 {
        harness.serve(0, 0, 1, 20);
    }
    let mut restarted = server(9);
    restarted.started = Some(Time(harness.now));
    harness.update_servers(Scope::Delta, vec![restarted]);
    let to_slow_start = (0..75).filter(|_| harness.serve(0, 0, 1, 20) == Some(ServerId(9))).count();
    // 50 requests per second over four servers are 12.5 each; a fifth of that for 1.5 s, plus the tokens of
    // one window.
    assert!((1..=8).contains(&to_slow_start), "{to_slow_start}");
}

/// Regression test: a queue length reported once, by servers that got no more requests, kept the admitted
/// fraction at its minimum permanently.
#[test]
fn stale_load_reports_decay() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for _ in 0..40 {
        let (id, actions) = harness.request(0, 0, 1);
        if sent_to(&actions).is_some() {
            harness.advance(50);
            let mut result = outcome(id, 0, Status::Ok, 50);
            result.report.queue = Some(500.0);
            harness.handle(Event::Outcome(result));
        } else {
            harness.advance(50);
        }
    }
    assert!(rejected(&harness.request(0, 0, 1).1), "a queue of 500 causes shedding");
    for _ in 0..400 {
        harness.serve(0, 0, 1, 50);
    }
    let admitted = (0..20).filter(|_| harness.serve(0, 0, 1, 50).is_some()).count();
    assert_eq!(admitted, 20);
}

/// A single unresponsive server is avoided. If all servers are slow, load is shed and no server is ejected.
#[test]
fn one_unresponsive_server_is_distinguished_from_a_slow_fleet() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 6);
    let mut to_unresponsive = 0;
    for i in 0..300 {
        let (id, actions) = harness.request(0, 0, 1);
        harness.advance(20);
        match sent_to(&actions) {
            Some(ServerId(0)) => to_unresponsive += usize::from(i > 150),
            Some(_) => {
                harness.finish_attempt(id, 0, Status::Ok, 20);
            }
            None => {}
        }
    }
    assert!(to_unresponsive <= 5, "{to_unresponsive} requests to the unresponsive server");

    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    let mut in_flight = Vec::new();
    for _ in 0..200 {
        let (id, actions) = harness.request(0, 0, 1);
        if sent_to(&actions).is_some() {
            in_flight.push((harness.now, id));
        }
        harness.advance(20);
        while in_flight.first().is_some_and(|&(at, _)| harness.now - at >= 900_000_000) {
            let (_, id) = in_flight.remove(0);
            harness.finish_attempt(id, 0, Status::Ok, 900);
        }
    }
    assert!(harness.log.iter().any(|(_, a)| matches!(a, Action::Reject { .. })), "load is shed");
    let (_, last) = harness.request(0, 0, 1);
    assert!(sent_to(&last).is_some() || rejected(&last));
}

/// Under overload the class of the lower value is rejected and the other one served.
#[test]
fn the_lowest_value_is_shed_first() {
    let classes = vec![class(Effect::Safe, 1.0), class(Effect::Safe, 5.0)];
    let mut harness = Harness::new(settings(classes, vec![unlimited_plan()]), 2);
    let mut in_flight = Vec::new();
    let mut served = [0, 0];
    for i in 0..600 {
        let class_index = usize::from(i % 4 == 0);
        let (id, actions) = harness.request(class_index, 0, 1);
        if sent_to(&actions).is_some() {
            in_flight.push((harness.now, id));
            served[class_index] += usize::from(i > 200);
        }
        harness.advance(10);
        while in_flight.first().is_some_and(|&(at, _)| harness.now - at >= 200_000_000) {
            let (_, id) = in_flight.remove(0);
            harness.finish_attempt(id, 0, Status::Ok, 200);
        }
    }
    let (low, high) = (served[0] as f64 / 300.0, served[1] as f64 / 100.0);
    assert!(high > low + 0.2, "high value {high}, low value {low}");
}

/// Over the quota, requests of a hard plan are rejected, and those of a soft plan are admitted if there is
/// capacity.
#[test]
fn hard_plans_are_rejected_over_the_quota_and_soft_plans_admitted() {
    let hard = Plan { rate: 2.0, burst: 4.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let soft = Plan { over_quota_value: 0.5, over_quota_cost: 0.0, ..hard.clone() };
    let mut harness = Harness::new(settings(safe_classes(), vec![hard, soft]), 20);
    let admitted_count = |harness: &mut Harness, plan: usize| {
        (0..40).filter(|_| harness.serve(0, plan, plan as u64, 10).is_some()).count()
    };
    let (hard, soft) = (admitted_count(&mut harness, 0), admitted_count(&mut harness, 1));
    assert!((2..=8).contains(&hard), "{hard}");
    assert_eq!(soft, 40);
}

/// Invalid numbers in settings and reports cause no panic, and the gateway still responds.
#[test]
fn invalid_numbers_are_harmless() {
    let plan = Plan { rate: f64::NAN, burst: f64::NEG_INFINITY, price: f64::INFINITY, ..Plan::default() };
    let mut invalid = settings(safe_classes(), vec![plan, unlimited_plan()]);
    invalid.slow_start_initial_share = f64::NAN;
    invalid.gateways = 0;
    let mut harness = Harness::new(invalid, 2);
    for i in 0..50 {
        let (id, actions) = harness.request_with_units(0, i % 2, 1, f64::NAN);
        if sent_to(&actions).is_some() {
            let mut result = outcome(id, 0, Status::Ok, 0);
            result.report.queue = Some(f64::INFINITY);
            result.metered_use = Some(f64::NAN);
            result.actual_units = Some(f64::NAN);
            harness.handle(Event::Outcome(result));
        } else {
            assert!(rejected(&actions));
        }
        harness.advance(100);
    }
    assert!(sent_to(&harness.request(0, 1, 3).1).is_some());
}

/// Regression test: a server that had failed was never used again, because nothing reset its failure rate.
#[test]
fn a_failing_server_is_retried_after_a_while() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    let mut sends = [0, 0, 0];
    for i in 0..1200 {
        let (id, actions) = harness.request(0, 0, 1);
        harness.advance(if i == 400 { 60_000 } else { 25 });
        match sent_to(&actions) {
            Some(ServerId(0)) => {
                sends[i / 400] += 1;
                let status = if i < 400 { Status::Error } else { Status::Ok };
                for a in harness.finish_attempt(id, 0, status, 25) {
                    if let Action::Send { .. } = a {
                        harness.finish_attempt(id, 1, Status::Ok, 25);
                    }
                }
            }
            Some(_) => {
                harness.finish_attempt(id, 0, Status::Ok, 25);
            }
            None => {}
        }
    }
    assert!(sends[0] <= 10 && sends[1] + sends[2] >= 20, "{sends:?}");
}

/// With many gateways, the concurrency limit includes the attempts in flight at the other gateways.
#[test]
fn the_concurrency_limit_counts_other_gateways() {
    let plan = Plan {
        rate: 100.0,
        burst: 200.0,
        max_in_flight: 4,
        price: 1.0,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan]), 30);
    let admitted = (0..10).filter(|_| sent_to(&harness.request(0, 0, 1).1).is_some()).count();
    assert!((1..=4).contains(&admitted), "{admitted}");
}

/// Attempts in flight from one gateway are limited, and more strictly for requests over the quota. This
/// protects servers whose queues grow until they fail, and servers with one attempt from each of many
/// gateways.
#[test]
fn attempts_in_flight_are_bounded() {
    let soft = Plan { rate: 0.001, burst: 0.001, price: 1.0, over_quota_value: 0.5, ..Plan::default() };
    let in_flight_count = |gateways: u32, plan: usize| {
        let mut settings = settings(safe_classes(), vec![unlimited_plan(), soft.clone()]);
        settings.gateways = gateways;
        let mut harness = Harness::new(settings, 10);
        (0..200).filter(|_| sent_to(&harness.request(0, plan, 1).1).is_some()).count()
    };
    let (few, many, over_quota) = (in_flight_count(3, 0), in_flight_count(30, 0), in_flight_count(3, 1));
    assert!((5..=30).contains(&few), "{few}");
    assert!(many < few / 2 && many > 0, "{many} of {few}");
    assert!(over_quota < few && over_quota > 0, "{over_quota} of {few}");
}

/// Attempts that hang at an unresponsive server are cancelled, so that they no longer use their customer's
/// concurrency limit.
#[test]
fn hung_attempts_are_cancelled() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 3);
    let mut hung = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(0, 0, 1);
        harness.advance(20);
        match sent_to(&actions) {
            Some(ServerId(0)) => hung += 1,
            Some(_) => {
                harness.finish_attempt(id, 0, Status::Ok, 20);
            }
            None => {}
        }
    }
    let cancelled = harness.log.iter().filter(|(_, a)| matches!(a, Action::Cancel { .. })).count();
    assert!(hung > 0 && cancelled >= hung, "{cancelled} of {hung}");
}

/// Regression test: if one class failed at a server that served the others, any response reset its failure
/// rate, and the class was still sent there.
#[test]
fn a_class_that_fails_at_a_server_is_sent_elsewhere_and_the_others_are_not() {
    let classes = vec![class(Effect::Safe, 1.0), class(Effect::Safe, 1.0)];
    let mut harness = Harness::new(settings(classes, vec![unlimited_plan()]), 4);
    let mut sends = [0, 0];
    for i in 0..800 {
        let (id, actions) = harness.request(i % 2, 0, 1);
        harness.advance(20);
        let Some(server) = sent_to(&actions) else { continue };
        sends[i % 2] += usize::from(server == ServerId(0));
        let fails = server == ServerId(0) && i % 2 == 1;
        for a in harness.finish_attempt(id, 0, if fails { Status::Error } else { Status::Ok }, 20) {
            if let Action::Send { .. } = a {
                harness.finish_attempt(id, 1, Status::Ok, 20);
            }
        }
    }
    assert!(sends[0] >= 40, "the class that it serves is still sent there: {sends:?}");
    assert!(sends[1] <= 15, "the class that fails is sent elsewhere: {sends:?}");
    assert!(harness.log.iter().any(|(_, a)| matches!(a, Action::Log(l) if l == "server 0 fails class 1")));
}

/// Regression test: a restarted server got no requests during its entire slow start, because each of hundreds
/// of gateways waited for a full token.
#[test]
fn hundreds_of_gateways_share_a_server_in_slow_start_at_random() {
    let mut to_slow_start = 0;
    for seed in 0..200 {
        let mut config = settings(safe_classes(), vec![unlimited_plan()]);
        config.gateways = 200;
        let mut harness = Harness::with_seed(config, 4, seed);
        for _ in 0..10 {
            harness.serve(0, 0, 1, 500);
        }
        let mut restarted = server(9);
        restarted.started = Some(Time(harness.now));
        harness.update_servers(Scope::Delta, vec![restarted]);
        to_slow_start += (0..8).filter(|_| harness.serve(0, 0, 1, 500) == Some(ServerId(9))).count();
    }
    // 400 requests per second over five servers are 80 each, of which a fifth, rising to a half over four
    // seconds.
    assert!((20..=160).contains(&to_slow_start), "{to_slow_start}");
}

/// Regression test: at a gateway with few responses, a single slow one lowered the admitted fraction. Since
/// the fraction is bounded by 1, such changes only ever lowered it.
#[test]
fn one_slow_response_among_a_few_causes_no_shedding() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for i in 0..60 {
        harness.serve(0, 0, 1, if i % 12 == 11 { 1500 } else { 40 });
        harness.advance(400);
    }
    assert!(!harness.log.iter().any(|(_, a)| matches!(a, Action::Log(l) if l.starts_with("shedding"))));
}

/// Regression test for two faults: each of a hundred gateways reserved more units for the others than the
/// bucket of the quota holds, and so rejected a customer's first large request; and all gateways used the
/// units in that bucket at the same time.
#[test]
fn the_quota_beyond_the_slices_is_divided_among_gateways_at_random() {
    let plan = Plan { rate: 2.0, burst: 12.0, price: 1.0, over_quota_cost: 1.2, ..Plan::default() };
    let mut admitted = [0, 0];
    for seed in 0..100 {
        let mut harness = Harness::with_seed(settings(safe_classes(), vec![plan.clone()]), 4, seed);
        harness.customer_gateways = 100;
        admitted[0] += usize::from(sent_to(&harness.request_with_units(0, 0, 1, 6.0).1).is_some());
        for _ in 0..10 {
            admitted[1] += usize::from(sent_to(&harness.request_with_units(0, 0, 1, 6.0).1).is_some());
            harness.advance(100);
        }
    }
    assert_eq!(admitted[0], 100);
    assert!(admitted[1] <= 100, "{admitted:?}");
}

/// Regression test: requests with little time left used quota and server work although no response could come
/// in time.
#[test]
fn a_request_without_time_for_a_response_is_rejected() {
    let plan = Plan { rate: 0.001, burst: 40.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan, unlimited_plan()]), 4);
    for _ in 0..100 {
        harness.serve(0, 1, 1, 300);
    }
    let request_with_time_left = |harness: &mut Harness, time_left_ms: u64| {
        let id = RequestId(1_000_000 + harness.next_id);
        harness.next_id += 1;
        harness.handle(Event::Request(NewRequest {
            id,
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(7),
            deadline: Time(harness.now + time_left_ms * 1_000_000),
            units: 1.0,
            gateways: 2,
            is_retry: false,
            body_in_flight: false,
        }))
    };
    // Responses take 300 ms: 100 ms are too short, 250 ms may be enough.
    let rejected_count = (0..50).filter(|_| rejected(&request_with_time_left(&mut harness, 100))).count();
    assert_eq!(rejected_count, 50);
    assert!(
        sent_to(&request_with_time_left(&mut harness, 250)).is_some(),
        "the rejected requests used no quota"
    );
}

/// Regression test: half of all requests were clients' retries, most of them past their latency target.
/// Serving them had no value and used the quota of initial requests.
#[test]
fn a_retry_past_its_latency_target_uses_no_quota() {
    let plan = Plan { rate: 0.001, burst: 40.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan]), 4);
    let is_admitted = |harness: &mut Harness, timeout_ms: u64, is_retry: bool| {
        let id = RequestId(1_000_000 + harness.next_id);
        harness.next_id += 1;
        let actions = harness.handle(Event::Request(NewRequest {
            id,
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(7),
            deadline: Time(harness.now + timeout_ms * 1_000_000),
            units: 1.0,
            gateways: 2,
            is_retry,
            body_in_flight: false,
        }));
        let admitted = sent_to(&actions).is_some();
        if admitted {
            harness.finish_attempt(id, 0, Status::Ok, 10);
        }
        admitted
    };
    assert!(is_admitted(&mut harness, 2500, true), "no initial request has shown the clients' timeout yet");
    // The deadline is 3 s, initial requests have a timeout of 2.4 s, and the latency target is 0.8 s.
    assert!(is_admitted(&mut harness, 2400, false));
    assert!(is_admitted(&mut harness, 2395, true), "its initial request may have begun just now");
    assert!(
        is_admitted(&mut harness, 2300, true),
        "its initial request began 0.7 s ago, which leaves time for a response"
    );
    let admitted_count = (0..30).filter(|n| is_admitted(&mut harness, 500 + 50 * n, true)).count();
    assert_eq!(admitted_count, 0, "their initial requests began more than 0.8 s ago");
    assert!(is_admitted(&mut harness, 1000, false), "an initial request may have a shorter timeout");
    assert!((0..10).all(|_| is_admitted(&mut harness, 2400, false)), "the rejected requests used no quota");
}

/// Regression test: the retry-after was longer than the latency target, so the response to the retry had no
/// value, even if the units would have been available soon.
#[test]
fn the_retry_after_is_within_the_latency_target() {
    let retry_after_ms = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after.as_millis()),
            _ => None,
        })
    };
    // This gateway's half of the quota is one unit, and half a unit per second.
    let plan = Plan { rate: 1.0, burst: 2.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let unmetered =
        Settings { meter_period: ms(0), ..settings(safe_classes(), vec![plan, unlimited_plan()]) };
    let mut harness = Harness::new(unmetered, 4);
    assert!(harness.serve(0, 0, 7, 10).is_some());
    assert_eq!(
        retry_after_ms(&harness.request(0, 0, 7).1),
        Some(200),
        "a quarter of the latency target, although the refill takes two seconds"
    );
    harness.advance(1890);
    let soon = retry_after_ms(&harness.request(0, 0, 7).1).expect("a rejection");
    assert!((90..=110).contains(&soon), "{soon} ms, the time until the unit is available");
    // No server responds, until none can take another attempt.
    let full = (0..100).find_map(|_| retry_after_ms(&harness.request(0, 1, 1).1));
    assert_eq!(full, Some(200), "also for a rejection because of overload");
}

/// Regression test: a single request in a meter period gives a reading far above the rate. It counted as the
/// customer's use for a minute, so the entire bucket seemed to be used up, and requests beyond the slice were
/// rejected.
#[test]
fn one_high_meter_reading_does_not_empty_the_bucket() {
    let plan = Plan { rate: 1.0, burst: 12.0, price: 1.0, over_quota_cost: 1.2, ..Plan::default() };
    let mut admitted = [0, 0];
    for (scenario, admitted) in admitted.iter_mut().enumerate() {
        for seed in 0..100 {
            let config = Settings { max_units: 1.0, ..settings(safe_classes(), vec![plan.clone()]) };
            let mut harness = Harness::with_seed(config, 4, seed);
            for n in 0..8 {
                let (id, _) = harness.request(0, 0, 1);
                harness.advance(50);
                let mut result = outcome(id, 0, Status::Ok, 50);
                result.metered_use = Some(if scenario == 1 || n == 7 { 4.0 } else { 0.0 });
                harness.handle(Event::Outcome(result));
                harness.advance(3000);
            }
            // This gateway's slice holds six units. The bucket of the full quota holds more, unless other
            // gateways use it.
            let served = (0..12).filter(|_| harness.serve(0, 0, 1, 1).is_some()).count();
            *admitted += served.saturating_sub(6);
        }
    }
    assert!(admitted[0] >= 10, "{admitted:?}: one high reading");
    assert_eq!(admitted[1], 0, "{admitted:?}: other gateways use the quota all the time");
}

/// Regression test: when a client disconnected, its cancelled attempt counted as a failure of the server,
/// which was avoided for seconds.
#[test]
fn a_disconnected_client_does_not_count_against_the_server() {
    // Two requests at a time go to both servers, unless one of them is avoided.
    let both_used = |harness: &mut Harness| {
        let requests: Vec<_> = (0..2).map(|_| harness.request(0, 0, 1)).collect();
        harness.advance(160);
        for (id, _) in &requests {
            harness.finish_attempt(*id, 0, Status::Ok, 160);
        }
        sent_to(&requests[0].1) != sent_to(&requests[1].1)
    };
    for disconnects in [true, false] {
        let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
        assert!((0..10).all(|_| both_used(&mut harness)));
        let (id, _) = harness.request(0, 0, 1);
        harness.advance(5);
        if disconnects {
            harness.handle(Event::ClientDisconnected(id));
        }
        harness.finish_attempt(id, 0, Status::Cancelled, 5);
        harness.advance(160);
        harness.finish_attempt(id, 1, Status::Ok, 160);
        let used = (0..5).filter(|_| both_used(&mut harness)).count();
        assert_eq!(used, if disconnects { 5 } else { 0 }, "disconnects: {disconnects}");
    }
}

/// Regression test: a customer's last units went to the first request, and the class of the higher value was
/// rejected after one of the lower value.
#[test]
fn the_last_units_are_left_to_the_most_valuable_class() {
    let classes = || vec![class(Effect::Safe, 3.0), class(Effect::Unsafe, 2.0)];
    let plan = |burst: f64| Plan { rate: 0.001, burst, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let plans = vec![plan(4.0), plan(2.0)];
    let unmetered = Settings { meter_period: ms(0), ..settings(classes(), plans) };
    let mut harness = Harness::new(unmetered, 4);
    // This gateway's half of the bucket holds two units.
    assert!(harness.serve(1, 0, 7, 10).is_some(), "there are enough units for both classes");
    assert!(harness.serve(1, 0, 7, 10).is_none(), "the last unit is not for the class of the lower value");
    assert!(harness.serve(0, 0, 7, 10).is_some(), "it is for the class of the higher value");
    assert!(harness.serve(0, 0, 7, 10).is_none(), "the quota is used up");
    assert!(harness.serve(1, 1, 8, 10).is_some(), "a full bucket of one unit admits either class");
}

/// Regression test: meter readings were dropped after some seconds, so a heavy customer with rare requests at
/// this gateway counted as a new customer each time.
#[test]
fn a_heavy_customer_is_recognized_between_rare_requests() {
    let plan = Plan { rate: 1.0, burst: 6.0, price: 1.0, over_quota_cost: 1.2, ..Plan::default() };
    let mut admitted = [0, 0];
    for (scenario, admitted) in admitted.iter_mut().enumerate() {
        let mut harness = Harness::new(settings(safe_classes(), vec![plan.clone()]), 4);
        harness.customer_gateways = 100;
        for _ in 0..10 {
            let (id, actions) = harness.request_with_units(0, 0, 1, 2.0);
            harness.advance(50);
            if sent_to(&actions).is_some() {
                *admitted += 1;
                let mut result = outcome(id, 0, Status::Ok, 50);
                result.metered_use = Some(if scenario == 1 { 4.0 } else { 0.3 });
                harness.handle(Event::Outcome(result));
            }
            harness.advance(15_000);
        }
    }
    assert!(admitted[0] >= 9 && admitted[1] <= 5, "{admitted:?}");
}

/// All gateways together stay within a rate limit, also across restarts: each gateway has its part, and the
/// bucket of its part starts almost empty.
#[test]
fn a_rate_limit_is_enforced_across_gateways_and_restarts() {
    let plan = Plan {
        rate: 1e3,
        burst: 1e3,
        price: 1.0,
        over_quota_cost: 1.0,
        rate_limit: 8.0,
        rate_limit_burst: 48.0,
        rate_limit_slack: 6.0,
        ..Plan::default()
    };
    let harness = |seed| {
        let mut harness = Harness::with_seed(settings(safe_classes(), vec![plan.clone()]), 8, seed);
        harness.customer_gateways = 4;
        harness
    };
    let mut harnesses: Vec<Harness> = (0..4).map(harness).collect();
    let (mut tokens, mut sends) = (48.0_f64, 0);
    for tick in 0..600 {
        tokens = (tokens + 8.0 * 0.05).min(48.0);
        // Every gateway restarts once within two seconds, while the customer sends as many requests as
        // possible.
        if tick >= 400 && tick % 10 == 0 && tick < 440 {
            let n = (tick - 400) / 10;
            let now = harnesses[n].now;
            harnesses[n] = harness(n as u64 + 9);
            harnesses[n].now = now;
        }
        for harness in &mut harnesses {
            for units in [6.0, 1.0] {
                let (id, actions) = harness.request_with_units(0, 0, 1, units);
                if sent_to(&actions).is_some() {
                    harness.finish_attempt(id, 0, Status::Ok, 20);
                    tokens -= units;
                    sends += 1;
                }
            }
            harness.advance(50);
        }
        assert!(tokens >= -6.0, "{tokens} after {tick} steps");
    }
    assert!(sends >= 100, "{sends}");
}

/// A gateway with more than its share of the traffic may have two attempts in flight at each of a few
/// servers, however many gateways there are.
#[test]
fn a_busy_gateway_is_not_limited_to_one_attempt_at_each_server() {
    let mut settings = settings(safe_classes(), vec![unlimited_plan()]);
    settings.gateways = 4;
    let mut harness = Harness::new(settings, 3);
    for n in 0..4 {
        let (_, actions) = harness.request(0, 0, 1);
        assert!(sent_to(&actions).is_some(), "request {n} of four to three servers is not admitted");
    }
}

/// A disabled server gets no requests, even if the list reports it as running or restarted.
#[test]
fn a_disabled_server_gets_no_requests_until_it_is_enabled() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
    harness.handle(Event::ServerDisabled(ServerId(0)));
    harness.handle(Event::ServerDisabled(ServerId(0)));
    let started = |at: u64| ServerInfo { started: Some(Time(at)), ..server(0) };
    for at in [0, 1_000_000_000, 2_000_000_000] {
        harness.update_servers(Scope::Delta, vec![started(at)]);
        for _ in 0..20 {
            assert_eq!(harness.serve(0, 0, 1, 10), Some(ServerId(1)));
        }
    }
    harness.handle(Event::ServerEnabled(ServerId(0)));
    harness.handle(Event::ServerEnabled(ServerId(0)));
    let servers: Vec<_> = (0..100).map(|_| harness.serve(0, 0, 1, 10)).collect();
    assert!(servers.contains(&Some(ServerId(0))), "it gets a request within a second");
    // Enabling a server that was not disabled has no effect.
    harness.handle(Event::ServerEnabled(ServerId(1)));
    assert!((0..10).any(|_| harness.serve(0, 0, 1, 10) == Some(ServerId(1))));
}

/// The list reports a restart of a disabled server late. Until then the enabled server is in slow start, and
/// it gets requests however slow it was before.
#[test]
fn an_enabled_server_warms_up_until_the_list_can_have_reported_a_restart() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 3);
    for _ in 0..300 {
        harness.serve(0, 0, 1, 10);
    }
    harness.handle(Event::ServerDisabled(ServerId(0)));
    harness.advance(3000);
    harness.handle(Event::ServerEnabled(ServerId(0)));
    let share = |harness: &mut Harness, tries: usize| {
        let sends = (0..tries).filter(|_| harness.serve(0, 0, 1, 10) == Some(ServerId(0))).count();
        sends as f64 / tries as f64
    };
    let initial = share(&mut harness, 400);
    assert!(
        initial > 0.0 && initial < 0.2,
        "{initial}: a third of the requests would overload a server in slow start"
    );
    harness.advance(3000);
    let warm = share(&mut harness, 400);
    assert!(warm > 0.25, "{warm}: the list has reported no restart");
}

/// A process that replaces another one takes over its counts, and both processes keep them in agreement while
/// both run.
#[test]
fn an_upgrade_neither_loses_nor_repeats_counts() {
    let plan = Plan {
        rate: 0.001,
        burst: 12.0,
        price: 1.0,
        over_quota_cost: 1.0,
        max_in_flight: 8,
        ..Plan::default()
    };
    let config = settings(vec![class(Effect::Safe, 1.0)], vec![plan]);
    let config = Settings { gateways: 1, meter_period: ms(0), ..config };
    let mut old = Harness::new(config.clone(), 2);
    old.customer_gateways = 1;
    old.handle(Event::ServerDisabled(ServerId(0)));
    for _ in 0..4 {
        assert_eq!(old.serve(0, 0, 7, 10), Some(ServerId(1)));
    }
    let (id, actions) = old.request(0, 0, 7);
    assert!(sent_to(&actions).is_some(), "one attempt is in flight while the next process starts");

    let snapshot = serde_json::to_string(&old.gateway.snapshot()).expect("a serializable snapshot");
    let mut new = Harness::new(config.clone(), 0);
    new.gateway = Gateway::new(config, 43);
    new.gateway.restore(serde_json::from_str(&snapshot).expect("a valid snapshot"));
    (new.now, new.next_id, new.customer_gateways) = (old.now, 1000, 1);
    new.timers.clear();
    new.update_servers(Scope::Full, (0..2).map(server).collect());
    assert!(!new.timers.is_empty(), "its periodic timer is set");
    let notify = |new: &mut Harness, event| drop(new.handle(Event::PeerProcess(event)));
    let (customer, server) = (CustomerId(7), ServerId(1));
    // Five of the twelve units are used. The old process uses five more, which leaves two for the new one.
    old.finish_attempt(id, 0, Status::Ok, 10);
    notify(&mut new, PeerProcessEvent::Ended { customer, server, answered: true });
    for _ in 0..5 {
        assert!(old.serve(0, 0, 7, 10).is_some());
        notify(
            &mut new,
            PeerProcessEvent::Sent { customer, plan: PlanId(0), gateways: 1, units: 1.0, server },
        );
        notify(&mut new, PeerProcessEvent::Ended { customer, server, answered: true });
    }
    let served: Vec<_> = (0..4).map(|_| new.serve(0, 0, 7, 10)).collect();
    assert_eq!(
        served,
        [Some(ServerId(1)), Some(ServerId(1)), None, None],
        "the disabled server is not used, and two units were left"
    );
    // The other process's attempts count towards the customer's concurrency limit until that process has
    // exited.
    for _ in 0..9 {
        notify(
            &mut new,
            PeerProcessEvent::Sent {
                customer: CustomerId(8),
                plan: PlanId(0),
                gateways: 1,
                units: 0.0,
                server,
            },
        );
    }
    assert_eq!(new.serve(0, 0, 8, 10), None);
    notify(&mut new, PeerProcessEvent::Exited);
    assert_eq!(new.serve(0, 0, 8, 10), Some(ServerId(1)));
}

/// Passes in a request with a long body that is still arriving.
fn long_request(harness: &mut Harness, id: u32) -> Vec<Action> {
    harness.handle(Event::Request(NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(1),
        deadline: Time(harness.now + 3_000_000_000),
        units: 1.0,
        gateways: 2,
        is_retry: false,
        body_in_flight: true,
    }))
}

/// The timeout of a request with a long body starts with its last byte. Until then the request does not count
/// towards its customer's concurrency limit, and is no load for the server.
#[test]
fn the_timeout_of_a_long_request_starts_with_its_last_byte() {
    let plan = Plan { max_in_flight: 2, ..unlimited_plan() };
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![plan]), 1);
    for id in 900..905 {
        assert!(
            sent_to(&long_request(&mut harness, id)).is_some(),
            "{id}: none of them counts as in flight yet"
        );
    }
    let actions = harness.advance(20_000);
    assert!(!rejected(&actions) && !failed(&actions), "no response while the body is arriving");
    let (id, attempt) = (RequestId(900), AttemptNo(0));
    let deadline = Time(harness.now + 3_000_000_000);
    harness.handle(Event::BodyWritten { id, attempt, deadline });
    let actions = harness.advance(2900);
    assert!(!rejected(&actions) && !failed(&actions));
    let (_, actions) = harness.request(0, 0, 1);
    assert!(
        rejected(&actions),
        "the written request is in flight, and this gateway's part of the limit is one"
    );
    assert!(failed(&harness.advance(200)), "it may have been executed");
}

/// A request whose body was forwarded is given up, because its body is not available for another attempt.
#[test]
fn a_body_that_was_forwarded_is_not_sent_again() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    assert!(sent_to(&long_request(&mut harness, 900)).is_some());
    let not_retryable =
        Outcome { not_retryable: true, ..outcome(RequestId(900), 0, Status::ConnectFailed, 5) };
    let after = harness.handle(Event::Outcome(not_retryable));
    assert!(sent_to(&after).is_none() && rejected(&after), "it was not executed");
    assert!(sent_to(&long_request(&mut harness, 901)).is_some());
    let after = harness.finish_attempt(RequestId(901), 0, Status::ConnectFailed, 5);
    assert!(sent_to(&after).is_some(), "no part of this body has been forwarded");
}

/// A streamed response counts as complete from its first byte on. The rest of it uses no capacity of its
/// server.
#[test]
fn streamed_responses_take_no_capacity_and_are_not_slow() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 1);
    for n in 0..40 {
        let (id, actions) = harness.request(0, 0, n);
        assert!(sent_to(&actions).is_some(), "request {n} is admitted");
        harness.advance(10);
        harness.handle(Event::StreamStarted { id, attempt: AttemptNo(0) });
    }
    let actions = harness.advance(20_000);
    assert!(!actions.iter().any(|a| matches!(a, Action::Log(_) | Action::Cancel { .. })), "{actions:?}");
    assert!(harness.serve(0, 0, 99, 10).is_some());
    // A streamed response that breaks off is not retried.
    let reset = Outcome { finished: true, ..outcome(RequestId(0), 0, Status::Reset, 20_000) };
    assert!(sent_to(&harness.handle(Event::Outcome(reset))).is_none());
}

/// With most servers in slow start, each gets its share of the rate of a warm one: all servers are used, and
/// none is overloaded.
#[test]
fn servers_in_slow_start_get_their_share_however_many_they_are() {
    let config = Settings { gateways: 1, ..settings(safe_classes(), vec![unlimited_plan()]) };
    let mut harness = Harness::new(config, 7);
    harness.customer_gateways = 1;
    for _ in 0..300 {
        harness.serve(0, 0, 1, 10);
    }
    let started = Some(Time(harness.now));
    let restarted = (0..5).map(|id| ServerInfo { started, ..server(id) }).collect();
    harness.update_servers(Scope::Delta, restarted);
    for second in 0..4 {
        let servers: Vec<_> = (0..100).filter_map(|_| harness.serve(0, 0, 1, 10)).collect();
        let to_slow_start = servers.iter().filter(|server| server.0 < 5).count() as f64 / 100.0;
        // Their capacity rises linearly from a fifth within ten seconds.
        let warm_share = 0.2 + 0.08 * (f64::from(second) + 0.5);
        let expected_share = 5.0 * warm_share / (5.0 * warm_share + 2.0);
        assert_eq!(servers.len(), 100, "all are admitted");
        let accepted = expected_share * 0.6..expected_share * 1.5;
        assert!(
            second == 0 || accepted.contains(&to_slow_start),
            "{to_slow_start} of {expected_share} in second {second}"
        );
    }
}

/// Regression test: a gateway that had sent no requests, with all servers in slow start, never sent any,
/// because each server's share of a send rate of zero is zero. It must use their capacity without overloading
/// any.
#[test]
fn a_new_gateway_uses_servers_that_are_all_in_slow_start() {
    for interval_ms in [50, 20] {
        let mut harness =
            Harness::new(Settings { gateways: 1, ..settings(safe_classes(), vec![unlimited_plan()]) }, 0);
        harness.customer_gateways = 1;
        let started = Some(Time(harness.now));
        harness.update_servers(Scope::Full, (0..6).map(|id| ServerInfo { started, ..server(id) }).collect());
        let mut serve = |seconds: u64| {
            let sent = seconds * 1000 / interval_ms;
            (sent, (0..sent).filter_map(|_| harness.serve(0, 0, 1, interval_ms)).collect::<Vec<_>>())
        };
        serve(4);
        // Slow start lasts ten seconds.
        let (sent, servers) = serve(5);
        assert!(
            servers.len() as u64 * 10 >= sent * 8,
            "{} of {sent}, one every {interval_ms} ms",
            servers.len()
        );
        let mut requests_per_server = BTreeMap::new();
        servers.iter().for_each(|server| *requests_per_server.entry(server).or_insert(0) += 1);
        assert!(
            requests_per_server.values().all(|sends| sends * 6 <= 2 * sent),
            "more than twice an equal share: {requests_per_server:?}"
        );
    }
}

/// After overload, the admitted fraction rises again even though a low fraction itself causes few responses.
#[test]
fn a_low_admitted_fraction_recovers_with_few_responses() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
    // The servers do not respond for a while, so that the gateway reaches its in-flight limits.
    let mut admitted_ids = Vec::new();
    for _ in 0..200 {
        let (id, actions) = harness.request(0, 0, 1);
        admitted_ids.extend(sent_to(&actions).map(|_| id));
        harness.advance(5);
    }
    for id in admitted_ids {
        harness.finish_attempt(id, 0, Status::Ok, 1000);
    }
    let serve = |harness: &mut Harness, seconds: u32| {
        let sent = 100 * seconds;
        let served = (0..sent).filter(|_| {
            let served = harness.serve(0, 0, 1, 5).is_some();
            harness.advance(5);
            served
        });
        served.count() as f64 / f64::from(sent)
    };
    let first = serve(&mut harness, 1);
    serve(&mut harness, 2);
    let later = serve(&mut harness, 1);
    assert!(first < 0.5, "{first}: there was overload");
    assert!(later > 0.9, "{later} admitted three seconds later");
}

/// Returns the servers that each gateway sends to when all listed servers respond at once.
fn subsets(gateways: u32, listed: &[u32]) -> Vec<BTreeSet<u32>> {
    let subset = |gateway_index| {
        let config = Settings { gateways, gateway_index, ..settings(safe_classes(), vec![unlimited_plan()]) };
        let mut harness = Harness::with_seed(config, 0, u64::from(gateway_index));
        harness.update_servers(
            Scope::Full,
            listed.iter().map(|&id| ServerInfo { zone: id % 3, ..server(id) }).collect(),
        );
        (0..200).filter_map(|_| harness.serve(0, 0, 1, 20)).map(|server| server.0).collect()
    };
    (0..gateways).map(subset).collect()
}

/// A hundred gateways that each use sixty servers would have too few responses of each for statistics, and
/// would open thousands of connections. Instead, each prefers a few servers in every zone, all servers are
/// preferred by about equally many gateways, and replacing a server changes few of the subsets.
#[test]
fn many_gateways_each_prefer_a_few_servers_and_cover_all_evenly() {
    let listed: Vec<u32> = (0..60).map(|n| n * 7919 + 5).collect();
    let before = subsets(100, &listed);
    for subset in &before {
        assert!((6..=12).contains(&subset.len()), "{subset:?}");
        assert_eq!(
            subset.iter().map(|id| id % 3).collect::<BTreeSet<_>>().len(),
            3,
            "servers of every zone: {subset:?}"
        );
    }
    let gateways_per_server = |id: &u32| before.iter().filter(|subset| subset.contains(id)).count();
    let (least, most) =
        (listed.iter().map(gateways_per_server).min(), listed.iter().map(gateways_per_server).max());
    assert!(least >= Some(11) && most <= Some(18), "{least:?} to {most:?} gateways per server");
    let replaced: Vec<u32> = listed.iter().map(|&id| if id == 5 { 6 * 7919 + 2 } else { id }).collect();
    let after = subsets(100, &replaced);
    let changed: usize = before.iter().zip(&after).map(|(a, b)| a.difference(b).count()).sum();
    assert!(changed <= 100, "{changed} of 900 subset members changed for one server");
}

/// With few gateways, each uses all servers, because otherwise some servers would get too little of the load.
#[test]
fn few_gateways_use_all_servers() {
    assert!(subsets(3, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]).iter().all(|subset| subset.len() == 12));
    // Extreme values are harmless.
    let too_many = Settings {
        gateways: u32::MAX,
        gateway_index: u32::MAX,
        ..settings(safe_classes(), vec![unlimited_plan()])
    };
    assert!(Harness::new(too_many, 40).serve(0, 0, 1, 20).is_some());
    let none = Settings { gateways: 0, gateway_index: 7, ..settings(safe_classes(), vec![unlimited_plan()]) };
    assert!(Harness::new(none, 2).serve(0, 0, 1, 20).is_some());
}

/// A gateway whose preferred servers all fail uses the others.
#[test]
fn servers_outside_the_subset_are_used_if_its_servers_fail() {
    let config = Settings { gateways: 100, ..settings(safe_classes(), vec![unlimited_plan()]) };
    let mut harness = Harness::new(config, 60);
    let preferred: BTreeSet<_> = (0..100).filter_map(|_| harness.serve(0, 0, 1, 20)).collect();
    assert!(preferred.len() <= 12, "{preferred:?}");
    let mut served = 0;
    for _ in 0..100 {
        let (id, actions) = harness.request(0, 0, 1);
        let mut sent_server = sent_to(&actions);
        for attempt in 0..4 {
            let Some(server) = sent_server else { break };
            let status = if preferred.contains(&server) { Status::ConnectFailed } else { Status::Ok };
            served += u32::from(status == Status::Ok);
            sent_server = sent_to(&harness.finish_attempt(id, attempt, status, 5));
        }
        harness.advance(20);
    }
    assert!(served >= 80, "{served} of 100");
}

/// Regression test: each of many gateways sends a server in slow start only an occasional request. When that
/// request competed with all idle servers on equal terms, the server's tokens were wasted and the warm
/// servers were overloaded.
#[test]
fn servers_in_slow_start_get_their_share_from_many_gateways() {
    let (mut to_slow_start, mut total) = (0, 0);
    for gateway_index in 0..100 {
        let config =
            Settings { gateways: 100, gateway_index, ..settings(safe_classes(), vec![unlimited_plan()]) };
        let mut harness = Harness::with_seed(config, 60, u64::from(gateway_index));
        let serve = |harness: &mut Harness| {
            let server = harness.serve(0, 0, 1, 20);
            harness.advance(230);
            server
        };
        assert_eq!((0..20).filter_map(|_| serve(&mut harness)).count(), 20);
        let started = Some(Time(harness.now));
        harness
            .update_servers(Scope::Delta, (0..30).map(|id| ServerInfo { started, ..server(id) }).collect());
        for _ in 0..16 {
            let server = serve(&mut harness).expect("all are admitted");
            (to_slow_start, total) = (to_slow_start + u32::from(server.0 < 30), total + 1);
        }
    }
    // Their capacity rises linearly from a fifth within ten seconds, of which these are the first four.
    let expected_share = 0.36 / 1.36;
    let share = f64::from(to_slow_start) / f64::from(total);
    assert!((0.75 * expected_share..1.15 * expected_share).contains(&share), "{share} of {expected_share}");
}

/// Regression test: if the other servers were busy or unlisted, a retry with little time left went to a
/// server many times slower than the others of its type. No response could arrive in time, so the client
/// waited until its deadline for nothing.
#[test]
fn a_retry_is_not_sent_to_a_server_too_slow_for_the_time_left() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    let set_other_servers = |harness: &mut Harness, lifecycle: Lifecycle| {
        harness
            .update_servers(Scope::Delta, (1..4).map(|id| ServerInfo { lifecycle, ..server(id) }).collect());
    };
    for _ in 0..60 {
        harness.serve(0, 0, 1, 60);
    }
    for _ in 0..6 {
        set_other_servers(&mut harness, Lifecycle::Draining);
        assert_eq!(harness.serve(0, 0, 1, 780), Some(ServerId(0)), "it is the only server");
        set_other_servers(&mut harness, Lifecycle::Running);
        for _ in 0..30 {
            harness.serve(0, 0, 1, 60);
        }
    }
    // The first attempt fails after `after_ms` ms of the latency target of 800 ms, when only the slow server
    // is left.
    let retry_after = |harness: &mut Harness, after_ms: u64| {
        let (id, actions) = harness.request(0, 0, 1);
        assert!(sent_to(&actions).is_some_and(|server| server != ServerId(0)), "the others are faster");
        set_other_servers(harness, Lifecycle::Draining);
        harness.advance(after_ms);
        let actions = harness.finish_attempt(id, 0, Status::Error, after_ms);
        if sent_to(&actions).is_some() {
            harness.finish_attempt(id, 1, Status::Ok, 60);
        }
        set_other_servers(harness, Lifecycle::Running);
        actions
    };
    let without_time = retry_after(&mut harness, 680);
    assert!(
        rejected(&without_time) && sent_to(&without_time).is_none(),
        "rejected at once, with a retry-after"
    );
    assert_eq!(
        sent_to(&retry_after(&mut harness, 100)),
        Some(ServerId(0)),
        "there is enough time for this retry"
    );
}

/// If all servers are slow, they still get requests, because only their responses show that they have
/// recovered.
#[test]
fn servers_that_are_all_slow_still_get_requests() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for _ in 0..60 {
        harness.serve(0, 0, 1, 60);
    }
    for n in 0..30 {
        assert!(
            harness.serve(0, 0, 1, 780).is_some(),
            "after {n} responses that took almost the latency target of 0.8 s"
        );
    }
}

/// Retries are limited to a share of the first attempts, however many attempts fail.
#[test]
fn the_retry_budget_bounds_retries() {
    for (status, cost) in [(Status::Error, 1.0), (Status::Reset, 0.2)] {
        let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 30);
        let (mut first_attempts, mut retries) = (0, 0);
        for n in 0..2000 {
            let (id, mut actions) = harness.request(0, 0, n % 50);
            let mut attempt = 0;
            while sent_to(&actions).is_some() {
                *if attempt == 0 { &mut first_attempts } else { &mut retries } += 1;
                harness.advance(5);
                actions = harness.finish_attempt(id, attempt, status, 5);
                attempt += 1;
            }
            harness.advance(20);
            assert!(harness.gateway.retry_budget() >= 0.0);
        }
        // Each first attempt adds 0.1 to the retry budget, which holds up to 10; a retry consumes `cost`.
        let max_retries = (0.1 * f64::from(first_attempts) + 10.0) / cost;
        assert!(f64::from(retries) <= max_retries, "{status:?}: {retries} of {first_attempts}");
        assert!(
            f64::from(retries) > 0.8 * max_retries.min(2.9 * f64::from(first_attempts))
                && first_attempts > 500,
            "{status:?}: {retries} of {first_attempts}"
        );
    }
}

/// Regression test: if there was no other server, a first attempt went to a server that had not responded for
/// longer than the response timeout. No response could be expected in time, and the client waited in vain.
#[test]
fn a_first_attempt_is_not_sent_if_even_the_best_server_is_unresponsive() {
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![unlimited_plan()]), 1);
    for _ in 0..40 {
        harness.serve(0, 0, 1, 50);
    }
    harness.advance(1);
    let (id, actions) = harness.request(0, 0, 2);
    assert!(sent_to(&actions).is_some());
    // The response timeout is six mean latencies, and at least half of the latency target of 800 ms.
    harness.advance(500);
    let (_, actions) = harness.request(0, 0, 4);
    assert!(rejected(&actions) && sent_to(&actions).is_none(), "rejected at once, with a retry-after");
    // After one response, the server gets requests again.
    harness.finish_attempt(id, 0, Status::Ok, 500);
    let (_, actions) = harness.request(0, 0, 5);
    assert!(sent_to(&actions).is_some());
}
