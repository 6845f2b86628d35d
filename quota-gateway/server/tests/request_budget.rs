//! Each request has one time budget, from the client to the last attempt: the time that servers are given,
//! the attempts that are still made, and the metrics of the time spent.

mod common;

use common::scripted::HangingServer;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The part of a client's timeout that is reserved for the transit of the response, in seconds.
const RESPONSE_TRANSIT: f64 = 0.010;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The remaining time that a server was given for a request, in seconds.
fn remaining_time(message: &Message) -> f64 {
    message.header("x-expires-in").parse().expect("a number of seconds")
}

/// Starts a gateway with a console and these servers; `change` edits its configuration before the start.
fn start_gateway(servers: &[&Stub], change: impl Fn(String) -> String) -> (GatewayProcess, Agent) {
    let addresses: Vec<_> = servers.iter().map(|stub| stub.addr).collect();
    GatewayProcess::with_non_idempotent_class(&addresses, change)
}

#[test]
fn each_attempt_is_advertised_the_time_remaining() {
    let count = Arc::new(AtomicUsize::new(0));
    let handler = move |_: &Message| {
        if count.fetch_add(1, Ordering::SeqCst) == 0 {
            sleep(ms(120));
            Reply::Respond(500, "", String::new())
        } else {
            ok("served")
        }
    };
    let server = Stub::start(handler);
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("e", "1.400")).text(), "served");
    let remaining: Vec<f64> = server.received.lock().unwrap().iter().map(remaining_time).collect();
    assert_eq!(remaining.len(), 2);
    assert!(
        remaining[0] <= 1.4 - RESPONSE_TRANSIT - 0.001 && remaining[0] > 1.0,
        "the response transit is reserved: {remaining:?}"
    );
    assert!(remaining[1] <= remaining[0] - 0.119, "the first attempt's time is deducted: {remaining:?}");
    assert_eq!(gateway.metric(r#"marblecroft_attempts_total{attempt="first",class="saldo"}"#), 1.0);
    assert_eq!(gateway.metric(r#"marblecroft_attempts_total{attempt="further",class="saldo"}"#), 1.0);
    let spent = gateway.metric(r#"marblecroft_request_stage_seconds_sum{class="saldo",stage="attempt"}"#);
    assert!((0.119..1.4).contains(&spent), "{spent}");
}

/// Stops the process for this long, and calls `meanwhile` while it is stopped.
fn while_stopped(gateway: &GatewayProcess, span: Duration, meanwhile: impl FnOnce()) {
    gateway.signal("-STOP");
    meanwhile();
    sleep(span);
    gateway.signal("-CONT");
}

#[test]
fn time_unread_in_the_kernel_is_charged_to_the_budget() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut reused = gateway.client();
    assert_eq!(reused.call(&saldo("k0", "3")).text(), "served");
    // One request on an open connection, and one on a connection that is not accepted yet.
    let mut new = None;
    while_stopped(&gateway, ms(400), || {
        reused.write(&saldo("k1", "3"));
        let mut client = gateway.client();
        client.write(&saldo("k2", "3"));
        new = Some(client);
    });
    assert_eq!(reused.read_response().expect("a response").text(), "served");
    assert_eq!(new.expect("connected above").read_response().expect("a response").text(), "served");
    let received = server.received.lock().unwrap();
    for name in ["k1", "k2"] {
        let message =
            received.iter().find(|m| m.header("x-trace-id") == trace_id(name)).expect("it was sent");
        assert!(
            remaining_time(message) <= 3.0 - 0.390 - RESPONSE_TRANSIT,
            "{name} had {}",
            remaining_time(message)
        );
    }
    drop(received);
    let unseen = gateway.metric(r#"marblecroft_request_stage_seconds_sum{class="saldo",stage="unseen"}"#);
    assert!((0.78..8.0).contains(&unseen), "two requests were unread for 0.4 s each: {unseen}");
}

#[test]
fn a_request_read_after_its_deadline_is_answered_and_not_sent() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("p0", "3")).text(), "served");
    while_stopped(&gateway, ms(400), || client.write(&saldo("p1", "0.350")));
    let response = client.read_response().expect("a response");
    assert_eq!(response.status(), 503);
    assert!(!response.header("retry-after").is_empty(), "the request may be retried");
    assert_eq!(server.requests(), 1, "the client has stopped waiting");
    assert_eq!(
        gateway.metric(r#"marblecroft_requests_total{class="saldo",end="given_up_before_send"}"#),
        1.0
    );
}

/// The resolution of the kernel's arrival times of received bytes: ticks of at most 10 ms.
const ARRIVAL_TICK: Duration = Duration::from_millis(10);

#[test]
fn a_slow_head_is_measured_and_not_charged() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut client = gateway.client();
    let request = saldo("h", "3");
    let (head, rest) = request.split_at(40);
    client.write(head);
    // Once a request on a later connection is answered, the gateway has read the head's first part, however
    // late it was scheduled.
    assert_eq!(gateway.client().call("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    let first_part_read = Instant::now();
    sleep(ms(300));
    let pause = first_part_read.elapsed();
    client.write(rest);
    assert_eq!(client.read_response().expect("a response").text(), "served");
    assert!(
        remaining_time(&server.last_request()) > 2.7,
        "by the protocol, the time counts from the request's last byte"
    );
    let read = gateway.metric(r#"marblecroft_request_stage_seconds_sum{class="saldo",stage="read"}"#);
    assert!(((pause - ARRIVAL_TICK).as_secs_f64()..3.0).contains(&read), "{read} after a pause of {pause:?}");
}

#[test]
fn a_slow_body_is_not_charged_and_100_continue_is_sent() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut client = gateway.client();
    let request = nomina("b", "1.000", "pago").replace("X-Qos", "Expect: 100-continue\r\nX-Qos");
    client.write(request.strip_suffix("pago").expect("the body at the end"));
    let interim = client.read_response().expect("an interim response");
    assert_eq!(interim.status(), 100);
    // The body arrives after the timeout of 1 s, counted from the head, has passed.
    sleep(ms(1050));
    client.write("pago");
    assert_eq!(client.read_response().expect("a response").text(), "served");
    assert!(
        remaining_time(&server.last_request()) > 0.7,
        "the time counts from the request's last byte: {}",
        remaining_time(&server.last_request())
    );
}

#[test]
fn a_client_timeout_is_limited_by_its_class() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    for (n, wait) in ["1e9", "4000000000.5", "4.0001"].into_iter().enumerate() {
        assert_eq!(gateway.client().call(&saldo(&format!("w{n}"), wait)).status(), 200, "{wait}");
        assert!(
            remaining_time(&server.last_request()) <= 4.0 - RESPONSE_TRANSIT,
            "{wait}: {}",
            remaining_time(&server.last_request())
        );
    }
    for (n, wait) in ["1e300", "-0.5", "NaN", "0", "-0", "", "1e-30", "0x1"].into_iter().enumerate() {
        assert_eq!(gateway.client().call(&saldo(&format!("v{n}"), wait)).status(), 400, "{wait:?}");
    }
    assert_eq!(server.requests(), 3);
    // Timeouts shorter than any transit: the request is answered at once and never sent.
    for wait in ["0.000001", "0.001", "0.010", "0.011"] {
        assert_eq!(gateway.client().call(&saldo("small", wait)).status(), 503, "{wait}");
    }
    assert_eq!(server.requests(), 3);
}

#[test]
fn a_hanging_connect_keeps_time_for_another_server() {
    let (warm, good, hanging) =
        (Stub::start(|_| ok("warm")), Stub::start(|_| ok("served")), HangingServer::new());
    let (gateway, agent) = start_gateway(&[&warm], unchanged);
    // The gateway measures the response times of this class.
    let mut client = gateway.client();
    for n in 0..60 {
        assert_eq!(client.call(&nomina(&format!("w{n}"), "3", "pago")).text(), "warm");
    }
    agent.wait_for_watch(1);
    agent.queue_reply(ok(&hosts(2, true, &[(hanging.addr, "SERVING"), (good.addr, "SERVING")])));
    agent.wait_for_watch(2);
    // One of the requests is sent to the server whose connect hangs. The settings allow 250 ms for a connect,
    // which is more than any of these requests has left.
    let connect_time = r#"marblecroft_request_stage_seconds_sum{class="nomina",stage="connect"}"#;
    for n in 0..40 {
        let response = client.call(&nomina(&format!("c{n}"), "0.250", "pago"));
        assert_eq!((response.status(), response.text().as_str()), (200, "served"), "request {n}");
        if gateway.metric(connect_time) > 0.1 {
            return;
        }
    }
    panic!("no request was sent to the server whose connect hangs");
}

#[test]
fn a_disconnect_during_a_connect_is_counted_as_a_disconnect() {
    let (warm, hanging) = (Stub::start(|_| ok("warm")), HangingServer::new());
    let (gateway, agent) = start_gateway(&[&warm], unchanged);
    agent.wait_for_watch(1);
    agent.queue_reply(ok(&hosts(2, true, &[(hanging.addr, "SERVING")])));
    agent.wait_for_watch(2);
    let mut client = gateway.client();
    client.write(&saldo("g", "3"));
    // Once a request on another connection is answered, the gateway has read this one.
    assert_eq!(gateway.client().call("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    drop(client);
    let outcome = r#"marblecroft_requests_total{class="saldo",end="client_gone"}"#;
    until("the disconnect is counted", || gateway.metric(outcome) == 1.0);
    assert_eq!(
        gateway.metric(r#"marblecroft_attempts_total{attempt="first",class="saldo"}"#),
        0.0,
        "nothing was written"
    );
}

#[test]
fn a_response_without_its_body_does_not_delay_the_final_response() {
    let server =
        Stub::start(|_| Reply::RawKeepOpen("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nser".to_owned()));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let sent_at = Instant::now();
    let response = gateway.client().call_on_this_connection(&nomina("n", "0.450", "pago"));
    assert!(
        response.status() >= 500 && response.header("retry-after").is_empty(),
        "the request may have run: {response:?}"
    );
    assert!(sent_at.elapsed() < ms(450), "the client still waits");
    assert_eq!(server.requests(), 1);
    let outcome = r#"marblecroft_requests_total{class="nomina",end="given_up_in_attempt"}"#;
    until("the outcome is counted", || gateway.metric(outcome) == 1.0);
}

#[test]
fn a_non_idempotent_request_is_not_retried_whatever_time_remains() {
    let servers = [Stub::start(|_| Reply::RawAndClose("")), Stub::start(|_| Reply::RawAndClose(""))];
    let (gateway, _agent) = start_gateway(&[&servers[0], &servers[1]], unchanged);
    let response = gateway.client().call_on_this_connection(&nomina("u", "4", "pago"));
    assert!(response.status() >= 500 && response.header("retry-after").is_empty(), "{response:?}");
    assert_eq!(servers[0].requests() + servers[1].requests(), 1);
    assert_eq!(gateway.metric(r#"marblecroft_attempts_total{attempt="further",class="nomina"}"#), 0.0);
}

#[test]
fn the_next_attempt_uses_a_replaced_endpoint_list() {
    let (first, second) = (Stub::start(|_| Reply::NoResponse), Stub::start(|_| ok("second")));
    let (gateway, agent) = start_gateway(&[&first], unchanged);
    agent.wait_for_watch(1);
    let mut client = gateway.client();
    client.write(&saldo("r", "3"));
    until("the first server has the request", || first.requests() == 1);
    agent.queue_reply(ok(&endpoint_list(2, true, &serving(&[&second]))));
    agent.wait_for_watch(2);
    first.respond_to_pending(&Reply::Respond(500, "", String::new()));
    assert_eq!(client.read_response().expect("a response").text(), "second");
    assert!(remaining_time(&second.last_request()) < remaining_time(&first.last_request()));
}

#[test]
fn after_sigterm_no_timeout_exceeds_the_process_exit() {
    let server = Stub::start(|_| ok("served"));
    let (mut gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut client = gateway.client();
    assert_eq!(client.call(&abono("t0", "7", "pago")).status(), 200);
    assert!(remaining_time(&server.last_request()) > 6.0, "the class allows clients to wait for 7.5 s");
    // The request begins before the signal, so the process waits for the rest.
    let request = abono("t1", "7", "pago");
    let (head, rest) = request.split_at(60);
    client.write(head);
    sleep(ms(50));
    gateway.terminate();
    until("the gateway drains", || gateway.is_unready());
    client.write(rest);
    assert_eq!(client.read_response().expect("a response").status(), 200);
    // SIGKILL may come 3.7 s after SIGTERM.
    assert!(remaining_time(&server.last_request()) < 3.7, "{}", remaining_time(&server.last_request()));
    assert!(gateway.exit().success());
}

#[test]
fn sigterm_then_sighup_during_an_attempt_lose_nothing() {
    let server = Stub::start(|_| Reply::NoResponse);
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
    let mut gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.write(&saldo("s", "3"));
    until("the server has the request", || server.requests() == 1);
    gateway.terminate();
    gateway.reload(&config);
    until("the gateway has read the file", || gateway.log().contains("new configuration"));
    server.respond_to_pending(&ok("served"));
    assert_eq!(client.read_response().expect("a response").text(), "served");
    assert!(gateway.exit().success());
}

#[test]
fn metrics_report_outcomes_while_discovery_and_callers_stall() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, agent) = start_gateway(&[&server], unchanged);
    // From here on, discovery does not respond, and callers at the console stall in the middle of a command.
    agent.wait_for_watch(1);
    let stalled: Vec<Client> = (0..16)
        .map(|_| {
            let mut caller = Client::connect(gateway.console());
            caller.write("GET /met");
            caller
        })
        .collect();
    let mut client = gateway.client();
    for n in 0..3 {
        assert_eq!(client.call(&saldo(&format!("a{n}"), "3")).status(), 200);
    }
    let over_quota = saldo("q", "3").replace("basico", "nada").replace("b4d65521", "00000007");
    assert_eq!(client.call(&over_quota).status(), 503, "the customer's quota is used up");
    server.set_handler(|_| Reply::NoResponse);
    assert!(client.call(&nomina("i", "0.400", "pago")).status() >= 500);
    let mut leaving = gateway.client();
    leaving.write(&saldo("l", "3"));
    until("the server has the request", || server.requests() == 5);
    drop(leaving);
    let outcomes = |class: &str, end: &str| {
        gateway.metric(&format!(r#"marblecroft_requests_total{{class="{class}",end="{end}"}}"#))
    };
    until("the disconnect is counted", || outcomes("saldo", "client_gone") == 1.0);
    assert_eq!(outcomes("saldo", "answered"), 3.0);
    assert_eq!(outcomes("saldo", "given_up_before_send"), 1.0);
    assert_eq!(outcomes("nomina", "given_up_in_attempt"), 1.0);
    let called_at = Instant::now();
    let response = gateway.console_response("GET", "/metrics");
    assert!(called_at.elapsed() < Duration::from_secs(1), "operators' calls are answered within a second");
    assert!(response.header("content-type").starts_with("text/plain; version=0.0.4"));
    // Each line is a comment, or a series and its value. The number of lines does not grow with the number of
    // requests.
    let has_only_series = |text: &str| {
        text.lines().filter(|line| !line.starts_with('#')).all(|line| {
            line.rsplit_once(' ')
                .is_some_and(|(name, value)| name.starts_with("marblecroft_") && value.parse::<f64>().is_ok())
        })
    };
    assert!(has_only_series(&response.text()), "{}", response.text());
    let lines = response.text().lines().count();
    for n in 0..20 {
        client.call(&saldo(&format!("m{n}"), "0.001"));
    }
    assert_eq!(gateway.console_response("GET", "/metrics").text().lines().count(), lines);
    drop(stalled);
}

#[test]
fn a_response_truncated_by_its_server_is_not_a_client_disconnect() {
    let partial = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", 1 << 20, "x".repeat(100_000));
    let server = Stub::start(move |_| Reply::RawAndClose(Box::leak(partial.clone().into_boxed_str())));
    let (gateway, _agent) = start_gateway(&[&server], unchanged);
    let mut client = gateway.client();
    client.write(&nomina("o", "3", "pago"));
    assert!(client.read_response().is_none(), "the client sees that the response is incomplete");
    let outcome = r#"marblecroft_requests_total{class="nomina",end="given_up_in_attempt"}"#;
    until("the outcome is counted", || gateway.metric(outcome) == 1.0);
}
