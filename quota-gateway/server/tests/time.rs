//! One budget from the client to the last attempt: what servers are told, what is sent and what is not, where time went.

mod common;

use common::scripted::Hanging;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What is kept of a client's time for the answer's way back.
const WAY_BACK: f64 = 0.010;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What a server was told that the request has left.
fn told(message: &Message) -> f64 {
    message.header("x-expires-in").parse().expect("seconds")
}

/// A gateway with a console before these servers, whose settings are changed before.
fn gateway(servers: &[&Stub], change: impl Fn(String) -> String) -> (Running, Agent) {
    let addresses: Vec<_> = servers.iter().map(|stub| stub.addr).collect();
    Running::with_nomina(&addresses, change)
}

#[test]
fn each_attempt_is_advertised_the_time_remaining() {
    let first = Arc::new(AtomicUsize::new(0));
    let act = move |_: &Message| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            sleep(ms(120));
            Reply::Answer(500, "", String::new())
        } else {
            ok("served")
        }
    };
    let server = Stub::start(act);
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let mut client = gateway.client();
    assert_eq!(client.ask(&saldo("e", "1.400")).text(), "served");
    let seen: Vec<f64> = server.seen.lock().unwrap().iter().map(told).collect();
    assert_eq!(seen.len(), 2);
    assert!(seen[0] <= 1.4 - WAY_BACK - 0.001 && seen[0] > 1.0, "its way back is kept: {seen:?}");
    assert!(seen[1] <= seen[0] - 0.119, "the first attempt's time is gone: {seen:?}");
    assert_eq!(gateway.metric(r#"marblecroft_attempts_total{attempt="first",class="saldo"}"#), 1.0);
    assert_eq!(gateway.metric(r#"marblecroft_attempts_total{attempt="further",class="saldo"}"#), 1.0);
    let spent = gateway.metric(r#"marblecroft_request_stage_seconds_sum{class="saldo",stage="attempt"}"#);
    assert!((0.119..1.4).contains(&spent), "{spent}");
}

/// Stops the process for a while in which something is written to it.
fn stalled(gateway: &Running, span: Duration, meanwhile: impl FnOnce()) {
    gateway.signal("-STOP");
    meanwhile();
    sleep(span);
    gateway.signal("-CONT");
}

#[test]
fn time_unread_in_the_system_is_charged_to_the_budget() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let mut kept = gateway.client();
    assert_eq!(kept.ask(&saldo("k0", "3")).text(), "served");
    // On a kept connection, and on one that nobody could accept.
    let mut new = None;
    stalled(&gateway, ms(400), || {
        kept.write(&saldo("k1", "3"));
        let mut client = gateway.client();
        client.write(&saldo("k2", "3"));
        new = Some(client);
    });
    assert_eq!(kept.answer().expect("an answer").text(), "served");
    assert_eq!(new.expect("connected").answer().expect("an answer").text(), "served");
    let seen = server.seen.lock().unwrap();
    for name in ["k1", "k2"] {
        let message = seen.iter().find(|m| m.header("x-trace-id") == trace(name)).expect("it came");
        assert!(told(message) <= 3.0 - 0.390 - WAY_BACK, "{name} was told {}", told(message));
    }
    drop(seen);
    let unseen = gateway.metric(r#"marblecroft_request_stage_seconds_sum{class="saldo",stage="unseen"}"#);
    assert!((0.78..8.0).contains(&unseen), "two lay there for 0.4 s each: {unseen}");
}

#[test]
fn a_request_read_after_its_deadline_is_answered_and_not_sent() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let mut client = gateway.client();
    assert_eq!(client.ask(&saldo("p0", "3")).text(), "served");
    stalled(&gateway, ms(400), || client.write(&saldo("p1", "0.350")));
    let answer = client.answer().expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(!answer.header("retry-after").is_empty(), "trying again is harmless");
    assert_eq!(server.requests(), 1, "nobody waits for it any more");
    assert_eq!(
        gateway.metric(r#"marblecroft_requests_total{class="saldo",end="given_up_before_send"}"#),
        1.0
    );
}

/// The system tells when bytes came in its own ticks, of 10 ms at most.
const ARRIVAL_TICK: Duration = Duration::from_millis(10);

#[test]
fn a_slow_head_is_measured_and_not_charged() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let mut client = gateway.client();
    let request = saldo("h", "3");
    let (head, rest) = request.split_at(40);
    client.write(head);
    // Answered on a later connection: the gateway has read what came before, however late it was scheduled.
    assert_eq!(gateway.client().ask("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    let first_part_read = Instant::now();
    sleep(ms(300));
    let pause = first_part_read.elapsed();
    client.write(rest);
    assert_eq!(client.answer().expect("an answer").text(), "served");
    assert!(told(&server.last()) > 2.7, "by the protocol its time begins with its last byte");
    let read = gateway.metric(r#"marblecroft_request_stage_seconds_sum{class="saldo",stage="read"}"#);
    assert!(((pause - ARRIVAL_TICK).as_secs_f64()..3.0).contains(&read), "{read} after a pause of {pause:?}");
}

#[test]
fn a_slow_body_is_not_charged_and_100_continue_is_sent() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let mut client = gateway.client();
    let request = nomina("b", "1.000", "pago").replace("X-Qos", "Expect: 100-continue\r\nX-Qos");
    client.write(request.strip_suffix("pago").expect("its body"));
    let go_on = client.answer().expect("an interim answer");
    assert_eq!(go_on.status(), 100);
    // It comes as the time would end that began with the head.
    sleep(ms(1050));
    client.write("pago");
    assert_eq!(client.answer().expect("an answer").text(), "served");
    assert!(told(&server.last()) > 0.7, "its time began with its last byte: {}", told(&server.last()));
}

#[test]
fn a_client_timeout_is_limited_by_its_class() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    for (n, wait) in ["1e9", "4000000000.5", "4.0001"].into_iter().enumerate() {
        assert_eq!(gateway.client().ask(&saldo(&format!("w{n}"), wait)).status(), 200, "{wait}");
        assert!(told(&server.last()) <= 4.0 - WAY_BACK, "{wait}: {}", told(&server.last()));
    }
    for (n, wait) in ["1e300", "-0.5", "NaN", "0", "-0", "", "1e-30", "0x1"].into_iter().enumerate() {
        assert_eq!(gateway.client().ask(&saldo(&format!("v{n}"), wait)).status(), 400, "{wait:?}");
    }
    assert_eq!(server.requests(), 3);
    // Smaller than any way: answered at once, and never sent.
    for wait in ["0.000001", "0.001", "0.010", "0.011"] {
        assert_eq!(gateway.client().ask(&saldo("small", wait)).status(), 503, "{wait}");
    }
    assert_eq!(server.requests(), 3);
}

#[test]
fn a_hanging_connect_keeps_time_for_another_server() {
    let (warm, good, hanging) = (Stub::start(|_| ok("warm")), Stub::start(|_| ok("served")), Hanging::new());
    let (gateway, agent) = gateway(&[&warm], as_it_is);
    // It learns how quickly this class is answered.
    let mut client = gateway.client();
    for n in 0..60 {
        assert_eq!(client.ask(&nomina(&format!("w{n}"), "3", "pago")).text(), "warm");
    }
    agent.watched(1);
    agent.tell(ok(&hosts(2, true, &[(hanging.addr, "SERVING"), (good.addr, "SERVING")])));
    agent.watched(2);
    // One of them meets the connect that hangs, which is given 250 ms by the settings; no request has that much.
    let connects = r#"marblecroft_request_stage_seconds_sum{class="nomina",stage="connect"}"#;
    for n in 0..40 {
        let answer = client.ask(&nomina(&format!("c{n}"), "0.250", "pago"));
        assert_eq!((answer.status(), answer.text().as_str()), (200, "served"), "request {n}");
        if gateway.metric(connects) > 0.1 {
            return;
        }
    }
    panic!("none met the server that hangs");
}

#[test]
fn a_disconnect_during_a_connect_has_its_own_outcome() {
    let (warm, hanging) = (Stub::start(|_| ok("warm")), Hanging::new());
    let (gateway, agent) = gateway(&[&warm], as_it_is);
    agent.watched(1);
    agent.tell(ok(&hosts(2, true, &[(hanging.addr, "SERVING")])));
    agent.watched(2);
    let mut client = gateway.client();
    client.write(&saldo("g", "3"));
    // On another connection, so that the request is with the gateway.
    assert_eq!(gateway.client().ask("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    drop(client);
    let gone = r#"marblecroft_requests_total{class="saldo",end="client_gone"}"#;
    until("it is told", || gateway.metric(gone) == 1.0);
    assert_eq!(
        gateway.metric(r#"marblecroft_attempts_total{attempt="first",class="saldo"}"#),
        0.0,
        "nothing was written"
    );
}

#[test]
fn a_response_without_its_body_does_not_delay_the_final_response() {
    let server = Stub::start(|_| Reply::Open("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nser".to_owned()));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let asked = Instant::now();
    let answer = gateway.client().ask_here(&nomina("n", "0.450", "pago"));
    assert!(answer.status() >= 500 && answer.header("retry-after").is_empty(), "it may have run: {answer:?}");
    assert!(asked.elapsed() < ms(450), "its client still waits");
    assert_eq!(server.requests(), 1);
    let ends = r#"marblecroft_requests_total{class="nomina",end="given_up_in_attempt"}"#;
    until("it is counted", || gateway.metric(ends) == 1.0);
}

#[test]
fn a_non_idempotent_request_is_not_retried_whatever_time_remains() {
    let servers = [Stub::start(|_| Reply::Raw("")), Stub::start(|_| Reply::Raw(""))];
    let (gateway, _agent) = gateway(&[&servers[0], &servers[1]], as_it_is);
    let answer = gateway.client().ask_here(&nomina("u", "4", "pago"));
    assert!(answer.status() >= 500 && answer.header("retry-after").is_empty(), "{answer:?}");
    assert_eq!(servers[0].requests() + servers[1].requests(), 1);
    assert_eq!(gateway.metric(r#"marblecroft_attempts_total{attempt="further",class="nomina"}"#), 0.0);
}

#[test]
fn the_next_attempt_uses_a_replaced_endpoint_list() {
    let (first, second) = (Stub::start(|_| Reply::Silence), Stub::start(|_| ok("second")));
    let (gateway, agent) = gateway(&[&first], as_it_is);
    agent.watched(1);
    let mut client = gateway.client();
    client.write(&saldo("r", "3"));
    until("the first server has it", || first.requests() == 1);
    agent.tell(ok(&list(2, true, &serving(&[&second]))));
    agent.watched(2);
    first.speak(&Reply::Answer(500, "", String::new()));
    assert_eq!(client.answer().expect("an answer").text(), "second");
    assert!(told(&second.last()) < told(&first.last()));
}

#[test]
fn after_sigterm_no_timeout_exceeds_the_process_exit() {
    let server = Stub::start(|_| ok("served"));
    let (mut gateway, _agent) = gateway(&[&server], as_it_is);
    let mut client = gateway.client();
    assert_eq!(client.ask(&abono("t0", "7", "pago")).status(), 200);
    assert!(told(&server.last()) > 6.0, "its class lets clients wait for 7.5 s");
    // Begun before the signal, so that the process waits for the rest.
    let request = abono("t1", "7", "pago");
    let (head, rest) = request.split_at(60);
    client.write(head);
    sleep(ms(50));
    gateway.terminate();
    until("it drains", || gateway.client_is_refused());
    client.write(rest);
    assert_eq!(client.answer().expect("an answer").status(), 200);
    // SIGKILL may come 3.7 s after SIGTERM.
    assert!(told(&server.last()) < 3.7, "{}", told(&server.last()));
    assert!(gateway.exit().success());
}

#[test]
fn sigterm_then_sighup_during_an_attempt_lose_nothing() {
    let server = Stub::start(|_| Reply::Silence);
    let agent = Agent::start();
    let known = list(1, true, &serving(&[&server]));
    let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
    let mut gateway = Running::start(&config);
    let mut client = gateway.client();
    client.write(&saldo("s", "3"));
    until("the server has it", || server.requests() == 1);
    gateway.terminate();
    gateway.reload(&config);
    until("it has read the file", || gateway.log().contains("new configuration"));
    server.speak(&ok("served"));
    assert_eq!(client.answer().expect("an answer").text(), "served");
    assert!(gateway.exit().success());
}

#[test]
fn metrics_report_outcomes_while_discovery_and_callers_stall() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, agent) = gateway(&[&server], as_it_is);
    // Discovery says nothing from here on, and callers at the console say half a word.
    agent.watched(1);
    let stalled: Vec<Client> = (0..16)
        .map(|_| {
            let mut caller = Client::connect(gateway.console());
            caller.write("GET /met");
            caller
        })
        .collect();
    let mut client = gateway.client();
    for n in 0..3 {
        assert_eq!(client.ask(&saldo(&format!("a{n}"), "3")).status(), 200);
    }
    let beyond = saldo("q", "3").replace("basico", "nada").replace("b4d65521", "00000007");
    assert_eq!(client.ask(&beyond).status(), 503, "its quota is used up");
    server.act(|_| Reply::Silence);
    assert!(client.ask(&nomina("i", "0.400", "pago")).status() >= 500);
    let mut leaving = gateway.client();
    leaving.write(&saldo("l", "3"));
    until("the server has it", || server.requests() == 5);
    drop(leaving);
    let ends = |class: &str, end: &str| {
        gateway.metric(&format!(r#"marblecroft_requests_total{{class="{class}",end="{end}"}}"#))
    };
    until("the client's leaving is seen", || ends("saldo", "client_gone") == 1.0);
    assert_eq!(ends("saldo", "answered"), 3.0);
    assert_eq!(ends("saldo", "given_up_before_send"), 1.0);
    assert_eq!(ends("nomina", "given_up_in_attempt"), 1.0);
    let asked = Instant::now();
    let answer = gateway.called("GET", "/metrics");
    assert!(asked.elapsed() < Duration::from_secs(1), "operators' calls have an answer within a second");
    assert!(answer.header("content-type").starts_with("text/plain; version=0.0.4"));
    // A line is a comment, or a series and its value; their number does not grow with what is asked.
    let series = |text: &str| {
        text.lines().filter(|line| !line.starts_with('#')).all(|line| {
            line.rsplit_once(' ')
                .is_some_and(|(name, value)| name.starts_with("marblecroft_") && value.parse::<f64>().is_ok())
        })
    };
    assert!(series(&answer.text()), "{}", answer.text());
    let lines = answer.text().lines().count();
    for n in 0..20 {
        client.ask(&saldo(&format!("m{n}"), "0.001"));
    }
    assert_eq!(gateway.called("GET", "/metrics").text().lines().count(), lines);
    drop(stalled);
}

#[test]
fn a_response_broken_off_by_its_server_is_not_a_client_disconnect() {
    let begun = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", 1 << 20, "x".repeat(100_000));
    let server = Stub::start(move |_| Reply::Raw(Box::leak(begun.clone().into_boxed_str())));
    let (gateway, _agent) = gateway(&[&server], as_it_is);
    let mut client = gateway.client();
    client.write(&nomina("o", "3", "pago"));
    assert!(client.answer().is_none(), "the client can tell that it is not whole");
    let ends = r#"marblecroft_requests_total{class="nomina",end="given_up_in_attempt"}"#;
    until("it is counted", || gateway.metric(ends) == 1.0);
}
