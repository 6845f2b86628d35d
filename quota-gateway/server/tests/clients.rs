//! The client side: responses, invalid requests, disconnects, and the limits on clients' connections.

mod common;

use common::*;
use std::sync::atomic::Ordering;

#[test]
fn a_request_is_forwarded_unchanged_and_its_response_body_returned() {
    let server = Stub::start(|m| ok(&format!("{} {}", m.header("x-trace-id"), m.text())));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();

    let response = client.call(&saldo("a1", "2.000"));
    assert_eq!((response.status(), response.text().as_str()), (200, format!("{} ", trace_id("a1")).as_str()));
    let forwarded = server.last_request();
    assert_eq!(forwarded.start_line[..2], ["GET".to_owned(), format!("/saldo?of={}", trace_id("a1"))]);
    assert!(!forwarded.headers.contains_key("idempotency-key"));
    let wait: f64 = forwarded.header("x-expires-in").parse().expect("a number of seconds");
    assert!(wait > 0.0 && wait < 2.0, "{wait}: the server is given less time than the client waits");

    wait_for_reuse();
    let response = client.call(&abono("a2", "5", "pago 17"));
    assert_eq!(
        (response.status(), response.text().as_str()),
        (200, format!("{} pago 17", trace_id("a2")).as_str())
    );
    let forwarded = server.last_request();
    assert_eq!(forwarded.start_line[..2], ["POST", "/abono/new"]);
    assert_eq!(forwarded.header("idempotency-key"), format!("key-{}", trace_id("a2")));
    assert_eq!(
        (server.requests(), server.connections.load(Ordering::SeqCst)),
        (2, 1),
        "one connection serves both"
    );
}

#[test]
fn a_malformed_request_is_rejected_and_reaches_no_server() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let good = saldo("b", "2");
    let without = |name: &str| {
        let lines = good.split_inclusive("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<String>()
    };
    let mut client = gateway.client();
    for (request, status, word) in [
        (without("X-Trace-Id"), 400, "x-trace-id"),
        (without("X-Qos"), 400, "x-qos"),
        (without("X-Contract"), 400, "x-contract"),
        (without("X-Client-Id"), 400, "x-client-id"),
        (without("X-Expires-In"), 400, "x-expires-in"),
        (without("X-Metering"), 400, "x-metering"),
        (good.replace("X-Qos: saldo", "X-Qos: nomina"), 400, "x-qos"),
        (good.replace("X-Qos: saldo", "X-Qos: abono"), 400, "x-qos"),
        (good.replace("X-Contract: basico", "X-Contract: oro"), 400, "x-contract"),
        (good.replace("00000000b4d65521", "+b4d65521"), 400, "x-client-id"),
        (good.replace("X-Expires-In: 2", "X-Expires-In: -2"), 400, "x-expires-in"),
        (good.replace("X-Expires-In: 2", "X-Expires-In: soon"), 400, "x-expires-in"),
        (good.replace("X-Expires-In: 2", "X-Expires-In: nan"), 400, "x-expires-in"),
        (good.replace("X-Expires-In: 2", "X-Expires-In: 0"), 400, "x-expires-in"),
        (good.replace("X-Expires-In: 2", "X-Expires-In: inf"), 400, "x-expires-in"),
        (good.replace("X-Expires-In: 2", "X-Expires-In: 2\r\nX-Expires-In: 3"), 400, "x-expires-in"),
        (good.replace("00000000b4d65521", "b4d65521"), 400, "x-client-id"),
        (good.replace("00000000b4d65521", "0000000200000000"), 400, "x-client-id"),
        (good.replace(&trace_id("b"), "b"), 400, "x-trace-id"),
        (good.replace(&trace_id("b"), "zzzzzzzzzzzzzzzz"), 400, "x-trace-id"),
        (good.replace("units=2", "units=two"), 400, "x-metering"),
        (good.replace("units=2", "units=0"), 400, "x-metering"),
        (good.replace("units=2", "units=nan"), 400, "x-metering"),
        (good.replace("units=2", "units=4"), 400, "x-metering"),
        (good.replace("units=2", "units=2,units=3"), 400, "x-metering"),
        (good.replace("spread=1", "spread=0"), 400, "x-metering"),
        (good.replace("spread=1", "spread=2"), 400, "x-metering"),
        (good.replace("first=0", "first=1"), 400, "x-metering"),
        (good.replace("first=0", "first=-1"), 400, "x-metering"),
        (good.replace(",first=0", ""), 400, "x-metering"),
        (good.replace("GET /saldo", "PUT /saldo"), 400, "GET"),
        (abono("b", "2", "x").replace("POST", "PATCH"), 400, "POST"),
        (abono("b", "2", "x").replace("Idempotency-Key", "Another-Key"), 400, "idempotency-key"),
        (good.replace("/saldo", "/nomina"), 404, "nomina"),
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(), 404, "class"),
        ("POST /up HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(), 400, "GET"),
    ] {
        let response = client.call(&request);
        assert_eq!(response.status(), status, "{request}");
        assert!(response.text().contains(word), "{word} in {}", response.text());
        assert_eq!(response.text().trim_end().lines().count(), 1);
    }
    // A body of more than 32 MiB is rejected: at once if its length is declared, and if it is chunked, once
    // that much has arrived.
    let too_long = abono("b", "2", "").replace("Content-Length: 0", "Content-Length: 33554433");
    assert_eq!(gateway.client().call(&too_long).status(), 413);
    let accepted = "x".repeat(64 << 10);
    assert_eq!(gateway.client().call(&abono("b", "2", &accepted)).status(), 200);
    assert_eq!(server.requests(), 1);
}

#[test]
fn a_rejection_is_immediate_and_has_a_retry_after() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let over_quota = saldo("r", "2").replace("X-Contract: basico", "X-Contract: nada");
    let response = gateway.client().call(&over_quota);
    assert!(matches!(response.status(), 429 | 503), "{}", response.status());
    let wait: f64 = response.header("retry-after").parse().expect("a number of seconds");
    assert!(wait > 0.0 && wait <= 0.5, "{wait}: Retry-After is at most MaxRetryAfter");
    assert_eq!(server.requests(), 0);
}

#[test]
fn a_retry_past_its_latency_target_is_rejected_and_reaches_no_server() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("f", "4")).status(), 200, "a first attempt");
    let unmarked = saldo("s", "2");
    let marked = unmarked.replace("X-Unknown: 1", "X-Second-Try: 1");
    let response = client.call(&marked);
    assert!(
        matches!(response.status(), 429 | 503),
        "{}: 2 of 4 s are left, and the latency target of 1.5 s has passed",
        response.status()
    );
    assert_eq!(server.requests(), 1);
    assert_eq!(client.call(&unmarked).status(), 200, "a request that is not marked as a retry is served");
}

#[test]
fn a_client_disconnect_cancels_its_attempt() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    client.write(&saldo("h", "4"));
    until("the server has the request", || server.requests() == 1);
    drop(client);
    until("the attempt's connection is closed", || server.closed.load(Ordering::SeqCst) == 1);
    server.set_handler(|_| ok("served"));
    assert_eq!(gateway.client().call(&saldo("i", "4")).status(), 200);
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        2,
        "the connection of a cancelled attempt is not reused"
    );
}

#[test]
fn more_clients_than_descriptors_are_all_served() {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let small =
        config("127.0.0.1:0", agent.stub.addr, Some(&known)).replace(r#""sockets":256"#, r#""sockets":64"#);
    let gateway = GatewayProcess::start_in_shell("ulimit -n 64; exec \"$0\"", &small);
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..80 {
        let mut client = gateway.client();
        assert_eq!(client.call(&saldo(&format!("c{n}"), "4")).status(), 200);
        clients.push(client);
    }
    assert_eq!(server.requests(), 80);
    assert!(!gateway.log().contains("accept"), "the gateway has enough descriptors: {}", gateway.log());
    assert!(clients[0].is_closed(), "the connection that was idle for longest was closed");
}

#[test]
fn the_gateway_recovers_from_descriptor_exhaustion() {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    // The process limit is lower than the configured number of sockets.
    let gateway = GatewayProcess::start_in_shell(
        "ulimit -n 32; exec \"$0\"",
        &config("127.0.0.1:0", agent.stub.addr, Some(&known)),
    );
    assert_eq!(gateway.client().call(&saldo("d", "4")).status(), 200);
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    until("the gateway runs out of descriptors", || gateway.log().contains("accept"));
    clients.truncate(4);
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("e", "20")).status(), 200);
    assert_eq!(gateway.log().matches("accept").count(), 1, "all failed accepts are logged in one line");
}

#[test]
fn unfinished_heads_do_not_block_other_clients() {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let small =
        config("127.0.0.1:0", agent.stub.addr, Some(&known)).replace(r#""sockets":256"#, r#""sockets":64"#);
    let gateway = GatewayProcess::start(&small);
    // More connections than the gateway admits, each with the beginning of a request.
    let mut stuck: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    stuck.iter_mut().for_each(|client| client.write("GET /saldo HTTP/1.1\r\nHost:"));
    assert_eq!(gateway.client().call(&saldo("p", "4")).status(), 200);
    assert_eq!(server.requests(), 1);
}

#[test]
fn an_unparsable_request_gets_a_reason_and_a_close() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let long_head = format!("GET /saldo HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(100_000));
    for (request, status, word) in [
        ("no such thing\r\n\r\n", 400, "unreadable"),
        ("GET /saldo HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400, "unreadable"),
        (&long_head, 431, "too long"),
    ] {
        let mut client = gateway.client();
        // The response may arrive before all of the request is sent.
        drop(std::io::Write::write_all(client.0.get_mut(), request.as_bytes()));
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.header("connection")), (status, "close"), "{request:.60}");
        assert!(response.text().contains(word), "{}", response.text());
        assert!(client.is_closed());
    }
    // A declared length is enough for a rejection, and a client that goes on sending can still read the
    // response.
    let huge = abono("g", "2", "").replace("Content-Length: 0", "Content-Length: 60000000");
    let mut client = gateway.client();
    client.write(&huge);
    client.write(&"x".repeat(300_000));
    assert_eq!(client.read_response().expect("a response").status(), 413);
    assert!(client.is_closed());
    assert_eq!(server.requests(), 0);
}

#[test]
fn ambiguous_framing_is_rejected_against_request_smuggling() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let smuggled = saldo("hidden", "3");
    let chunks = format!("0\r\n\r\n{smuggled}");
    let length = |n: usize| format!("Content-Length: {n}");
    let coding = "Transfer-Encoding: chunked";
    for lengths in [
        format!("{}\r\n{coding}", length(chunks.len())),
        format!("{coding}\r\n{}", length(chunks.len())),
        format!("{}\r\n{}", length(5), length(chunks.len())),
        format!("{}\r\n{}", length(5), length(5)),
        format!("{}, 5", length(5)),
    ] {
        let mut client = gateway.client();
        client.write(&(abono("outer", "3", "").replace("Content-Length: 0", &lengths) + &chunks));
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.header("connection")), (400, "close"), "{lengths}");
        assert!(client.is_closed(), "{lengths}");
    }
    assert_eq!(server.requests(), 0);
    // With chunked coding alone the request is valid, and another one may be pipelined after it.
    let mut client = gateway.client();
    let chunks = "2;a=b\r\npa\r\n2\r\ngo\r\n0\r\nA: b\r\n\r\n";
    let request = abono("c", "3", "").replace("Content-Length: 0", coding) + chunks;
    client.write(&(request + &saldo("behind", "3")));
    for body in ["pago", ""] {
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, ""));
        assert_eq!(
            server.received.lock().unwrap().iter().filter(|request| request.text() == body).count(),
            1
        );
    }
    assert_eq!(server.requests(), 2);
}

#[test]
fn the_trace_id_of_a_request_in_flight_is_reserved() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut first = gateway.client();
    first.write(&abono("same", "7", "pago"));
    until("the server has the request", || server.requests() == 1);
    let mut second = gateway.client();
    let response = second.call(&saldo("same", "3"));
    assert_eq!(response.status(), 400);
    assert!(response.text().contains("x-trace-id"), "{}", response.text());
    server.respond_to_pending(&ok("first"));
    assert_eq!(first.read_response().expect("a response").text(), "first");
    server.set_handler(|_| ok("again"));
    assert_eq!(
        second.call(&saldo("same", "3")).text(),
        "again",
        "the id is free once the first request has ended"
    );
}

#[test]
fn slow_clients_time_out() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut unused = gateway.client();
    let mut slow_head = gateway.client();
    slow_head.write("GET /saldo HTTP/1.1\r\nX-Qos:");
    let mut slow_body = gateway.client();
    slow_body.write(&abono("s", "7", "pago").replace("Content-Length: 4", "Content-Length: 5"));
    let mut idle = gateway.client();
    assert_eq!(idle.call(&saldo("k", "3")).status(), 200);
    assert!(unused.is_closed(), "a connection without a request");
    for (what, mut client) in [("head", slow_head), ("body", slow_body)] {
        let response = client.read_response().expect("a response");
        assert_eq!(response.status(), 408, "{what}");
        assert!(response.text().contains(what), "{}", response.text());
        assert!(client.is_closed(), "{what}");
    }
    assert!(idle.is_closed(), "a connection without a further request");
    assert_eq!(server.requests(), 1);
}

#[test]
fn connections_without_a_request_do_not_block_other_clients() {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let small =
        config("127.0.0.1:0", agent.stub.addr, Some(&known)).replace(r#""sockets":256"#, r#""sockets":64"#);
    let gateway = GatewayProcess::start(&small);
    let mut active = gateway.client();
    assert_eq!(active.call(&saldo("g0", "3")).status(), 200);
    let _idle: Vec<Client> = (0..300).map(|_| gateway.client()).collect();
    // Waiting for each idle connection in turn would take half a minute, longer than the client waits.
    assert_eq!(gateway.client().call(&saldo("g1", "4")).status(), 200);
    assert!(!gateway.log().contains("accept"), "the gateway has enough descriptors: {}", gateway.log());
}

#[test]
fn clients_that_do_not_read_responses_are_disconnected() {
    let server = Stub::start(|_| ok(&"x".repeat(60 << 10)));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    // Together, the responses exceed the kernel's socket buffers.
    client.write(&(0..400).map(|n| saldo(&format!("u{n}"), "4")).collect::<String>());
    until("the gateway closes the connection", || std::io::Write::write(client.0.get_mut(), b"GET").is_err());
    assert!(server.requests() < 400);
    assert_eq!(gateway.client().call(&saldo("v", "4")).status(), 200);
}

#[test]
fn connections_idle_after_one_request_are_closed_for_new_ones() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    // Of 256 descriptors, 134 are for clients, and 33 of these connections may be idle after a response.
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.call(&saldo(&format!("o{n}"), "3")).status(), 200);
    }
    // The connections that were idle for longest were closed first: clients that send again in the same order
    // must reconnect, and are served.
    for (n, client) in clients.iter_mut().take(20).enumerate() {
        let before = client.0.get_ref().local_addr().expect("a bound socket");
        assert_eq!(client.call(&saldo(&format!("p{n}"), "3")).status(), 200);
        assert_ne!(
            client.0.get_ref().local_addr().expect("a bound socket"),
            before,
            "client {n} was not disconnected"
        );
    }
}
