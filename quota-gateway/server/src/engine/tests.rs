use super::*;
use crate::body::request_body::RequestBody;
use marblecroft_deadline::RESPONSE_MARGIN;
use marblecroft_quota_gateway_core::{
    AttemptNo, ClassId, CustomerId, Lifecycle, PlanId, Scope, ServerId, ServerInfo,
};
use std::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::task::spawn_local;

const SERVER: ServerId = ServerId(1);

/// Runs a test with an engine and one server that accepts connections and never responds. `script` takes the
/// place of the core, and the events that it handles are recorded.
fn with_engine(
    script: impl Fn(&Event, &mut Vec<Action>) + 'static,
    test: impl AsyncFnOnce(&Rc<Engine>, &RefCell<Vec<Event>>),
) {
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = ServerInfo { id: SERVER, lifecycle: Lifecycle::Running, ..ServerInfo::default() };
    let clock = Clock::start();
    let upstream = Upstream::new(Duration::from_secs(5), Duration::from_secs(5), 10, None);
    upstream.on_endpoint_list(Scope::Full, &[server], &[(SERVER, unresponsive.local_addr().expect("bound"))]);
    let events: Rc<RefCell<Vec<Event>>> = Rc::default();
    let recorded = events.clone();
    let decide = move |_, event: Event, actions: &mut Vec<Action>| {
        // Panics if the engine calls the core recursively.
        recorded.borrow_mut().push(event.clone());
        script(&event, actions);
    };
    let budgets = RequestBudgets::new(clock, None);
    let engine = Engine::new(Box::new(decide), clock, budgets, upstream, 2);
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        let timers = engine.clone();
        spawn_local(async move { timers.run_timers().await });
        test(&engine, &events).await;
    });
}

fn admit(engine: &Engine, wait: Duration) -> (RequestId, oneshot::Receiver<FinalResponse>) {
    let budget = engine.budgets.begin(0, wait + RESPONSE_MARGIN, Duration::ZERO);
    budget.on_complete(Duration::ZERO);
    let request = NewRequest {
        id: RequestId(0),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(1),
        deadline: budget.latest_deadline(),
        units: 1.0,
        gateways: 1,
        is_retry: false,
        body_in_flight: false,
    };
    let upstream_request = UpstreamRequest {
        method: Default::default(),
        uri: Default::default(),
        headers: Default::default(),
        body: RequestBody::Buffered(Default::default()),
        written_firm: None,
        budget,
        is_finished: Cell::new(false),
    };
    engine.on_request(request, upstream_request)
}

const LONG: Duration = Duration::from_secs(60);

fn outcomes(events: &RefCell<Vec<Event>>) -> Vec<(u32, Status, bool)> {
    let events = events.borrow();
    let outcome = |event: &Event| match event {
        Event::Outcome(o) => Some((o.attempt.0, o.status, o.finished)),
        _ => None,
    };
    events.iter().filter_map(outcome).collect()
}

fn send(id: RequestId, server: ServerId, until: Time) -> Action {
    Action::Send { id, server, deadline: until, begin_by: None }
}

#[test]
fn each_attempt_gets_one_outcome_and_obsolete_attempts_are_not_sent() {
    let script = |event: &Event, actions: &mut Vec<Action>| {
        if let Event::Request(r) = event {
            // To a server that is not listed, past its deadline, beyond the number of attempts, and after the
            // final response.
            actions.push(send(r.id, ServerId(9), Time(0)));
            actions.push(send(r.id, SERVER, Time(1)));
            actions.push(send(r.id, SERVER, Time(0)));
            actions.push(Action::Fail { id: r.id });
            actions.push(send(r.id, SERVER, Time(0)));
            actions.push(Action::Reject { id: r.id, retry_after: LONG });
        }
    };
    with_engine(script, async |engine, events| {
        let (_, answered) = admit(engine, LONG);
        assert!(matches!(answered.await, Ok(FinalResponse::Failed)), "the first final response is sent");
        let not_sent = Status::NotSent;
        let all =
            [(0, Status::ConnectFailed, true), (1, not_sent, true), (2, not_sent, true), (3, not_sent, true)];
        assert_eq!(outcomes(events), all);
        assert!(engine.open.borrow().is_empty());
    });
}

#[test]
fn a_cancelled_or_timed_out_attempt_ends_once() {
    let script = |event: &Event, actions: &mut Vec<Action>| match event {
        Event::Request(r) => {
            let soon = r.deadline.0 - (LONG - Duration::from_millis(50)).as_nanos() as u64;
            actions.push(send(r.id, SERVER, Time(0)));
            actions.push(Action::Cancel { id: r.id, attempt: AttemptNo(0) });
            actions.push(Action::Cancel { id: r.id, attempt: AttemptNo(0) });
            actions.push(send(r.id, SERVER, Time(soon)));
        }
        Event::Outcome(o) if o.status == Status::TimedOut => actions.push(Action::Fail { id: o.id }),
        _ => {}
    };
    with_engine(script, async |engine, events| {
        let (_, answered) = admit(engine, LONG);
        assert!(matches!(answered.await, Ok(FinalResponse::Failed)));
        assert_eq!(outcomes(events), [(0, Status::Cancelled, false), (1, Status::TimedOut, false)]);
    });
}

#[test]
fn a_request_gets_a_response_even_if_the_core_stalls_or_panics() {
    let script = |event: &Event, _: &mut Vec<Action>| {
        if matches!(event, Event::Request(r) if r.id == RequestId(1)) {
            panic!("the core fails");
        }
    };
    with_engine(script, async |engine, events| {
        let (first, answered) = admit(engine, LONG);
        assert!(matches!(answered.await, Ok(FinalResponse::GatewayFault)));
        assert!(matches!(events.borrow().last(), Some(Event::ClientDisconnected(id)) if *id == first));
        let (second, answered) = admit(engine, Duration::from_millis(20));
        assert!(matches!(answered.await, Ok(FinalResponse::DeadlineExceeded)));
        assert!(matches!(events.borrow().last(), Some(Event::ClientDisconnected(id)) if *id == second));
        assert!(engine.open.borrow().is_empty(), "both requests are removed");
    });
}

#[test]
fn a_disconnected_client_is_reported_once() {
    with_engine(
        |_, _| {},
        async |engine, events| {
            let (id, _) = admit(engine, LONG);
            engine.on_client_disconnected(id);
            engine.on_client_disconnected(id);
            assert_eq!(
                events.borrow().iter().filter(|event| matches!(event, Event::ClientDisconnected(_))).count(),
                1
            );
        },
    );
}
