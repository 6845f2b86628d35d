use super::*;
use marblecroft_quota_gateway_core::{Class, ClassId, CustomerId, Discovery, Plan, PlanId};

fn at(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        gateways: 1,
        number: 0,
        zone: 0,
        classes: vec![Class { aim: ms(800), deadline: ms(3000), worth: 1.0, effect: Effect::Safe }],
        plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
        discovery: Discovery::Push,
        cancel: true,
        second_copies: false,
        max_attempts: 3,
        max_retry_after: ms(500),
        tick: ms(2),
        meter_period: ms(0),
        max_units: 1.0,
        cold_from: 0.2,
        cold_ramp: ms(15_000),
        cold_multiple: 3.0,
        cold_window: ms(1500),
        cross_zone_price: 0.0,
    }
}

/// A server falls silent under a request: it is told of as failed once its aim is over, and not a second time when the attempt
/// is given up.
#[test]
fn silence_counts_by_its_age_and_once() {
    let zones = vec!["hall-a".to_owned(), "hall-b".to_owned()];
    let observer = Observer::new(zones, settings(), None, None, Instant::now());
    let server = ServerInfo { id: ServerId(1), zone: 1, lifecycle: Lifecycle::Running, ..Default::default() };
    observer.told(&Event::Servers { scope: Scope::Full, servers: vec![server] });
    let request = NewRequest {
        id: RequestId(1),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(1),
        deadline: at(4000),
        units: 2.0,
        gateways: 1,
        repeat: false,
        flows: false,
    };
    observer.told(&Event::Request(request));
    observer.asked_for(
        at(0),
        &[Action::Send { id: RequestId(1), server: ServerId(1), until: at(4000), begin_by: None }],
    );
    let failed = |now: u64| observer.take(at(now)).1[1].seen.failed;
    let aim = observer.settings.classes[0].aim.as_millis() as u64;
    assert_eq!((failed(aim - 10), failed(aim + 10), failed(aim + 1000)), (0.0, 2.0, 0.0));
    observer.told(&Event::Outcome(Outcome {
        id: RequestId(1),
        attempt: AttemptNo(0),
        status: Status::TimedOut,
        elapsed: Duration::from_secs(4),
        finished: false,
        metered: None,
        true_units: None,
        report: Default::default(),
        last: false,
    }));
    assert_eq!(failed(5000), 0.0);
    observer.asked_for(at(5000), &[Action::Fail { id: RequestId(1) }]);
    assert!(observer.sight.borrow().tried.is_empty(), "nothing is kept of what is over");
}
