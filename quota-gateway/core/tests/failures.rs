//! One small test for each failure found.

mod common;
use common::*;
use marblecroft_quota_gateway_core::*;
use std::collections::{BTreeMap, BTreeSet};

fn safe_classes() -> Vec<Class> {
    vec![class(Effect::Safe, 1.0)]
}

/// A request whose server never answers still gets one final answer before its deadline.
#[test]
fn every_request_is_answered_in_time() {
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

/// Keyed work that may have run fails instead of being refused, and is repeated only in its group.
#[test]
fn keyed_requests_stay_in_their_deduplication_scope() {
    let mut harness =
        Harness::new(settings(vec![class(keyed(DeduplicationScope::Zone), 1.0)], vec![unlimited_plan()]), 8);
    for _ in 0..20 {
        let (id, first) = harness.request(0, 0, 1);
        let first = sent_to(&first).expect("room");
        let after = harness.finish_attempt(id, 0, Status::Error, 5);
        if let Some(second) = sent_to(&after) {
            assert_eq!(first.0 % 2, second.0 % 2, "another zone");
            harness.finish_attempt(id, 1, Status::Ok, 5);
        } else {
            assert!(failed(&after) && !rejected(&after));
        }
        harness.advance(500);
    }
    assert!(harness.log.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count() > 20);
}

/// Unsafe work that may have run is neither repeated nor refused; what never ran may be sent again.
#[test]
fn unsafe_requests_are_not_retried() {
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![unlimited_plan()]), 4);
    let (id, _) = harness.request(0, 0, 1);
    let after = harness.finish_attempt(id, 0, Status::ConnectFailed, 5);
    assert!(sent_to(&after).is_some());
    let after = harness.finish_attempt(id, 1, Status::Reset, 5);
    assert!(failed(&after) && sent_to(&after).is_none());
}

/// Nothing goes to a server from the moment that its drain is told.
#[test]
fn draining_servers_get_nothing_at_once() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
    let mut drained = server(0);
    drained.lifecycle = Lifecycle::Draining;
    harness.update_servers(Scope::Delta, vec![drained]);
    for _ in 0..50 {
        assert_ne!(harness.serve(0, 0, 1, 20), Some(ServerId(0)));
    }
    harness.update_servers(Scope::Full, vec![server(0)]);
    assert_eq!(harness.serve(0, 0, 1, 20), Some(ServerId(0)), "the other left the list");
}

/// One gateway of two sends on no more than its half of a ceiling, which starts empty but for the slack.
#[test]
fn rate_limit_is_kept_by_local_parts() {
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

/// A part of a ceiling fills from the gateway's start: a customer's first request after that finds it.
#[test]
fn rate_limit_bucket_fills_from_the_start_of_the_gateway() {
    let plan = Plan { rate_limit: 2.0, rate_limit_burst: 10.0, ..unlimited_plan() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan]), 4);
    assert!(rejected(&harness.request_with_units(0, 0, 1, 3.0).1));
    harness.advance(3000);
    assert!(sent_to(&harness.request_with_units(0, 0, 2, 3.0).1).is_some());
}

/// A cold server is sent its part of what warm ones bear, not an equal one.
#[test]
fn warming_up_server_gets_its_share() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for _ in 0..100 {
        harness.serve(0, 0, 1, 20);
    }
    let mut cold = server(9);
    cold.started = Some(Time(harness.now));
    harness.update_servers(Scope::Delta, vec![cold]);
    let to_cold = (0..75).filter(|_| harness.serve(0, 0, 1, 20) == Some(ServerId(9))).count();
    // 50 a second over four servers bear 12.5 each; a fifth of that for 1.5 s, and a window's worth saved up.
    assert!((1..=8).contains(&to_cold), "{to_cold}");
}

/// A queue that was reported once, by servers that then got no requests, held f at its least for good.
#[test]
fn stale_load_reports_expire() {
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
    assert!(rejected(&harness.request(0, 0, 1).1), "a backlog of 500 sheds");
    for _ in 0..400 {
        harness.serve(0, 0, 1, 50);
    }
    let admitted = (0..20).filter(|_| harness.serve(0, 0, 1, 50).is_some()).count();
    assert_eq!(admitted, 20);
}

/// One silent server of many is left; all servers slow is shed and ejects none.
#[test]
fn one_unresponsive_server_is_distinguished_from_a_slow_fleet() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 6);
    let mut to_silent = 0;
    for i in 0..300 {
        let (id, actions) = harness.request(0, 0, 1);
        harness.advance(20);
        match sent_to(&actions) {
            Some(ServerId(0)) => to_silent += usize::from(i > 150),
            Some(_) => {
                harness.finish_attempt(id, 0, Status::Ok, 20);
            }
            None => {}
        }
    }
    assert!(to_silent <= 5, "{to_silent} sent into silence");

    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    let mut out = Vec::new();
    for _ in 0..200 {
        let (id, actions) = harness.request(0, 0, 1);
        if sent_to(&actions).is_some() {
            out.push((harness.now, id));
        }
        harness.advance(20);
        while out.first().is_some_and(|&(at, _)| harness.now - at >= 900_000_000) {
            let (_, id) = out.remove(0);
            harness.finish_attempt(id, 0, Status::Ok, 900);
        }
    }
    assert!(harness.log.iter().any(|(_, a)| matches!(a, Action::Reject { .. })), "sheds");
    let (_, last) = harness.request(0, 0, 1);
    assert!(sent_to(&last).is_some() || rejected(&last));
}

/// Under pressure the cheap class is refused and the dear one served.
#[test]
fn the_lowest_value_is_shed_first() {
    let classes = vec![class(Effect::Safe, 1.0), class(Effect::Safe, 5.0)];
    let mut harness = Harness::new(settings(classes, vec![unlimited_plan()]), 2);
    let mut out = Vec::new();
    let mut served = [0, 0];
    for i in 0..600 {
        let kind = usize::from(i % 4 == 0);
        let (id, actions) = harness.request(kind, 0, 1);
        if sent_to(&actions).is_some() {
            out.push((harness.now, id));
            served[kind] += usize::from(i > 200);
        }
        harness.advance(10);
        while out.first().is_some_and(|&(at, _)| harness.now - at >= 200_000_000) {
            let (_, id) = out.remove(0);
            harness.finish_attempt(id, 0, Status::Ok, 200);
        }
    }
    let (cheap, dear) = (served[0] as f64 / 300.0, served[1] as f64 / 100.0);
    assert!(dear > cheap + 0.2, "dear {dear}, cheap {cheap}");
}

/// Beyond its quota a hard plan is refused with a retry-after, a soft one passes where there is room.
#[test]
fn hard_quotas_reject_and_soft_plans_pass() {
    let hard = Plan { rate: 2.0, burst: 4.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let soft = Plan { over_quota_value: 0.5, over_quota_cost: 0.0, ..hard.clone() };
    let mut harness = Harness::new(settings(safe_classes(), vec![hard, soft]), 20);
    let through = |harness: &mut Harness, plan: usize| {
        (0..40).filter(|_| harness.serve(0, plan, plan as u64, 10).is_some()).count()
    };
    let (hard, soft) = (through(&mut harness, 0), through(&mut harness, 1));
    assert!((2..=8).contains(&hard), "{hard}");
    assert_eq!(soft, 40);
}

/// Absurd settings and reports neither panic nor stop the gateway from answering.
#[test]
fn absurd_numbers_do_no_harm() {
    let plan = Plan { rate: f64::NAN, burst: f64::NEG_INFINITY, price: f64::INFINITY, ..Plan::default() };
    let mut odd = settings(safe_classes(), vec![plan, unlimited_plan()]);
    odd.slow_start_initial_share = f64::NAN;
    odd.gateways = 0;
    let mut harness = Harness::new(odd, 2);
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

/// A server that failed was left for good when nothing cleared its failures: it is tried again after a while.
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

/// With many gateways the open cap counts what the others have out.
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

/// Backlog that tips over, and many gateways with one attempt each at every server: what a gateway has out is bounded,
/// and beyond the quota more tightly.
#[test]
fn attempts_in_flight_are_bounded() {
    let soft = Plan { rate: 0.001, burst: 0.001, price: 1.0, over_quota_value: 0.5, ..Plan::default() };
    let out = |gateways: u32, plan: usize| {
        let mut cfg = settings(safe_classes(), vec![unlimited_plan(), soft.clone()]);
        cfg.gateways = gateways;
        let mut harness = Harness::new(cfg, 10);
        (0..200).filter(|_| sent_to(&harness.request(0, plan, 1).1).is_some()).count()
    };
    let (few, many, beyond) = (out(3, 0), out(30, 0), out(3, 1));
    assert!((5..=30).contains(&few), "{few}");
    assert!(many < few / 2 && many > 0, "{many} of {few}");
    assert!(beyond < few && beyond > 0, "{beyond} of {few}");
}

/// Attempts that hang at a silent server are called off, so that they stop filling their customer's open cap.
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
    let called = harness.log.iter().filter(|(_, a)| matches!(a, Action::Cancel { .. })).count();
    assert!(hung > 0 && called >= hung, "{called} of {hung}");
}

/// One class failing at a server that serves the rest: any answer cleared its failures and it kept its share.
#[test]
fn one_class_fails_at_a_server_that_serves_the_rest() {
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
    assert!(sends[0] >= 40, "the class it serves goes on: {sends:?}");
    assert!(sends[1] <= 15, "the class that fails there is sent elsewhere: {sends:?}");
    assert!(harness.log.iter().any(|(_, a)| matches!(a, Action::Log(l) if l == "server 0 fails class 1")));
}

/// A restarted server got nothing for its whole ramp when each of hundreds of gateways waited for a send of its own.
#[test]
fn hundreds_of_gateways_share_a_warming_up_server_by_chance() {
    let mut to_cold = 0;
    for seed in 0..200 {
        let mut cfg = settings(safe_classes(), vec![unlimited_plan()]);
        cfg.gateways = 200;
        let mut harness = Harness::with_seed(cfg, 4, seed);
        for _ in 0..10 {
            harness.serve(0, 0, 1, 500);
        }
        let mut cold = server(9);
        cold.started = Some(Time(harness.now));
        harness.update_servers(Scope::Delta, vec![cold]);
        to_cold += (0..8).filter(|_| harness.serve(0, 0, 1, 500) == Some(ServerId(9))).count();
    }
    // 400 a second over five servers: 80 each, of which a fifth rising to half over four seconds.
    assert!((20..=160).contains(&to_cold), "{to_cold}");
}

/// A single late answer at a gateway that sees few moved f, which ends at 1 and so only fell.
#[test]
fn one_late_answer_in_a_few_sheds_nothing() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for i in 0..60 {
        harness.serve(0, 0, 1, if i % 12 == 11 { 1500 } else { 40 });
        harness.advance(400);
    }
    assert!(!harness.log.iter().any(|(_, a)| matches!(a, Action::Log(l) if l.starts_with("shedding"))));
}

/// Of a hundred gateways each left more room for the others than a store holds, and refused a large request at first
/// sight; and what the store holds was taken by all of them at once.
#[test]
fn quota_left_over_is_split_among_gateways_by_chance() {
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

/// Clients with little time left took quota and server work for answers that could not come in their time.
#[test]
fn a_request_without_time_for_an_answer_is_rejected() {
    let plan = Plan { rate: 0.001, burst: 40.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan, unlimited_plan()]), 4);
    for _ in 0..100 {
        harness.serve(0, 1, 1, 300);
    }
    let short = |harness: &mut Harness, left: u64| {
        let id = RequestId(1_000_000 + harness.next_id);
        harness.next_id += 1;
        harness.handle(Event::Request(NewRequest {
            id,
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(7),
            deadline: Time(harness.now + left * 1_000_000),
            units: 1.0,
            gateways: 2,
            is_retry: false,
            body_in_flight: false,
        }))
    };
    // Answers take 300 ms: 100 ms are too little, 250 ms may do.
    let late = (0..50).filter(|_| rejected(&short(&mut harness, 100))).count();
    assert_eq!(late, 50);
    assert!(sent_to(&short(&mut harness, 250)).is_some(), "the quota was not spent on them");
}

/// Half of all tries were clients' repeats, most of them past their aim: served, they earned nothing, and took the
/// quota from first tries.
#[test]
fn a_retry_past_its_latency_target_takes_no_quota() {
    let plan = Plan { rate: 0.001, burst: 40.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut harness = Harness::new(settings(safe_classes(), vec![plan]), 4);
    let ask = |harness: &mut Harness, wait: u64, repeat: bool| {
        let id = RequestId(1_000_000 + harness.next_id);
        harness.next_id += 1;
        let actions = harness.handle(Event::Request(NewRequest {
            id,
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(7),
            deadline: Time(harness.now + wait * 1_000_000),
            units: 1.0,
            gateways: 2,
            is_retry: repeat,
            body_in_flight: false,
        }));
        let admitted = sent_to(&actions).is_some();
        if admitted {
            harness.finish_attempt(id, 0, Status::Ok, 10);
        }
        admitted
    };
    assert!(ask(&mut harness, 2500, true), "no first try has result yet how long they wait");
    // Of the deadline's three seconds a first try is given 2.4 s; the aim is 0.8 s.
    assert!(ask(&mut harness, 2400, false));
    assert!(ask(&mut harness, 2395, true), "it may have begun just now");
    assert!(ask(&mut harness, 2300, true), "begun 0.7 s ago, which leaves time for an answer");
    let late = (0..30).filter(|n| ask(&mut harness, 500 + 50 * n, true)).count();
    assert_eq!(late, 0, "begun more than 0.8 s ago");
    assert!(ask(&mut harness, 1000, false), "a first try may be given less");
    assert!((0..10).all(|_| ask(&mut harness, 2400, false)), "the quota was not spent");
}

/// Clients were told to come back after the aim, for answers worth nothing, also where the units were almost there.
#[test]
fn a_rejection_advises_when_to_retry() {
    let advice = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after.as_millis()),
            _ => None,
        })
    };
    // Half of the quota's two units are this gateway's, and half a unit a second.
    let plan = Plan { rate: 1.0, burst: 2.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let unmetered =
        Settings { meter_period: ms(0), ..settings(safe_classes(), vec![plan, unlimited_plan()]) };
    let mut harness = Harness::new(unmetered, 4);
    assert!(harness.serve(0, 0, 7, 10).is_some());
    assert_eq!(
        advice(&harness.request(0, 0, 7).1),
        Some(200),
        "a quarter of the aim, though it takes two seconds"
    );
    harness.advance(1890);
    let soon = advice(&harness.request(0, 0, 7).1).expect("a refusal");
    assert!((90..=110).contains(&soon), "{soon} ms, when the unit is there");
    // Nothing answers, until no server has room.
    let full = (0..100).find_map(|_| advice(&harness.request(0, 1, 1).1));
    assert_eq!(full, Some(200), "an overload's refusal too");
}

/// A single request in a period of the meter reads as far more than the rate, and counted as the customer's use for
/// a minute: its whole store seemed spent, and what was beyond the slice was refused.
#[test]
fn one_high_meter_reading_does_not_empty_the_bucket() {
    let plan = Plan { rate: 1.0, burst: 12.0, price: 1.0, over_quota_cost: 1.2, ..Plan::default() };
    let mut admitted = [0, 0];
    for (steady, admitted) in admitted.iter_mut().enumerate() {
        for seed in 0..100 {
            let single = Settings { max_units: 1.0, ..settings(safe_classes(), vec![plan.clone()]) };
            let mut harness = Harness::with_seed(single, 4, seed);
            for n in 0..8 {
                let (id, _) = harness.request(0, 0, 1);
                harness.advance(50);
                let mut result = outcome(id, 0, Status::Ok, 50);
                result.metered_use = Some(if steady == 1 || n == 7 { 4.0 } else { 0.0 });
                harness.handle(Event::Outcome(result));
                harness.advance(3000);
            }
            // Six units are this gateway's; more is in the whole store, unless others use it.
            let serves = (0..12).filter(|_| harness.serve(0, 0, 1, 1).is_some()).count();
            *admitted += serves.saturating_sub(6);
        }
    }
    assert!(admitted[0] >= 10, "{admitted:?}: one such reading");
    assert_eq!(admitted[1], 0, "{admitted:?}: the others use it all the time");
}

/// A client that hung up took its attempt along, which counted as its server's failure: the server was shunned for
/// seconds.
#[test]
fn a_disconnected_client_does_not_count_against_the_server() {
    // Two at a time go to both servers, unless one is shunned.
    let both_used = |harness: &mut Harness| {
        let asked: Vec<_> = (0..2).map(|_| harness.request(0, 0, 1)).collect();
        harness.advance(160);
        for (id, _) in &asked {
            harness.finish_attempt(*id, 0, Status::Ok, 160);
        }
        sent_to(&asked[0].1) != sent_to(&asked[1].1)
    };
    for hangs_up in [true, false] {
        let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
        assert!((0..10).all(|_| both_used(&mut harness)));
        let (id, _) = harness.request(0, 0, 1);
        harness.advance(5);
        if hangs_up {
            harness.handle(Event::ClientDisconnected(id));
        }
        harness.finish_attempt(id, 0, Status::Cancelled, 5);
        harness.advance(160);
        harness.finish_attempt(id, 1, Status::Ok, 160);
        let used = (0..5).filter(|_| both_used(&mut harness)).count();
        assert_eq!(used, if hangs_up { 5 } else { 0 }, "hangs up: {hangs_up}");
    }
}

/// A customer's last units went to whoever came first, and the class of more worth was refused behind the other.
#[test]
fn the_last_units_are_left_to_the_most_valuable_class() {
    let classes = || vec![class(Effect::Safe, 3.0), class(Effect::Unsafe, 2.0)];
    let plan = |burst: f64| Plan { rate: 0.001, burst, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let plans = vec![plan(4.0), plan(2.0)];
    let unmetered = Settings { meter_period: ms(0), ..settings(classes(), plans) };
    let mut harness = Harness::new(unmetered, 4);
    // Half of the store is this gateway's: two units.
    assert!(harness.serve(1, 0, 7, 10).is_some(), "there is enough for both");
    assert!(harness.serve(1, 0, 7, 10).is_none(), "the last one");
    assert!(harness.serve(0, 0, 7, 10).is_some(), "is the dearer class's");
    assert!(harness.serve(0, 0, 7, 10).is_none(), "and the quota is spent");
    assert!(harness.serve(1, 1, 8, 10).is_some(), "a store of one unit, when full, lets in either");
}

/// A reading of the meter was dropped after some seconds, and a heavy customer seen seldom was new each time.
#[test]
fn a_heavy_customer_is_remembered_between_rare_requests() {
    let plan = Plan { rate: 1.0, burst: 6.0, price: 1.0, over_quota_cost: 1.2, ..Plan::default() };
    let mut admitted = [0, 0];
    for (heavy, admitted) in admitted.iter_mut().enumerate() {
        let mut harness = Harness::new(settings(safe_classes(), vec![plan.clone()]), 4);
        harness.customer_gateways = 100;
        for _ in 0..10 {
            let (id, actions) = harness.request_with_units(0, 0, 1, 2.0);
            harness.advance(50);
            if sent_to(&actions).is_some() {
                *admitted += 1;
                let mut result = outcome(id, 0, Status::Ok, 50);
                result.metered_use = Some(if heavy == 1 { 4.0 } else { 0.3 });
                harness.handle(Event::Outcome(result));
            }
            harness.advance(15_000);
        }
    }
    assert!(admitted[0] >= 9 && admitted[1] <= 5, "{admitted:?}");
}

/// A ceiling is kept by all gateways together, through restarts: each has its part and starts it nearly empty.
#[test]
fn a_rate_limit_holds_across_gateways_and_restarts() {
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
    let (mut store, mut sends) = (48.0_f64, 0);
    for tick in 0..600 {
        store = (store + 8.0 * 0.05).min(48.0);
        // Every gateway restarts once within two seconds, while the customer asks all it can.
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
                    store -= units;
                    sends += 1;
                }
            }
            harness.advance(50);
        }
        assert!(store >= -6.0, "{store} after {tick} steps");
    }
    assert!(sends >= 100, "{sends}");
}

/// A gateway with more than its part of the traffic has room for two attempts at each of a few servers, however
/// many gateways there are.
#[test]
fn a_busy_gateway_is_not_bound_to_one_attempt_at_each_server() {
    let mut settings = settings(safe_classes(), vec![unlimited_plan()]);
    settings.gateways = 4;
    let mut harness = Harness::new(settings, 3);
    for n in 0..4 {
        let (_, actions) = harness.request(0, 0, 1);
        assert!(sent_to(&actions).is_some(), "request {n} of four to three servers");
    }
}

/// A server that the operators leave out gets nothing whatever the list says, be it that it starts anew.
#[test]
fn a_disabled_server_gets_nothing_until_it_is_enabled() {
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
    let next: Vec<_> = (0..100).map(|_| harness.serve(0, 0, 1, 10)).collect();
    assert!(next.contains(&Some(ServerId(0))), "it gets work within a second");
    // One that was never left out is not taken for one that was.
    harness.handle(Event::ServerEnabled(ServerId(1)));
    assert!((0..10).any(|_| harness.serve(0, 0, 1, 10) == Some(ServerId(1))));
}

/// A restart of a server that was left out becomes known late: until then it is not taken for warm, and however slow
/// it was before, it is sent something.
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
        let hits = (0..tries).filter(|_| harness.serve(0, 0, 1, 10) == Some(ServerId(0))).count();
        hits as f64 / tries as f64
    };
    let cold = share(&mut harness, 400);
    assert!(cold > 0.0 && cold < 0.2, "{cold}: a third would push a cold server over");
    harness.advance(3000);
    let warm = share(&mut harness, 400);
    assert!(warm > 0.25, "{warm}: the list has result of no restart");
}

/// A process that replaces another one goes on with its accounts, and the two keep them together while both live.
#[test]
fn an_upgrade_counts_nothing_twice_and_loses_nothing() {
    let plan = Plan {
        rate: 0.001,
        burst: 12.0,
        price: 1.0,
        over_quota_cost: 1.0,
        max_in_flight: 8,
        ..Plan::default()
    };
    let cfg = settings(vec![class(Effect::Safe, 1.0)], vec![plan]);
    let cfg = Settings { gateways: 1, meter_period: ms(0), ..cfg };
    let mut old = Harness::new(cfg.clone(), 2);
    old.customer_gateways = 1;
    old.handle(Event::ServerDisabled(ServerId(0)));
    for _ in 0..4 {
        assert_eq!(old.serve(0, 0, 7, 10), Some(ServerId(1)));
    }
    let (id, actions) = old.request(0, 0, 7);
    assert!(sent_to(&actions).is_some(), "one is out while the next process starts");

    let memory = serde_json::to_string(&old.gateway.snapshot()).expect("written");
    let mut new = Harness::new(cfg.clone(), 0);
    new.gateway = Gateway::new(cfg, 43);
    new.gateway.restore(serde_json::from_str(&memory).expect("read"));
    (new.now, new.next_id, new.customer_gateways) = (old.now, 1000, 1);
    new.timers.clear();
    new.update_servers(Scope::Full, (0..2).map(server).collect());
    assert!(!new.timers.is_empty(), "its clockwork runs");
    let result = |new: &mut Harness, news| drop(new.handle(Event::PeerProcess(news)));
    let (customer, server) = (CustomerId(7), ServerId(1));
    // Five of the twelve units are taken; the old one takes five more, then each is refused at the end of them.
    old.finish_attempt(id, 0, Status::Ok, 10);
    result(&mut new, PeerProcessEvent::Ended { customer, server, answered: true });
    for _ in 0..5 {
        assert!(old.serve(0, 0, 7, 10).is_some());
        result(
            &mut new,
            PeerProcessEvent::Sent { customer, plan: PlanId(0), gateways: 1, units: 1.0, server },
        );
        result(&mut new, PeerProcessEvent::Ended { customer, server, answered: true });
    }
    let served: Vec<_> = (0..4).map(|_| new.serve(0, 0, 7, 10)).collect();
    assert_eq!(served, [Some(ServerId(1)), Some(ServerId(1)), None, None], "left out, and two units left");
    // What the other has out counts against the customer's attempts at once, until it is gone.
    for _ in 0..9 {
        result(
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
    result(&mut new, PeerProcessEvent::Gone);
    assert_eq!(new.serve(0, 0, 8, 10), Some(ServerId(1)));
}

/// A request whose body is long, as it arrives.
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

/// A long body takes its time on the way: the request's own begins with the last byte, and until then it is not one
/// of the attempts that its customer may have out, nor work for the server.
#[test]
fn the_time_of_a_long_request_begins_with_its_last_byte() {
    let plan = Plan { max_in_flight: 2, ..unlimited_plan() };
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![plan]), 1);
    for id in 900..905 {
        assert!(sent_to(&long_request(&mut harness, id)).is_some(), "{id}: none of them is out yet");
    }
    let passed = harness.advance(20_000);
    assert!(!rejected(&passed) && !failed(&passed), "it is waited for while it gets on");
    let (id, attempt) = (RequestId(900), AttemptNo(0));
    let deadline = Time(harness.now + 3_000_000_000);
    harness.handle(Event::BodyWritten { id, attempt, deadline });
    let passed = harness.advance(2900);
    assert!(!rejected(&passed) && !failed(&passed));
    let (_, more) = harness.request(0, 0, 1);
    assert!(rejected(&more), "what is written is out: the cap leaves this gateway one");
    assert!(failed(&harness.advance(200)), "it may have run");
}

/// What may be sent but once is given up when it has been: no other attempt could carry it.
#[test]
fn a_body_that_was_forwarded_is_not_sent_again() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    assert!(sent_to(&long_request(&mut harness, 900)).is_some());
    let gone = Outcome { not_retryable: true, ..outcome(RequestId(900), 0, Status::ConnectFailed, 5) };
    let after = harness.handle(Event::Outcome(gone));
    assert!(sent_to(&after).is_none() && rejected(&after), "it never ran");
    assert!(sent_to(&long_request(&mut harness, 901)).is_some());
    let after = harness.finish_attempt(RequestId(901), 0, Status::ConnectFailed, 5);
    assert!(sent_to(&after).is_some(), "nothing of this one has been passed on");
}

/// A long answer is an answer from its first byte on, and what passes of it later takes no room at its server.
#[test]
fn streamed_answers_take_no_capacity_and_are_not_slow() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 1);
    for n in 0..40 {
        let (id, actions) = harness.request(0, 0, n);
        assert!(sent_to(&actions).is_some(), "{n} of them pass");
        harness.advance(10);
        harness.handle(Event::StreamStarted { id, attempt: AttemptNo(0) });
    }
    let passed = harness.advance(20_000);
    assert!(!passed.iter().any(|a| matches!(a, Action::Log(_) | Action::Cancel { .. })), "{passed:?}");
    assert!(harness.serve(0, 0, 99, 10).is_some());
    // One that breaks off has had its answer, and has no other attempt.
    let broken = Outcome { finished: true, ..outcome(RequestId(0), 0, Status::Reset, 20_000) };
    assert!(sent_to(&harness.handle(Event::Outcome(broken))).is_none());
}

/// With most servers cold, each gets its part of what a warm one is sent: the whole fleet is used, and no cold one
/// more than it can do.
#[test]
fn warming_up_servers_get_their_share_however_many_they_are() {
    let cfg = Settings { gateways: 1, ..settings(safe_classes(), vec![unlimited_plan()]) };
    let mut harness = Harness::new(cfg, 7);
    harness.customer_gateways = 1;
    for _ in 0..300 {
        harness.serve(0, 0, 1, 10);
    }
    let started = Some(Time(harness.now));
    let cold = (0..5).map(|id| ServerInfo { started, ..server(id) }).collect();
    harness.update_servers(Scope::Delta, cold);
    for second in 0..4 {
        let picks: Vec<_> = (0..100).filter_map(|_| harness.serve(0, 0, 1, 10)).collect();
        let to_cold = picks.iter().filter(|server| server.0 < 5).count() as f64 / 100.0;
        // They warm evenly from a fifth in ten seconds.
        let warmth = 0.2 + 0.08 * (f64::from(second) + 0.5);
        let part = 5.0 * warmth / (5.0 * warmth + 2.0);
        assert_eq!(picks.len(), 100, "all are let in");
        let near = part * 0.6..part * 1.5;
        assert!(second == 0 || near.contains(&to_cold), "{to_cold} of {part} in second {second}");
    }
}

/// A gateway that has sent nothing yet, before servers that are all cold, serves at what they bear: it knows of no warm one's
/// rate, and parts of nothing kept it from ever sending. What all of them are sent stays under what pushes one over.
#[test]
fn a_gateway_that_starts_before_warming_up_servers_alone_serves() {
    for gap in [50, 20] {
        let mut harness =
            Harness::new(Settings { gateways: 1, ..settings(safe_classes(), vec![unlimited_plan()]) }, 0);
        harness.customer_gateways = 1;
        let started = Some(Time(harness.now));
        harness.update_servers(Scope::Full, (0..6).map(|id| ServerInfo { started, ..server(id) }).collect());
        let mut serve = |seconds: u64| {
            let tries = seconds * 1000 / gap;
            (tries, (0..tries).filter_map(|_| harness.serve(0, 0, 1, gap)).collect::<Vec<_>>())
        };
        serve(4);
        // They are not warm before ten seconds are over.
        let (tries, picks) = serve(5);
        assert!(picks.len() as u64 * 10 >= tries * 8, "{} of {tries}, one each {gap} ms", picks.len());
        let mut of_each = BTreeMap::new();
        picks.iter().for_each(|server| *of_each.entry(server).or_insert(0) += 1);
        assert!(of_each.values().all(|sends| sends * 6 <= 2 * tries), "twice its even part: {of_each:?}");
    }
}

/// After a jam the fraction let in rises again though few answers come, as it keeps them from coming itself.
#[test]
fn a_low_admitted_fraction_does_not_starve_itself_of_answers() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 2);
    // All that comes finds no room while the servers say nothing for a while.
    let mut jam = Vec::new();
    for _ in 0..200 {
        let (id, actions) = harness.request(0, 0, 1);
        jam.extend(sent_to(&actions).map(|_| id));
        harness.advance(5);
    }
    for id in jam {
        harness.finish_attempt(id, 0, Status::Ok, 1000);
    }
    let serve = |harness: &mut Harness, seconds: u32| {
        let tries = 100 * seconds;
        let served = (0..tries).filter(|_| {
            let served = harness.serve(0, 0, 1, 5).is_some();
            harness.advance(5);
            served
        });
        served.count() as f64 / f64::from(tries)
    };
    let first = serve(&mut harness, 1);
    serve(&mut harness, 2);
    let then = serve(&mut harness, 1);
    assert!(first < 0.5, "{first}: a jam it was");
    assert!(then > 0.9, "{then} let in three seconds later");
}

/// The servers that each of so many gateways sends to, of the listed ones, when each answers at once.
fn sets(gateways: u32, listed: &[u32]) -> Vec<BTreeSet<u32>> {
    let set = |number| {
        let cfg =
            Settings { gateways, gateway_index: number, ..settings(safe_classes(), vec![unlimited_plan()]) };
        let mut harness = Harness::with_seed(cfg, 0, u64::from(number));
        harness.update_servers(
            Scope::Full,
            listed.iter().map(|&id| ServerInfo { zone: id % 3, ..server(id) }).collect(),
        );
        (0..200).filter_map(|_| harness.serve(0, 0, 1, 20)).map(|server| server.0).collect()
    };
    (0..gateways).map(set).collect()
}

/// A hundred gateways that choose over sixty servers know none of them and open thousands of connections. Each prefers
/// a few, all servers have as many gateways, no zone is left out, and a server replaced moves few.
#[test]
fn many_gateways_each_prefer_a_few_servers_and_cover_all_evenly() {
    let listed: Vec<u32> = (0..60).map(|n| n * 7919 + 5).collect();
    let before = sets(100, &listed);
    for set in &before {
        assert!((6..=12).contains(&set.len()), "{set:?}");
        assert_eq!(set.iter().map(|id| id % 3).collect::<BTreeSet<_>>().len(), 3, "of every zone: {set:?}");
    }
    let takers = |id: &u32| before.iter().filter(|set| set.contains(id)).count();
    let (least, most) = (listed.iter().map(takers).min(), listed.iter().map(takers).max());
    assert!(least >= Some(11) && most <= Some(18), "{least:?} to {most:?} gateways a server");
    let replaced: Vec<u32> = listed.iter().map(|&id| if id == 5 { 6 * 7919 + 2 } else { id }).collect();
    let after = sets(100, &replaced);
    let moved: usize = before.iter().zip(&after).map(|(a, b)| a.difference(b).count()).sum();
    assert!(moved <= 100, "{moved} of 900 places moved for one server");
}

/// The same choice with a few gateways: each needs all servers, as there are no others to share the work.
#[test]
fn few_gateways_use_all_servers() {
    assert!(sets(3, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]).iter().all(|set| set.len() == 12));
    // Odd settings are harmless.
    let odd = Settings {
        gateways: u32::MAX,
        gateway_index: u32::MAX,
        ..settings(safe_classes(), vec![unlimited_plan()])
    };
    assert!(Harness::new(odd, 40).serve(0, 0, 1, 20).is_some());
    let none = Settings { gateways: 0, gateway_index: 7, ..settings(safe_classes(), vec![unlimited_plan()]) };
    assert!(Harness::new(none, 2).serve(0, 0, 1, 20).is_some());
}

/// A gateway whose own servers all fail sends to the others.
#[test]
fn a_subset_whose_servers_fail_is_widened() {
    let cfg = Settings { gateways: 100, ..settings(safe_classes(), vec![unlimited_plan()]) };
    let mut harness = Harness::new(cfg, 60);
    let own: BTreeSet<_> = (0..100).filter_map(|_| harness.serve(0, 0, 1, 20)).collect();
    assert!(own.len() <= 12, "{own:?}");
    let mut served = 0;
    for _ in 0..100 {
        let (id, actions) = harness.request(0, 0, 1);
        let mut to = sent_to(&actions);
        for attempt in 0..4 {
            let Some(server) = to else { break };
            let status = if own.contains(&server) { Status::ConnectFailed } else { Status::Ok };
            served += u32::from(status == Status::Ok);
            to = sent_to(&harness.finish_attempt(id, attempt, status, 5));
        }
        harness.advance(20);
    }
    assert!(served >= 80, "{served} of 100");
}

/// A cold server's part is a send now and then from each of many gateways. Where it waited for its turn among all servers
/// that were free, what it could have had meanwhile was lost, and the warm ones drowned beside it.
#[test]
fn warming_up_servers_get_their_share_from_many_gateways() {
    let (mut to_cold, mut all) = (0, 0);
    for number in 0..100 {
        let cfg = Settings {
            gateways: 100,
            gateway_index: number,
            ..settings(safe_classes(), vec![unlimited_plan()])
        };
        let mut harness = Harness::with_seed(cfg, 60, u64::from(number));
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
            let server = serve(&mut harness).expect("all are let in");
            (to_cold, all) = (to_cold + u32::from(server.0 < 30), all + 1);
        }
    }
    // They warm evenly from a fifth in ten seconds, of which these are the first four.
    let part = 0.36 / 1.36;
    let share = f64::from(to_cold) / f64::from(all);
    assert!((0.75 * part..1.15 * part).contains(&share), "{share} of {part}");
}

/// A repeat with little time left went to a server that is many times as slow as its like, where no answer could come in
/// time, when the others were full or gone; the client was kept waiting for nothing.
#[test]
fn a_retry_is_not_sent_to_a_server_too_slow_for_the_time_left() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    let others = |harness: &mut Harness, lifecycle: Lifecycle| {
        harness
            .update_servers(Scope::Delta, (1..4).map(|id| ServerInfo { lifecycle, ..server(id) }).collect());
    };
    for _ in 0..60 {
        harness.serve(0, 0, 1, 60);
    }
    for _ in 0..6 {
        others(&mut harness, Lifecycle::Draining);
        assert_eq!(harness.serve(0, 0, 1, 780), Some(ServerId(0)), "it is the only one");
        others(&mut harness, Lifecycle::Running);
        for _ in 0..30 {
            harness.serve(0, 0, 1, 60);
        }
    }
    // The first attempt's server fails after so long, of the aim of 800 ms, when the slow one alone is left.
    let repeat = |harness: &mut Harness, after: u64| {
        let (id, actions) = harness.request(0, 0, 1);
        assert!(sent_to(&actions).is_some_and(|server| server != ServerId(0)), "the others are quicker");
        others(harness, Lifecycle::Draining);
        harness.advance(after);
        let actions = harness.finish_attempt(id, 0, Status::Error, after);
        if sent_to(&actions).is_some() {
            harness.finish_attempt(id, 1, Status::Ok, 60);
        }
        others(harness, Lifecycle::Running);
        actions
    };
    let late = repeat(&mut harness, 680);
    assert!(rejected(&late) && sent_to(&late).is_none(), "at once, and with a time to come back");
    assert_eq!(sent_to(&repeat(&mut harness, 100)), Some(ServerId(0)), "there is time for this one");
}

/// A fleet that is slow as a whole is no reason to ask nobody: nothing else would show that it has recovered.
#[test]
fn a_fleet_that_is_slow_altogether_still_gets_requests() {
    let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 4);
    for _ in 0..60 {
        harness.serve(0, 0, 1, 60);
    }
    for n in 0..30 {
        assert!(harness.serve(0, 0, 1, 780).is_some(), "after {n} that took almost the aim of 0.8 s");
    }
}

/// Further attempts are a share of the first ones, however much fails.
#[test]
fn the_retry_budget_bounds_retries() {
    for (status, price) in [(Status::Error, 1.0), (Status::Reset, 0.2)] {
        let mut harness = Harness::new(settings(safe_classes(), vec![unlimited_plan()]), 30);
        let (mut first, mut further) = (0, 0);
        for n in 0..2000 {
            let (id, mut actions) = harness.request(0, 0, n % 50);
            let mut attempt = 0;
            while sent_to(&actions).is_some() {
                *if attempt == 0 { &mut first } else { &mut further } += 1;
                harness.advance(5);
                actions = harness.finish_attempt(id, attempt, status, 5);
                attempt += 1;
            }
            harness.advance(20);
            assert!(harness.gateway.retry_budget() >= 0.0);
        }
        // A tenth of one earned with each first send, and ten saved up, at this price.
        let most = (0.1 * f64::from(first) + 10.0) / price;
        assert!(f64::from(further) <= most, "{status:?}: {further} of {first}");
        assert!(
            f64::from(further) > 0.8 * most.min(2.9 * f64::from(first)) && first > 500,
            "{status:?}: {further} of {first}"
        );
    }
}

/// A first attempt went to a server that had been silent beyond doubt, when there was no other: nothing could be expected of
/// it in time, and the client was kept waiting.
#[test]
fn a_first_attempt_is_not_sent_where_even_the_best_server_is_unresponsive() {
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)], vec![unlimited_plan()]), 1);
    for _ in 0..40 {
        harness.serve(0, 0, 1, 50);
    }
    harness.advance(1);
    let (id, actions) = harness.request(0, 0, 2);
    assert!(sent_to(&actions).is_some());
    // Six mean latencies, and half of the aim of 800 ms at least, are its time.
    harness.advance(500);
    let (_, actions) = harness.request(0, 0, 4);
    assert!(rejected(&actions) && sent_to(&actions).is_none(), "at once, and with a time to come back");
    // One answer, and it is asked again.
    harness.finish_attempt(id, 0, Status::Ok, 500);
    let (_, actions) = harness.request(0, 0, 5);
    assert!(sent_to(&actions).is_some());
}
