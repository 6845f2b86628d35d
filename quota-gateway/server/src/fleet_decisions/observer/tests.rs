use super::*;
use marblecroft_quota_gateway_core::{
    AttemptNo, Class, ClassId, Discovery, Lifecycle, Outcome, Plan, PlanId, Scope, ServerId, ServerInfo,
    Status,
};

fn at(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        gateways: 1,
        gateway_index: 0,
        zone: 0,
        classes: vec![Class {
            latency_target: ms(800),
            deadline: ms(3000),
            value: 1.0,
            effect: Effect::Safe,
        }],
        plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
        discovery: Discovery::Push,
        cancel: true,
        hedging: false,
        max_attempts: 3,
        max_retry_after: ms(500),
        tick: ms(2),
        meter_period: ms(0),
        max_units: 1.0,
        slow_start_initial_share: 0.2,
        slow_start_duration: ms(15_000),
        slow_start_overload_factor: 3.0,
        slow_start_window: ms(1500),
        cross_zone_price: 0.0,
    }
}

/// A server stops responding during a request: the attempt is reported as failed once the latency target has
/// passed, and not a second time when it is abandoned.
#[test]
fn an_unresponsive_server_is_counted_once_after_the_latency_target() {
    let zones = vec!["hall-a".to_owned(), "hall-b".to_owned()];
    let observer = Observer::new(ObserverSettings {
        zones,
        settings: settings(),
        quota_share_gateway: None,
        shard_routing: None,
        started_at: Instant::now(),
    });
    let server = ServerInfo { id: ServerId(1), zone: 1, lifecycle: Lifecycle::Running, ..Default::default() };
    observer.on_event(&Event::Servers { scope: Scope::Full, servers: vec![server] });
    let request = NewRequest {
        id: RequestId(1),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(1),
        deadline: at(4000),
        units: 2.0,
        gateways: 1,
        is_retry: false,
        body_in_flight: false,
    };
    observer.on_event(&Event::Request(request));
    observer.on_actions(
        at(0),
        &[Action::Send { id: RequestId(1), server: ServerId(1), deadline: at(4000), begin_by: None }],
    );
    let failed = |now: u64| observer.take_report(at(now)).zones[1].attempts.failed;
    let target = observer.settings.classes[0].latency_target.as_millis() as u64;
    assert_eq!((failed(target - 10), failed(target + 10), failed(target + 1000)), (0.0, 2.0, 0.0));
    observer.on_event(&Event::Outcome(Outcome {
        id: RequestId(1),
        attempt: AttemptNo(0),
        status: Status::TimedOut,
        elapsed: Duration::from_secs(4),
        finished: false,
        metered_use: None,
        actual_units: None,
        report: Default::default(),
        not_retryable: false,
    }));
    assert_eq!(failed(5000), 0.0);
    observer.on_actions(at(5000), &[Action::Fail { id: RequestId(1) }]);
    assert!(observer.observations.borrow().requests.is_empty(), "a finished request is no longer tracked");
}
