//! Start, reload, SIGTERM and restart, and changes of the endpoint list.

mod common;

use common::*;
use std::process::Command;
use std::sync::atomic::Ordering;

/// Starts the gateway with a configuration that it must reject; returns its exit code and its standard error.
fn failed_start(config: Option<&str>) -> (Option<i32>, String) {
    let dir = temp_dir();
    let file = dir.join("config.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway"));
    for name in ["RELAY_CONFIG", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE"] {
        command.env_remove(name);
    }
    if let Some(config) = config {
        std::fs::write(&file, config).expect("write succeeds");
        command.env("RELAY_CONFIG", &file);
    }
    let output = command.output().expect("run the gateway");
    drop(std::fs::remove_dir_all(&dir));
    (output.status.code(), String::from_utf8(output.stderr).expect("valid UTF-8"))
}

#[test]
fn a_configuration_error_is_reported_in_one_line() {
    let agent = "127.0.0.1:1".parse().unwrap();
    let good = config("127.0.0.1:0", agent, None);
    let cases = [
        (None, "RELAY_CONFIG"),
        (Some("{".to_owned()), "EOF"),
        (Some(good.replace(r#""listen":"127.0.0.1:0","#, "")), "listen"),
        (Some(good.replace(r#""listen":"127.0.0.1:0""#, r#""listen":"here""#)), "listen"),
        (Some(good.replace(r#""seed":"92094eb940cf389a""#, r#""seed":"xyz""#)), "seed"),
        (Some(good.replace(r#""sockets":256"#, r#""sockets":8"#)), "limits.sockets"),
        (Some(good.replace(r#""listen""#, r#""console":"nowhere","listen""#)), "console"),
        (Some(good.replace(r#""MaxAttempts":5,"#, "")), "MaxAttempts"),
        (Some(good.replace("read_like", "unheard_of")), "Effect"),
        (Some(good.replace(r#""settings":"#, r#""known":{"version":"x"},"settings":"#)), "known.version"),
    ];
    for (config, field) in cases {
        let (code, errors) = failed_start(config.as_deref());
        assert_eq!(code, Some(2), "{field}: {errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.contains(field), "{field} in {errors}");
    }
}

#[test]
fn the_gateway_is_ready_once_it_has_an_endpoint_list() {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let gateway = GatewayProcess::start(&config("127.0.0.1:0", agent.stub.addr, None));
    let mut client = gateway.client();
    let up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(client.call(up).status(), 503);
    until("the gateway requests the full list", || agent.stub.requests() == 1);
    assert_eq!(agent.stub.last_request().start_line[1], "/discovery/hosts");
    agent.queue_reply(ok(&endpoint_list(7, true, &serving(&[&server]))));
    until("the gateway is ready", || client.call(up).status() == 200);
    assert_eq!(client.call(&saldo("u", "3")).status(), 200);
}

#[test]
fn changes_of_the_endpoint_list_are_applied() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b")), Stub::start(|_| ok("c"))];
    let (gateway, agent) = GatewayProcess::with_servers(&[&servers[0]]);
    let mut client = gateway.client();
    agent.wait_for_watch(1);
    assert_eq!(client.call(&saldo("l1", "3")).text(), "a");
    agent.queue_reply(ok(&endpoint_list(2, false, &[(&servers[0], "DRAINING"), (&servers[1], "SERVING")])));
    agent.wait_for_watch(2);
    for n in 0..10 {
        assert_eq!(
            client.call(&saldo(&format!("l2{n}"), "3")).text(),
            "b",
            "a draining server gets no new requests"
        );
    }
    until("the idle connection to the draining server is closed", || {
        servers[0].closed.load(Ordering::SeqCst) == 1
    });
    // Servers that are missing from a full list are removed.
    agent.queue_reply(ok(&endpoint_list(3, true, &serving(&[&servers[2]]))));
    agent.wait_for_watch(3);
    for n in 0..10 {
        assert_eq!(client.call(&saldo(&format!("l3{n}"), "3")).text(), "c");
    }
    agent.queue_reply(ok(&endpoint_list(4, false, &[(&servers[2], "DELETED")])));
    agent.wait_for_watch(4);
    assert!(matches!(client.call(&saldo("l4", "3")).status(), 429 | 503), "no server is left");
}

#[test]
fn an_agent_without_keep_alive_is_watched_too() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, agent) = GatewayProcess::with_servers(&[&server]);
    for version in 2..6 {
        agent.queue_reply(Reply::Respond(
            200,
            "Connection: close\r\n",
            endpoint_list(version, true, &serving(&[&server])),
        ));
        agent.wait_for_watch(version);
    }
    assert!(!gateway.log().contains("discovery"), "no call failed: {}", gateway.log());
}

#[test]
fn the_old_endpoint_list_stays_in_force_while_discovery_fails() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let (gateway, agent) = GatewayProcess::with_servers(&[&servers[0]]);
    let mut client = gateway.client();
    agent.wait_for_watch(1);
    let calls = agent.stub.requests();
    agent.queue_reply(ok(r#"{"version":9,"full":true,"servers":[{"id":"s-1","addr":"nowhere"}]}"#));
    agent.queue_reply(Reply::RawAndClose(""));
    agent.queue_reply(Reply::Respond(500, "", String::new()));
    // The gateway abandons a call without a response, and calls again by itself.
    agent.queue_reply(Reply::NoResponse);
    until("the gateway calls again each time", || agent.stub.requests() >= calls + 4);
    assert_eq!(client.call(&saldo("o1", "3")).text(), "a");
    agent.queue_reply(ok(&endpoint_list(5, true, &serving(&[&servers[1]]))));
    agent.wait_for_watch(5);
    assert_eq!(client.call(&saldo("o2", "3")).text(), "b");
    assert_eq!(gateway.log().matches("malformed list").count(), 1, "{}", gateway.log());
}

#[test]
fn after_a_failed_call_the_full_list_is_requested_until_it_arrives() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let (gateway, agent) = GatewayProcess::with_servers(&[&servers[0]]);
    agent.wait_for_watch(1);
    let calls = agent.stub.requests();
    // The watch is cut off, and the agent does not respond to two further calls.
    agent.queue_reply(Reply::RawAndClose(""));
    agent.queue_reply(Reply::NoResponse);
    agent.queue_reply(Reply::NoResponse);
    until("the gateway calls again each time", || agent.stub.requests() >= calls + 3);
    for call in &agent.stub.received.lock().unwrap()[calls..] {
        assert_eq!(call.start_line[1], "/discovery/hosts", "a watch would wait for changes");
    }
    agent.queue_reply(ok(&endpoint_list(5, true, &serving(&[&servers[1]]))));
    agent.wait_for_watch(5);
    assert_eq!(gateway.client().call(&saldo("w", "3")).text(), "b");
}

/// Discovery rejects calls when it has too many of them. Requests for the full list after each rejection kept
/// it overloaded.
#[test]
fn after_a_busy_response_the_watch_continues_from_the_current_version() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let (gateway, agent) = GatewayProcess::with_servers(&[&servers[0]]);
    agent.wait_for_watch(1);
    let calls = agent.stub.requests();
    for _ in 0..3 {
        agent.queue_reply(Reply::Respond(503, "", String::new()));
    }
    until("the gateway calls again each time", || agent.stub.requests() >= calls + 3);
    for call in &agent.stub.received.lock().unwrap()[calls..] {
        assert!(call.start_line[1].starts_with("/discovery/hosts?since=1&"), "{:?}", call.start_line);
    }
    agent.queue_reply(ok(&endpoint_list(5, true, &serving(&[&servers[1]]))));
    agent.wait_for_watch(5);
    assert_eq!(gateway.client().call(&saldo("w", "3")).text(), "b");
    assert_eq!(
        gateway.log().matches("discovery: busy").count(),
        1,
        "all rejected calls are logged in one line: {}",
        gateway.log()
    );
}

#[test]
fn accepted_and_still_arriving_requests_are_served_after_sigterm() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (mut gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut idle = gateway.client();
    assert_eq!(idle.call("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    let mut unused = gateway.client();
    let mut in_flight = gateway.client();
    in_flight.write(&saldo("t1", "1.5"));
    until("the server has the request", || server.requests() == 1);
    gateway.terminate();
    assert!(idle.is_closed(), "an idle connection is closed");
    let mut new = gateway.client();
    server.set_handler(|_| ok("served"));
    // A connection from before the signal that has sent no request yet, and one from after the signal.
    for client in [&mut unused, &mut new] {
        let response = client.call(&saldo("t2", "3"));
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
        assert!(client.is_closed());
    }
    let response = in_flight.read_response().expect("the request in flight is answered");
    assert_eq!(response.header("connection"), "close");
    assert!(gateway.exit().success());
    assert!(std::net::TcpStream::connect(gateway.addr).is_err());
}

#[test]
fn a_killed_gateway_restarts_on_its_address() {
    let server = Stub::start(|_| ok("served"));
    let (mut gateway, agent) = GatewayProcess::with_servers(&[&server]);
    let addr = gateway.addr;
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("k1", "3")).status(), 200);
    gateway.child.kill().expect("kill the gateway");
    gateway.exit();
    assert!(client.is_closed());
    let known = endpoint_list(1, true, &serving(&[&server]));
    let restarted = GatewayProcess::start(&config(&addr.to_string(), agent.stub.addr, Some(&known)));
    assert_eq!(restarted.addr, addr);
    assert_eq!(restarted.client().call(&saldo("k2", "3")).status(), 200);
}

#[test]
fn sighup_changes_discovery_and_keeps_requests_and_connections() {
    let servers = [Stub::start(|_| Reply::NoResponse), Stub::start(|_| ok("b"))];
    let (old, new) = (Agent::start(), Agent::start());
    let known = endpoint_list(41, true, &serving(&[&servers[0]]));
    let old_addr = old.stub.addr.to_string();
    // The environment variable names the old agent; after a reload the file takes precedence.
    let gateway = GatewayProcess::start_with(
        "exec \"$0\"",
        &config("127.0.0.1:0", old.stub.addr, Some(&known)),
        &[("RELAY_DISCOVERY", &old_addr)],
    );
    old.wait_for_watch(41);
    let mut client = gateway.client();
    client.write(&saldo("r1", "3.5"));
    until("the server has the request", || servers[0].requests() == 1);

    gateway.reload("{");
    until("the invalid file is logged", || gateway.log().contains("the old configuration stands"));
    assert_eq!(old.stub.closed.load(Ordering::SeqCst), 0, "the watch at the old agent continues");

    gateway.reload(&config("127.0.0.1:0", new.stub.addr, None));
    until("the new agent is called", || new.stub.requests() == 1);
    assert_eq!(new.stub.last_request().start_line[1], "/discovery/hosts", "the call is for the full list");
    servers[0].respond_to_pending(&ok("a"));
    assert_eq!(client.read_response().expect("the request in flight is answered").text(), "a");
    // A lower version than the old agent's: versions of different agents are not comparable.
    new.queue_reply(ok(&endpoint_list(3, true, &serving(&[&servers[1]]))));
    new.wait_for_watch(3);
    assert_eq!(client.call(&saldo("r2", "3")).text(), "b", "on the same connection as before");
    let calls = old.stub.requests();
    // The old agent's response to the watch that was in flight is ignored.
    old.queue_reply(ok(&endpoint_list(42, true, &serving(&[&servers[0]]))));
    assert_eq!(client.call(&saldo("r3", "3")).text(), "b");
    assert_eq!(old.stub.requests(), calls, "the old agent is not called again");
    // Another reload switches back to the old agent.
    gateway.reload(&config("127.0.0.1:0", old.stub.addr, None));
    until("the old agent is called again", || old.stub.requests() == calls + 1);
    assert_eq!(old.stub.last_request().start_line[1], "/discovery/hosts");
}

#[test]
fn a_malformed_entry_does_not_invalidate_the_endpoint_list() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let (gateway, agent) = GatewayProcess::with_servers(&[&servers[0]]);
    agent.wait_for_watch(1);
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("e0", "3")).text(), "a");
    // The first entry's state is unknown, so its server gets no new requests; the second entry is valid.
    let malformed = endpoint_list(2, false, &[(&servers[0], "ASLEEP"), (&servers[1], "SERVING")]);
    agent.queue_reply(ok(&malformed));
    agent.wait_for_watch(2);
    for n in 0..10 {
        assert_eq!(client.call(&saldo(&format!("e1{n}"), "3")).text(), "b");
    }
    agent.queue_reply(ok(&endpoint_list(3, true, &[(&servers[1], "SERVING")]).replace("[{", "[7,{}, {")));
    agent.wait_for_watch(3);
    assert_eq!(client.call(&saldo("e2", "3")).text(), "b");
    assert_eq!(gateway.log().matches("cannot be read").count(), 1, "{}", gateway.log());
}

#[test]
fn a_new_server_at_a_reused_address_gets_new_connections() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (gateway, agent) = GatewayProcess::with_servers(&[&server]);
    agent.wait_for_watch(1);
    let mut client = gateway.client();
    client.write(&saldo("n0", "3.5"));
    until("the server has the request", || server.requests() == 1);
    // The server is replaced by another one at the same address while an attempt is in flight.
    let replaced = endpoint_list(2, true, &serving(&[&server])).replace("\"id\":\"s-", "\"id\":\"t-");
    agent.queue_reply(ok(&replaced));
    agent.wait_for_watch(2);
    server.respond_to_pending(&ok("old"));
    assert_eq!(client.read_response().expect("a response").text(), "old");
    server.set_handler(|_| ok("new"));
    assert_eq!(client.call(&saldo("n1", "3")).text(), "new");
    assert_eq!(server.connections.load(Ordering::SeqCst), 2, "the new server gets a new connection");
}

#[test]
fn sigterm_waits_for_a_partial_first_request_but_not_for_connections_without_one() {
    let server = Stub::start(|_| ok("served"));
    let (mut gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let _idle: Vec<Client> = (0..5).map(|_| gateway.client()).collect();
    let mut slow = gateway.client();
    let request = saldo("slow", "3");
    let (begun, rest) = request.split_at(30);
    slow.write(begun);
    // Once a later request on another connection is answered, the gateway has read these first bytes.
    assert_eq!(gateway.client().call(&saldo("other", "3")).status(), 200);
    gateway.terminate();
    until("the gateway stops accepting", || std::net::TcpStream::connect(gateway.addr).is_err());
    // Without the partial request the gateway would have exited after a tenth of this time; a head may take
    // more than twice as long.
    std::thread::sleep(std::time::Duration::from_secs(1));
    slow.write(rest);
    let response = slow.read_response().expect("the request is served");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(gateway.exit().success());
}

#[test]
fn requests_in_flight_are_answered_before_the_process_must_exit() {
    let server = Stub::start(|_| Reply::NoResponse);
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let mut gateway = GatewayProcess::start(&config("127.0.0.1:0", agent.stub.addr, Some(&known)));
    // The class allows clients to wait for 7.5 s; SIGKILL may come 3.7 s after SIGTERM.
    let mut client = gateway.client();
    client.write(&abono("open", "7", "pago"));
    until("the server has the request", || server.requests() == 1);
    let terminated_at = std::time::Instant::now();
    gateway.terminate();
    let response = client.read_response().expect("a response");
    assert!(response.status() >= 500, "{}: the request may have run", response.status());
    assert!(terminated_at.elapsed().as_millis() < 3700, "{:?}", terminated_at.elapsed());
    assert!(gateway.exit().success());
}
