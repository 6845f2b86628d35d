//! Quotas of customers that come through many gateways, each of which sees little of them.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn safe_classes() -> Vec<Class> {
    vec![class(Effect::Safe, 1.0)]
}

/// A customer's first try at one of a hundred gateways.
fn first_try(plan: &Plan, number: u32) -> (Harness, NewRequest) {
    let cfg = Settings {
        gateways: 100,
        gateway_index: number,
        max_units: 1.0,
        ..settings(safe_classes(), vec![plan.clone()])
    };
    let request = NewRequest {
        id: RequestId(0),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(1),
        deadline: Time(3_000_000_000),
        units: 1.0,
        gateways: 75,
        is_retry: false,
        body_in_flight: false,
    };
    (Harness::with_seed(cfg, 6, u64::from(number)), request)
}

fn plan() -> Plan {
    Plan { rate: 1.0, burst: 6.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() }
}

/// A customer that comes through many gateways was refused where its quota was known to be used, and its repeat let in as
/// a first ask by the next gateway, which knew nothing of it.
#[test]
fn a_retry_is_no_first_request_where_nothing_is_known_of_its_customer() {
    let admitted = |gateways: u32, repeat: bool| {
        let ask = |number: u32| {
            let (mut harness, request) = first_try(&plan(), number);
            sent_to(&harness.handle(Event::Request(NewRequest { gateways, is_retry: repeat, ..request })))
                .is_some()
        };
        (0..100).filter(|&number| ask(number)).count()
    };
    assert_eq!(admitted(75, false), 100, "first asks");
    assert!(admitted(75, true) <= 20, "{} of 100 repeats", admitted(75, true));
    assert!(admitted(3, true) >= 60, "{} of 100 repeats where a third of all comes", admitted(3, true));
}

/// Of hundreds of gateways each lets in the first ask of a customer that it knows nothing of, and where many customers ask for
/// several times their quotas most of that is beyond them. What the meter tells of others of the plan says how much is.
#[test]
fn unknown_customers_are_taken_for_the_mean_of_their_plan() {
    let admitted = |used: f64| {
        let ask = |number: u32| {
            let (mut harness, request) = first_try(&plan(), number);
            for other in 0..150 {
                harness.customer_gateways = 75;
                let (id, actions) = harness.request(0, 0, 100 + other);
                harness.advance(20);
                if sent_to(&actions).is_some() {
                    harness.handle(Event::Outcome(Outcome {
                        metered_use: Some(used),
                        ..outcome(id, 0, Status::Ok, 20)
                    }));
                }
            }
            let deadline = Time(harness.now + 3_000_000_000);
            let request = NewRequest { id: RequestId(1000), deadline, ..request };
            sent_to(&harness.handle(Event::Request(request))).is_some()
        };
        (0..100).filter(|&number| ask(number)).count()
    };
    assert_eq!(admitted(0.5), 100, "they use half of their quotas");
    // Three times as much as quotas hold is used by those that are let in.
    let some = admitted(3.0);
    assert!((20..=60).contains(&some), "{some} of 100");
}

/// What a customer of a plan (rate, burst, units of a request) is let in with that asks so much of its quota for
/// 25 s, through a hundred and fifty gateways, unevenly and where no meter tells of it: as a share of what it asks,
/// and in quotas.
fn unmetered((rate, burst, units): (f64, f64, f64), use_of_quota: f64, seed: u64) -> (f64, f64) {
    const GATEWAYS: usize = 150;
    let plan = Plan { rate, burst, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let settings = |number| Settings {
        gateways: 200,
        gateway_index: number,
        meter_period: ms(0),
        max_units: 8.0,
        ..settings(safe_classes(), vec![plan.clone()])
    };
    let mut harnesses: Vec<Harness> = (0..GATEWAYS as u32)
        .map(|n| Harness::with_seed(settings(n), 6, seed * 1000 + u64::from(n)))
        .collect();
    let weights: Vec<f64> = (1..=GATEWAYS).map(|n| (n as f64).powf(-1.4)).collect();
    let total: f64 = weights.iter().sum();
    let mut random = Random(seed);
    let (mut asked, mut admitted) = (0.0, 0.0);
    for millis in 0..25_000 {
        if random.uniform() >= use_of_quota * plan.rate / units / 1000.0 {
            continue;
        }
        let mut at = random.uniform() * total;
        let gateway = weights.iter().position(|weight| {
            at -= weight;
            at <= 0.0
        });
        let harness = &mut harnesses[gateway.unwrap_or(0)];
        harness.customer_gateways = GATEWAYS as u32;
        harness.advance(millis - harness.now / 1_000_000);
        let (id, actions) = harness.request_with_units(0, 0, 7, units);
        asked += units;
        if sent_to(&actions).is_some() {
            harness.finish_attempt(id, 0, Status::Ok, 1);
            admitted += units;
        }
    }
    (admitted / asked, admitted / (plan.burst + 25.0 * plan.rate))
}

/// An equal part of a quota among hundreds of gateways holds no request, and without a meter nothing was let in at all.
#[test]
fn without_a_meter_customers_of_many_gateways_are_served_and_heavy_ones_limited() {
    // The dear plan's customers ask much at one gateway each, which tells a calm one from a heavy one the least.
    for (plan, least, most) in [((1.3, 5.0, 1.0), 0.53, 1.2), ((17.0, 34.0, 2.0), 0.35, 1.2)] {
        for seed in 1..=3 {
            let calm: Vec<f64> = (0..10).map(|n| unmetered(plan, 0.4, seed * 10 + n).0).collect();
            let served = calm.iter().sum::<f64>() / calm.len() as f64;
            assert!(served > least, "{served:.2} of what calm customers ask, {plan:?}, seed {seed}");
            let heavy: Vec<f64> = (0..10).map(|n| unmetered(plan, 4.0, seed * 10 + n).1).collect();
            let quotas = heavy.iter().sum::<f64>() / heavy.len() as f64;
            let held = (0.5..most).contains(&quotas);
            assert!(held, "{quotas:.2} quotas to one that asks for four, {plan:?}, seed {seed}");
        }
    }
}
