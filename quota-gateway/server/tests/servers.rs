//! The server side: how attempts end, and which response the client gets.

mod common;

use common::*;
use marblecroft_test_support::Port;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Requests after which the gateway's mean latency has converged: its initial estimate is a share of the
/// latency target, and each answer replaces 8 % of the mean.
const WARM_UP_REQUESTS: usize = 120;

/// The status of the final response to a request that is idempotent by key, and the number of attempts, if
/// its only server always reacts like this.
fn keyed_request_outcome(reply: Reply) -> (u16, usize) {
    let server = Stub::start(move |_| reply.clone());
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let response = gateway.client().call(&abono("k", "3", "pago"));
    assert!(
        !response.text().contains("secret"),
        "the client must not see a server's text: {}",
        response.text()
    );
    (response.status(), server.requests())
}

fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503)
}

#[test]
fn unexecuted_requests_are_rejected_and_uncertain_ones_fail() {
    let never_ran = |status| Reply::Respond(status, "X-Never-Ran: 1\r\n", "secret".to_owned());
    for status in [503, 504] {
        assert!(
            is_rejection(keyed_request_outcome(never_ran(status)).0),
            "{status} with X-Never-Ran proves that it never ran"
        );
    }
    for (what, reply) in [
        ("an error", Reply::Respond(500, "", "secret".to_owned())),
        ("an error with X-Never-Ran", never_ran(500)),
        ("503 without X-Never-Ran", Reply::Respond(503, "", "secret".to_owned())),
        ("504 with X-Never-Ran: 0", Reply::Respond(504, "X-Never-Ran: 0\r\n", "secret".to_owned())),
        ("429 from a server", Reply::Respond(429, "", "secret".to_owned())),
        ("a 200 that is cut off", Reply::RawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nsecret")),
        ("a head that is cut off", Reply::RawAndClose("HTTP/1.1 200 OK\r\nContent-Le")),
        ("a reset", Reply::RawAndClose("")),
        ("a malformed response", Reply::RawAndClose("secret words\r\n\r\n")),
        ("a 200 without a length", Reply::RawAndClose("HTTP/1.1 200 OK\r\n\r\nsecret")),
        (
            "a rejection that is cut off",
            Reply::RawAndClose("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 20\r\n\r\nsecret"),
        ),
        (
            "a rejection that stalls",
            Reply::RawKeepOpen(
                "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 20\r\n\r\nsecret".to_owned(),
            ),
        ),
        (
            "a length over the limit",
            Reply::RawKeepOpen("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsecret".to_owned()),
        ),
        (
            "an error that does not end",
            Reply::RawKeepOpen("HTTP/1.1 500 No\r\nContent-Length: 20\r\n\r\nsecret".to_owned()),
        ),
        (
            "a head that does not end",
            Reply::RawKeepOpen(format!("HTTP/1.1 200 OK\r\nA: {}", "s".repeat(100_000))),
        ),
    ] {
        let (status, sent) = keyed_request_outcome(reply);
        assert!(status >= 500 && !is_rejection(status), "{status} after {what}");
        assert!(sent >= 1, "{what}");
    }
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let refusing = Port::reserve();
    let mut stub = Stub::start(|_| ok("never asked"));
    stub.addr = refusing.addr;
    let (gateway, _agent) = GatewayProcess::with_servers(&[&stub]);
    assert!(is_rejection(gateway.client().call(&abono("c", "3", "pago")).status()));
}

#[test]
fn an_unresponsive_server_does_not_delay_the_final_response() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let response = gateway.client().call(&abono("s", "0.8", "pago"));
    assert!(response.status() >= 500 && !is_rejection(response.status()), "the request may have run");
    let attempts = server.requests();
    until("every attempt is cancelled", || server.closed.load(Ordering::SeqCst) == attempts);
    assert_eq!(server.requests(), attempts, "nothing is sent after the final response");
}

#[test]
fn the_first_response_wins_and_the_other_attempt_is_cancelled() {
    let servers = [Stub::start(|_| ok("quick")), Stub::start(|_| ok("quick"))];
    let (gateway, _agent) = GatewayProcess::with_servers(&[&servers[0], &servers[1]]);
    let mut client = gateway.client();
    for n in 0..40 {
        wait_for_reuse();
        assert_eq!(client.call(&saldo(&format!("w{n}"), "4")).status(), 200);
    }
    // From now on one server does not respond, and its request is hedged at the other one.
    servers[0].set_handler(|_| Reply::NoResponse);
    let before = servers[0].requests();
    for n in 0..200 {
        wait_for_reuse();
        let response = client.call(&saldo(&format!("x{n}"), "4"));
        assert_eq!((response.status(), response.text().as_str()), (200, "quick"));
        if servers[0].requests() > before {
            break;
        }
    }
    let id = servers[0].last_request().header("x-trace-id").to_owned();
    assert_eq!(servers[0].requests(), before + 1, "the unresponsive server got one request");
    assert_eq!(
        servers[1].last_request().header("x-trace-id"),
        id,
        "the hedged attempt went to the other server"
    );
    until("the first attempt's connection is closed", || servers[0].closed.load(Ordering::SeqCst) == 1);
}

#[test]
fn a_request_lost_by_a_responsive_server_is_retried() {
    let lost_id = trace_id("lost");
    let lost_attempts = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let server = Stub::start({
        let (lost_id, lost_attempts) = (lost_id.clone(), lost_attempts.clone());
        move |request| match request.header("x-trace-id") == lost_id {
            true if lost_attempts.fetch_add(1, Ordering::SeqCst) == 0 => Reply::NoResponse,
            true => ok("second"),
            false => ok("other"),
        }
    });
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    // A long latency target, so that the second attempt meets it on a slow machine too.
    let generous = config("127.0.0.1:0", agent.stub.addr, Some(&known))
        .replace(r#""Aim":1500000000,"Deadline":4000000000"#, r#""Aim":5000000000,"Deadline":12000000000"#);
    let gateway = GatewayProcess::start(&generous);
    let mut others = gateway.client();
    for n in 0..WARM_UP_REQUESTS {
        assert_eq!(others.call(&saldo(&format!("w{n}"), "4")).status(), 200);
    }
    let mut client = gateway.client();
    let pending = std::thread::spawn(move || client.call(&saldo("lost", "12")));
    until("the server has the request", || lost_attempts.load(Ordering::SeqCst) == 1);
    // The server keeps responding to the requests that arrive after the lost one.
    let mut n = 0;
    while !pending.is_finished() {
        assert_eq!(others.call(&saldo(&format!("x{n}"), "4")).text(), "other");
        n += 1;
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let response = pending.join().expect("the request is answered");
    assert_eq!((response.status(), response.text().as_str()), (200, "second"));
    assert_eq!(lost_attempts.load(Ordering::SeqCst), 2, "the request is sent once more");
    until("the lost attempt's connection is closed", || server.closed.load(Ordering::SeqCst) == 1);
}

#[test]
fn a_connection_found_closed_is_replaced_within_the_same_attempt() {
    let server = Stub::start(|_| Reply::RespondAndClose("served".to_owned()));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    for n in 1..=20 {
        // One attempt per request, idempotent by key: a retry would show as one more request at the server.
        assert_eq!(client.call(&abono(&format!("z{n}"), "3", "pago")).status(), 200);
        assert_eq!(server.requests(), n);
    }
}

#[test]
fn aborted_connections_do_not_exhaust_the_retry_budget() {
    let count = std::sync::atomic::AtomicUsize::new(0);
    let server = Stub::start(move |_| match count.fetch_add(1, Ordering::SeqCst) % 4 {
        3 => Reply::RawAndClose(""),
        _ => ok("served"),
    });
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    for n in 0..90 {
        let response = client.call(&saldo(&format!("b{n}"), "3"));
        assert_eq!((response.status(), response.text().as_str()), (200, "served"), "request {n}");
    }
    assert!(server.requests() >= 90 + 25, "a quarter of the attempts was aborted");
}

#[test]
fn retries_of_rejected_requests_stay_few() {
    let full = Reply::Respond(503, "X-Never-Ran: 1\r\n", String::new());
    let server = Stub::start(move |_| full.clone());
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    for n in 0..20 {
        assert!(is_rejection(client.call(&saldo(&format!("f{n}"), "3")).status()));
    }
    assert!(
        server.requests() <= 20 + 3,
        "{} attempts: the retry budget allows one retry, and a tenth of the attempts sent",
        server.requests()
    );
}

#[test]
fn idle_connections_are_closed_before_the_server_closes_them() {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let short = config("127.0.0.1:0", agent.stub.addr, Some(&known))
        .replace(r#""ConnIdle":15000000000"#, r#""ConnIdle":500000000"#);
    let gateway = GatewayProcess::start(&short);
    assert_eq!(gateway.client().call(&saldo("i", "3")).status(), 200);
    until("the gateway closes the idle connection", || server.closed.load(Ordering::SeqCst) == 1);
    assert_eq!(gateway.client().call(&saldo("j", "3")).status(), 200);
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn a_connection_idle_for_too_long_is_not_reused() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    let mut send_abono = |id: String| client.call(&abono(&id, "3", "pago")).status();
    let connections = || server.connections.load(Ordering::SeqCst);
    // Emulates a server that has closed an idle connection, which the gateway detects only by its next
    // request.
    let mut rounds = 0;
    until("a new connection is opened in place of an idle one", || {
        rounds += 1;
        assert_eq!(send_abono(format!("a{rounds}")), 200);
        std::thread::sleep(Duration::from_secs(1));
        server.set_handler(|_| Reply::RawAndClose(""));
        send_abono(format!("b{rounds}"));
        server.set_handler(|_| ok("served"));
        assert_eq!(send_abono(format!("c{rounds}")), 200);
        std::thread::sleep(Duration::from_secs(1));
        let before = connections();
        assert_eq!(send_abono(format!("d{rounds}")), 200);
        connections() > before
    });
    let before = connections();
    wait_for_reuse();
    assert_eq!(send_abono("e".to_owned()), 200);
    assert_eq!(connections(), before, "a connection that was just in use is still kept");
}

#[test]
fn malformed_meters_and_reports_are_logged_once_and_ignored() {
    let bad = "X-Meter: much\r\nEndpoint-Load-Metrics: TEXT queue=\r\n";
    let server = Stub::start(move |_| Reply::Respond(200, bad, "served".to_owned()));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    for n in 0..3 {
        assert_eq!(client.call(&saldo(&format!("m{n}"), "3")).status(), 200);
    }
    until("both headers are logged", || gateway.log().matches("malformed").count() >= 2);
    assert_eq!(gateway.log().matches("malformed meter").count(), 1);
    assert_eq!(gateway.log().matches("malformed load report").count(), 1);
}

#[test]
fn load_reports_affect_admission() {
    // When all servers report a long queue, the decision core sheds requests; when none does, it admits all
    // of them.
    let report = "Endpoint-Load-Metrics: TEXT queue=5000, qps=1\r\n";
    let server = Stub::start(move |_| Reply::Respond(200, report, "served".to_owned()));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    until("the gateway sheds requests", || {
        is_rejection(client.call(&saldo("q", "3")).status()) || gateway.log().contains("shedding: true")
    });
}

#[test]
fn an_unresponsive_server_is_retried_on_a_new_connection() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    // Two requests at the same time, so that two connections are kept.
    server.set_handler(|_| Reply::NoResponse);
    let mut clients = [gateway.client(), gateway.client()];
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&saldo(&format!("v{n}"), "4"));
    }
    until("the server has both requests", || server.requests() == 2);
    server.respond_to_pending(&ok("late"));
    for client in &mut clients {
        assert_eq!(client.read_response().expect("a response").text(), "late");
    }
    // The server fails without closing its connections, and nothing arrives on them any more.
    wait_for_reuse();
    let response = gateway.client().call(&abono("v2", "0.5", "pago"));
    assert!(response.status() >= 500 && !is_rejection(response.status()));
    server.set_handler(|_| ok("back"));
    assert_eq!(gateway.client().call(&abono("v3", "4", "pago")).text(), "back");
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        3,
        "no connection from before the failure was used"
    );
}

#[test]
fn malformed_responses_end_their_attempt_at_once() {
    // The client waits for longer than any timeout of the gateway, so that an attempt that waits for more
    // bytes is noticed.
    for malformed in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".to_owned(),
        "HTTP/1.1 500 No\r\nContent-Length: 20\r\n\r\nx".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nx".to_owned(),
        format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(100_000)),
    ] {
        let server = Stub::start(move |_| Reply::RawKeepOpen(malformed.clone()));
        let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
        let mut client = gateway.client();
        client.write(&abono("e", "7.5", "pago"));
        until("the attempt's connection is closed", || server.closed.load(Ordering::SeqCst) >= 1);
        assert_eq!(
            client.read_response().expect("a response").status(),
            502,
            "502, and not 504 for a timeout"
        );
    }
}

#[test]
fn an_interim_response_is_skipped() {
    let server = Stub::start(|_| {
        let interim = "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hint\r\nA: b\r\n\r\n";
        Reply::RawKeepOpen(interim.to_owned() + &response_text(200, "", "served"))
    });
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    for n in 0..3 {
        wait_for_reuse();
        assert_eq!(client.call(&saldo(&format!("i{n}"), "3")).text(), "served");
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 1, "the connection is reusable");
}

#[test]
fn a_connection_with_surplus_bytes_is_not_reused() {
    let surplus = response_text(200, "", "not yours");
    let late_surplus = surplus.clone();
    type ById = Box<dyn Fn(&str) -> Reply + Send + Sync>;
    let replies: [(&str, ById); 3] = [
        ("at once", Box::new(move |body: &str| Reply::RawKeepOpen(response_text(200, "", body) + &surplus))),
        (
            "a moment later",
            Box::new(move |body: &str| Reply::RespondThenBytes(body.to_owned(), late_surplus.clone())),
        ),
        (
            "noise",
            Box::new(|body: &str| Reply::RespondThenBytes(body.to_owned(), "\u{0}\u{1}noise".to_owned())),
        ),
    ];
    for (what, reply) in replies {
        let server = Stub::start(move |m| reply(m.header("x-trace-id")));
        let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
        let mut client = gateway.client();
        for n in 1..=5 {
            let id = format!("x{n}");
            assert_eq!(client.call(&abono(&id, "3", "pago")).text(), trace_id(&id), "{what}");
            // The surplus bytes have arrived when the next request is sent.
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
        assert_eq!(server.connections.load(Ordering::SeqCst), 5, "{what}");
        assert_eq!(server.requests(), 5, "{what}: one attempt each");
    }
}

#[test]
fn implausible_load_reports_are_ignored() {
    let implausible = "X-Meter: 1e300\r\nEndpoint-Load-Metrics: TEXT queue=1e300, qps=1\r\n";
    let server = Stub::start(move |_| Reply::Respond(200, implausible, "served".to_owned()));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    for n in 0..40 {
        assert_eq!(
            client.call(&saldo(&format!("t{n}"), "3")).status(),
            200,
            "if the report were used, the request would be rejected"
        );
    }
    assert!(!gateway.log().contains("shedding"), "{}", gateway.log());
}
