//! Quotas of customers whose requests come through many gateways, so that each gateway sees only a few of
//! them.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;

fn safe_classes() -> Vec<Class> {
    vec![class(Effect::Safe, 1.0)]
}

/// A customer's first request at one of a hundred gateways.
fn first_request(plan: &Plan, gateway_index: u32) -> (Harness, NewRequest) {
    let cfg = Settings {
        gateways: 100,
        gateway_index,
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
    (Harness::with_seed(cfg, 6, u64::from(gateway_index)), request)
}

fn plan() -> Plan {
    Plan { rate: 1.0, burst: 6.0, price: 1.0, over_quota_cost: 1.0, ..Plan::default() }
}

/// Regression test: a gateway with a meter reading rejected a request over the quota, but the retry was
/// admitted by the next gateway, which had no reading of the customer and counted the retry as its first
/// request.
#[test]
fn a_retry_does_not_count_as_a_first_request_at_a_gateway_without_a_meter_reading() {
    let admitted = |gateways: u32, is_retry: bool| {
        let is_admitted = |gateway_index: u32| {
            let (mut harness, request) = first_request(&plan(), gateway_index);
            sent_to(&harness.handle(Event::Request(NewRequest { gateways, is_retry, ..request }))).is_some()
        };
        (0..100).filter(|&gateway_index| is_admitted(gateway_index)).count()
    };
    assert_eq!(admitted(75, false), 100, "first requests");
    assert!(admitted(75, true) <= 20, "{} of 100 retries", admitted(75, true));
    assert!(admitted(3, true) >= 60, "{} of 100 retries with a third of the traffic here", admitted(3, true));
}

/// Each of hundreds of gateways would admit the first request of a customer that it has no meter reading of.
/// If many customers of a plan use several times their quotas, most of these requests are over the quota. The
/// readings of the plan's other customers show how many are.
#[test]
fn a_customer_without_readings_counts_as_an_average_customer_of_its_plan() {
    let admitted = |used: f64| {
        let is_admitted = |gateway_index: u32| {
            let (mut harness, request) = first_request(&plan(), gateway_index);
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
        (0..100).filter(|&gateway_index| is_admitted(gateway_index)).count()
    };
    assert_eq!(admitted(0.5), 100, "other customers use half of their quotas");
    // Other customers use three times their quotas.
    let some = admitted(3.0);
    assert!((20..=60).contains(&some), "{some} of 100");
}

/// Simulates a customer for 25 s that sends `use_of_quota` times its quota through 150 gateways, unevenly and
/// without a meter. The plan is given as rate, burst and units per request. Returns the admitted units as a
/// share of the requested units, and as a share of the quota.
fn simulate_unmetered((rate, burst, units): (f64, f64, f64), use_of_quota: f64, seed: u64) -> (f64, f64) {
    const GATEWAYS: usize = 150;
    let plan = Plan { rate, burst, price: 1.0, over_quota_cost: 1.0, ..Plan::default() };
    let settings = |gateway_index| Settings {
        gateways: 200,
        gateway_index,
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
    let (mut requested, mut admitted) = (0.0, 0.0);
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
        requested += units;
        if sent_to(&actions).is_some() {
            harness.finish_attempt(id, 0, Status::Ok, 1);
            admitted += units;
        }
    }
    (admitted / requested, admitted / (plan.burst + 25.0 * plan.rate))
}

/// Regression test: with hundreds of gateways, an equal slice of a quota is smaller than one request, and
/// without a meter nothing was admitted.
#[test]
fn without_a_meter_light_customers_of_many_gateways_are_served_and_heavy_ones_limited() {
    // Customers of the second plan send much through one gateway each, which makes light and heavy customers
    // the hardest to distinguish.
    for (plan, least, most) in [((1.3, 5.0, 1.0), 0.53, 1.2), ((17.0, 34.0, 2.0), 0.35, 1.2)] {
        for seed in 1..=3 {
            let light: Vec<f64> = (0..10).map(|n| simulate_unmetered(plan, 0.4, seed * 10 + n).0).collect();
            let served = light.iter().sum::<f64>() / light.len() as f64;
            assert!(
                served > least,
                "light customers: {served:.2} of the demand admitted, {plan:?}, seed {seed}"
            );
            let heavy: Vec<f64> = (0..10).map(|n| simulate_unmetered(plan, 4.0, seed * 10 + n).1).collect();
            let quotas = heavy.iter().sum::<f64>() / heavy.len() as f64;
            let is_within_bounds = (0.5..most).contains(&quotas);
            assert!(
                is_within_bounds,
                "heavy customers at 4 quotas: {quotas:.2} quotas admitted, {plan:?}, seed {seed}"
            );
        }
    }
}
