//! Races, forced on real connections: events between a decision and its execution, between a response and its
//! reading, and between a request and the close of its connection (`docs/findings/races.md`).

mod common;

use common::scripted::{HangingServer, ScriptedServer, ServerConnection};
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::Read;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

const UP_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// Starts a gateway with a console and these servers. It has a long connect timeout and a non-idempotent
/// class, and does not hedge.
fn start_gateway(servers: &[SocketAddr], change: impl Fn(String) -> String) -> (GatewayProcess, Agent) {
    let (gateway, agent) = GatewayProcess::with_non_idempotent_class(servers, |config| {
        change(config.replace(r#""ConnectTimeout":250000000"#, r#""ConnectTimeout":5000000000"#))
    });
    agent.wait_for_watch(1);
    (gateway, agent)
}

/// Waits until the gateway has processed all events that arrived before the call.
fn wait_until_processed(gateway: &GatewayProcess) {
    for _ in 0..3 {
        gateway.client().call(UP_REQUEST);
    }
}

fn trace_id_of(message: &Message) -> &str {
    message.header("x-trace-id")
}

#[test]
fn a_disconnect_after_a_pipelined_request_is_detected() {
    // The gateway reads ahead as many bytes as a head may have; the second of these requests is longer.
    for pipelined in [saldo("b", "3.5"), abono("b", "3.5", &"x".repeat(60_000))] {
        let server = ScriptedServer::start();
        let (gateway, _agent) = start_gateway(&[server.addr], unchanged);
        let mut client = gateway.client();
        client.write(&(saldo("a", "3.5") + &pipelined));
        let (connection, first) = server.accept_request();
        assert_eq!(trace_id_of(&first), trace_id("a"));
        drop(client);
        // The attempt is cancelled because of the disconnect, not by a timeout, and the pipelined request is
        // not sent.
        let outcome = r#"marblecroft_requests_total{class="saldo",end="client_gone"}"#;
        until("the disconnect is counted", || gateway.metric(outcome) == 1.0);
        assert_eq!(connection.read_to_close(), "", "nothing more is sent on the connection");
        let mut other = gateway.client();
        other.write(&saldo("c", "3"));
        let (mut connection, next) = server.accept_request();
        assert_eq!(trace_id_of(&next), trace_id("c"), "the next request at the server");
        connection.write(&response_text(200, "", "c"));
        assert_eq!(other.read_response().expect("a response").text(), "c");
    }
}

#[test]
fn a_request_is_not_sent_if_its_client_disconnected_during_the_connect() {
    for cancel in [true, false] {
        let (hanging, other) = (HangingServer::new(), Stub::start(|_| ok("other")));
        let (gateway, agent) = start_gateway(&[hanging.addr], |config| {
            config.replace(r#""Cancel":true"#, &format!(r#""Cancel":{cancel}"#))
        });
        let mut client = gateway.client();
        client.write(&saldo("a", "4"));
        wait_until_processed(&gateway);
        drop(client);
        wait_until_processed(&gateway);
        let server = hanging.release();
        if !cancel {
            // An attempt that may not be cancelled completes its connect, but nothing is written on the
            // connection.
            let connection = server.accept();
            wait_until_processed(&gateway);
            assert!(!connection.has_bytes(), "nothing is sent after the client has disconnected");
        }
        agent.queue_reply(ok(&hosts(2, true, &[(other.addr, "SERVING")])));
        agent.wait_for_watch(2);
        assert_eq!(gateway.client().call(&saldo("b", "3")).text(), "other");
        assert_eq!(
            server.try_accept().map(ServerConnection::read_to_close).unwrap_or_default(),
            "",
            "nothing is sent after the client has disconnected"
        );
    }
}

#[test]
fn a_server_that_drains_during_the_connect_gets_no_request() {
    let (hanging, other) = (HangingServer::new(), Stub::start(|_| ok("other")));
    let (gateway, agent) = start_gateway(&[hanging.addr], unchanged);
    let mut client = gateway.client();
    client.write(&nomina("a", "4", "pago"));
    wait_until_processed(&gateway);
    agent.queue_reply(ok(&hosts(2, true, &[(hanging.addr, "DRAINING"), (other.addr, "SERVING")])));
    agent.wait_for_watch(2);
    let server = hanging.release();
    let connection = server.accept();
    let response = client.read_response().expect("a response");
    assert_eq!(
        (response.status(), response.text().as_str()),
        (200, "other"),
        "another server gets the request, once"
    );
    assert_eq!(connection.read_to_close(), "", "nothing was written to the draining server");
}

#[test]
fn a_server_disabled_during_the_connect_gets_no_request() {
    let (hanging, other) = (HangingServer::new(), Stub::start(|_| ok("other")));
    let (gateway, agent) = start_gateway(&[hanging.addr], unchanged);
    let mut client = gateway.client();
    client.write(&nomina("a", "4", "pago"));
    wait_until_processed(&gateway);
    agent.queue_reply(ok(&hosts(2, false, &[(other.addr, "SERVING")])));
    agent.wait_for_watch(2);
    let disable = format!("/pay-servers/disable?name=s-{}", hanging.addr.port());
    assert_eq!(gateway.console_status("PUT", &disable), 200);
    let server = hanging.release();
    let connection = server.accept();
    let response = client.read_response().expect("a response");
    assert_eq!(
        (response.status(), response.text().as_str()),
        (200, "other"),
        "another server gets the request, once"
    );
    assert!(!connection.has_bytes(), "nothing was written to the disabled server");
}

/// The window counts from the first attempt. A retry whose connect completes after the window must not be
/// sent.
#[test]
fn a_retry_connected_after_its_idempotency_window_is_not_sent() {
    let window = Duration::from_millis(600);
    let (first, hanging) = (ScriptedServer::start(), HangingServer::new());
    let (gateway, agent) = start_gateway(&[first.addr], |config| {
        config.replace(r#""KeyTtl":5000000000"#, r#""KeyTtl":600000000"#)
    });
    let mut client = gateway.client();
    client.write(&abono("a", "7", "pago"));
    let (connection, message) = first.accept_request();
    let sent_at = Instant::now();
    assert_eq!(trace_id_of(&message), trace_id("a"));
    agent.queue_reply(ok(&hosts(2, true, &[(first.addr, "DRAINING"), (hanging.addr, "SERVING")])));
    agent.wait_for_watch(2);
    // The request may have run, so it is retried at once; the retry's connect completes after the end of the
    // window.
    connection.reset();
    sleep((sent_at + window + Duration::from_millis(20)).saturating_duration_since(Instant::now()));
    let server = hanging.release();
    let connection = server.accept();
    let response = client.read_response().expect("a response");
    assert!(
        response.status() >= 500 && response.status() != 503,
        "{}: the request may have run",
        response.status()
    );
    assert!(!connection.has_bytes(), "nothing is written after the window");
}

/// Waits for the next request on any of these connections or on a new one, which is added. Returns the
/// connection's index and the request.
fn next_request(server: &ScriptedServer, connections: &mut Vec<ServerConnection>) -> (usize, Message) {
    let mut at = None;
    until("a request arrives", || {
        connections.extend(server.try_accept());
        at = connections.iter().position(ServerConnection::has_bytes);
        at.is_some()
    });
    let at = at.expect("found above");
    (at, connections[at].request().expect("a request"))
}

/// Some servers send a response a second time, some milliseconds late. On a connection that is already in use
/// again, the second copy would be taken for the next request's response.
#[test]
fn a_connection_is_not_reused_right_after_a_response() {
    let server = ScriptedServer::start();
    let (gateway, _agent) = start_gateway(&[server.addr], unchanged);
    let mut client = gateway.client();
    let (mut connections, mut last_response_at) = (Vec::new(), Vec::new());
    for round in 0..60 {
        let name = format!("r{round}");
        client.write(&saldo(&name, "3"));
        let (at, message) = next_request(&server, &mut connections);
        assert_eq!(trace_id_of(&message), trace_id(&name));
        last_response_at.resize(connections.len(), None);
        let idle = last_response_at[at].map(|at: Instant| at.elapsed());
        assert!(idle.is_none_or(|idle| idle >= REUSE_DELAY), "reused after {idle:?}");
        last_response_at[at] = Some(Instant::now());
        connections[at].write(&response_text(200, "", &name));
        assert_eq!(client.read_response().expect("a response").text(), name);
        // A pause after every third request lets connections be reused.
        sleep(if round % 3 == 2 { REUSE_DELAY * 2 } else { Duration::ZERO });
    }
    assert!(connections.len() < 20, "{} connections for 60 requests: too few are reused", connections.len());
}

/// A client reads a response slowly, and has sent more than the gateway reads before it closes the
/// connection. The kernel resets a connection that is closed with unread bytes, and a reset discards the part
/// of the response that is in flight.
#[test]
fn unread_input_at_close_does_not_truncate_a_response() {
    const LENGTH: usize = 1 << 20;
    let server = ScriptedServer::start();
    let (gateway, _agent) = start_gateway(&[server.addr], unchanged);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(8 << 10).expect("set the socket option");
    socket.connect(&gateway.addr.into()).expect("connect");
    let stream: std::net::TcpStream = socket.into();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the socket option");
    let mut client = Client(std::io::BufReader::new(stream));
    let pipelined: String = (0..400).map(|n| saldo(&format!("b{n}"), "3")).collect();
    client.write(&(saldo("a", "3.5") + &pipelined));
    let (mut connection, message) = server.accept_request();
    assert_eq!(trace_id_of(&message), trace_id("a"));
    assert_eq!(gateway.console_status("PUT", "/drain"), 200);
    connection.write(&response_text(200, "", &"y".repeat(LENGTH)));
    // At this point the kernel holds the response, and the gateway has announced the close after it.
    wait_until_processed(&gateway);
    sleep(Duration::from_millis(300));
    let mut bytes = Vec::new();
    client.0.read_to_end(&mut bytes).expect("the complete response, without a reset");
    let text = String::from_utf8(bytes).expect("valid UTF-8");
    let (head, body) = text.split_once("\r\n\r\n").expect("a complete head");
    assert!(head.to_ascii_lowercase().contains("connection: close"), "{head}");
    assert_eq!(body.len(), LENGTH);
}

#[test]
fn a_reset_response_of_unknown_length_is_not_served() {
    let server = ScriptedServer::start();
    let (gateway, _agent) = start_gateway(&[server.addr], unchanged);
    let mut client = gateway.client();
    for (round, text) in ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", "HTTP/1.1 200 OK\r\n\r\nhalf"]
        .into_iter()
        .enumerate()
    {
        client.write(&nomina(&format!("a{round}"), "3", "pago"));
        let (mut connection, _) = server.accept_request();
        connection.write(text);
        wait_until_processed(&gateway);
        connection.reset();
        let response = client.read_response().expect("a response");
        assert_eq!(response.status(), 502, "the request may have run, and its result is unknown: {text:?}");
        assert!(server.try_accept().is_none(), "the request is not retried");
    }
}

#[test]
fn a_lost_connection_is_classified_by_how_much_was_sent() {
    for (what, reset_point, is_retried) in [
        // The server read nothing, but the gateway cannot observe this: the server's kernel had the request,
        // so it may have run.
        ("after the accept", ResetPoint::AfterAccept, false),
        ("after the request", ResetPoint::AfterSending(""), false),
        ("in the status line", ResetPoint::AfterSending("HTTP/1.1 20"), false),
        ("after an interim response", ResetPoint::AfterSending("HTTP/1.1 102 Wait\r\n\r\n"), false),
        ("in the head", ResetPoint::AfterSending("HTTP/1.1 200 OK\r\nContent-Le"), false),
        ("in the body", ResetPoint::AfterSending("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nser"), false),
        // A complete rejection proves that the request never ran, so it is retried whatever its class; one
        // without its last byte does not.
        (
            "in a rejection",
            ResetPoint::AfterSending("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 9\r\n\r\nf"),
            false,
        ),
        (
            "after a rejection",
            ResetPoint::AfterSending("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nno"),
            true,
        ),
    ] {
        let server = ScriptedServer::start();
        let (gateway, _agent) = start_gateway(&[server.addr], unchanged);
        let mut client = gateway.client();
        client.write(&nomina("a", "3", "pago"));
        match reset_point {
            ResetPoint::AfterAccept => server.accept().reset(),
            ResetPoint::AfterSending(text) => {
                let (mut first, _) = server.accept_request();
                first.write(text);
                if is_retried {
                    // The retry may come on this connection or on another one.
                    let mut connections = vec![first];
                    let (at, message) = next_request(&server, &mut connections);
                    assert_eq!(trace_id_of(&message), trace_id("a"));
                    connections[at].write(&response_text(200, "", "served"));
                    assert_eq!(client.read_response().expect("a response").text(), "served", "{what}");
                    continue;
                }
                wait_until_processed(&gateway);
                first.reset();
            }
        }
        if matches!(reset_point, ResetPoint::AfterAccept) {
            // If the last byte was not written, the request is retried; else the client gets an error. Never
            // both.
            let mut retry = None;
            until("a response or a retry", || {
                retry = retry.take().or_else(|| server.try_accept());
                retry.is_some() || has_response(&client)
            });
            if let Some(mut connection) = retry {
                assert_eq!(trace_id_of(&connection.request().expect("a request")), trace_id("a"), "{what}");
                connection.write(&response_text(200, "", "served"));
            }
            assert!(matches!(client.read_response().expect("a response").status(), 200 | 502), "{what}");
        } else {
            assert_eq!(
                client.read_response().expect("a response").status(),
                502,
                "{what}: the request may have run"
            );
            assert!(server.try_accept().is_none(), "{what}: the request is not retried");
        }
    }
}

/// When a server resets a connection.
enum ResetPoint {
    /// Right after the accept.
    AfterAccept,
    /// After reading the request and sending this text.
    AfterSending(&'static str),
}

/// Returns whether a response, or the end of the connection, can be read.
fn has_response(client: &Client) -> bool {
    let stream = client.0.get_ref();
    stream.set_nonblocking(true).expect("set the socket option");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("set the socket option");
    peeked.is_ok()
}

#[test]
fn repeated_sigterm_and_sighup_change_nothing() {
    for signals in [["-TERM", "-TERM"], ["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let server = ScriptedServer::start();
        let (mut gateway, _agent) = start_gateway(&[server.addr], unchanged);
        let mut client = gateway.client();
        client.write(&nomina("a", "3", "pago"));
        let (mut connection, _) = server.accept_request();
        signals.iter().for_each(|signal| gateway.signal(signal));
        until("the gateway stops accepting", || std::net::TcpStream::connect(gateway.addr).is_err());
        connection.write(&response_text(200, "", "served"));
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, "close"), "{signals:?}");
        assert!(gateway.exit().success(), "{signals:?}");
    }
}

#[test]
fn sigterm_before_the_first_endpoint_list_ends_the_process() {
    let agent = Agent::start();
    let mut gateway = GatewayProcess::start(&config("127.0.0.1:0", agent.stub.addr, None));
    until("the gateway requests the list", || agent.stub.requests() == 1);
    let mut client = gateway.client();
    assert_eq!(client.call(UP_REQUEST).status(), 503);
    gateway.terminate();
    assert!(gateway.exit().success());
}

/// A first request whose connection is in the listen queue at SIGTERM counts as received: the kernel has
/// accepted it.
#[test]
fn a_request_in_the_accept_queue_at_sigterm_is_answered() {
    let server = Stub::start(|_| ok("served"));
    let (mut gateway, _agent) = start_gateway(&[server.addr], unchanged);
    gateway.signal("-STOP");
    let mut queued: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    for (n, client) in queued.iter_mut().enumerate() {
        client.write(&saldo(&format!("q{n}"), "3.5"));
    }
    gateway.terminate();
    gateway.signal("-CONT");
    let responses: Vec<Message> =
        queued.iter_mut().map(|client| client.read_response().expect("a response")).collect();
    // 20 requests at the same time exceed the limit of requests in flight per server, so some are
    // rejected.
    assert!(responses.iter().all(|response| matches!(response.status(), 200 | 503)), "{responses:?}");
    assert_eq!(responses.iter().filter(|response| response.status() == 200).count(), server.requests());
    assert!(server.requests() > 0);
    assert!(gateway.exit().success());
}

/// A request arrives on an idle connection while the gateway closes it. The client sees the close and no
/// partial response, and the gateway does not forward the request.
#[test]
fn a_request_that_crosses_an_idle_close_is_served_at_most_once() {
    let server = Stub::start(|message| ok(message.header("x-trace-id")));
    let (mut gateway, _agent) = start_gateway(&[server.addr], unchanged);
    let mut idle: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    for (n, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.call_on_this_connection(&saldo(&format!("f{n}"), "3")).status(), 200);
    }
    let before = server.requests();
    gateway.terminate();
    // The connections are closed half a second later. These requests are sent before, during and after the
    // close.
    let mut served = 0;
    for (n, client) in idle.iter_mut().enumerate() {
        sleep(Duration::from_millis(25));
        let id = format!("s{n}");
        if std::io::Write::write_all(client.0.get_mut(), saldo(&id, "3").as_bytes()).is_err() {
            continue;
        }
        if let Some(response) = client.read_response() {
            assert_eq!((response.status(), response.text()), (200, trace_id(&id)));
            assert!(client.is_closed());
            served += 1;
        }
    }
    assert!(gateway.exit().success());
    assert_eq!(server.requests() - before, served, "requests without a response were not sent to the server");
    assert!(served > 0 && served < idle.len(), "{served}: some requests precede the close, some follow it");
}

/// Splits a text at these positions.
fn split_at_positions<'a>(text: &'a str, cuts: &[usize]) -> Vec<&'a str> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % text.len()).chain([0, text.len()]).collect();
    cuts.sort_unstable();
    cuts.windows(2).map(|ends| &text[ends[0]..ends[1]]).filter(|segment| !segment.is_empty()).collect()
}

/// Requests and responses arrive in several segments, each of which the gateway has read before the next is
/// written.
#[test]
fn messages_are_complete_wherever_segments_are_split() {
    let server = ScriptedServer::start();
    let (gateway, _agent) = start_gateway(&[server.addr], unchanged);
    let (connections, round) = (RefCell::new(Vec::new()), Cell::new(0));
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nser\r\n3;x=y\r\nved\r\n0\r\nA: b\r\n\r\n";
    let responses = [response_text(200, "X-Meter: 12\r\n", "served"), chunked.to_owned()];
    let cuts = || prop::collection::vec(0..400_usize, 0..5);
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let result = runner.run(&(cuts(), cuts(), 0..2_usize), |(request_cuts, response_cuts, form)| {
        round.set(round.get() + 1);
        let name = format!("p{}", round.get());
        let mut client = gateway.client();
        for segment in split_at_positions(&nomina(&name, "3.5", "pago 17"), &request_cuts) {
            client.write(segment);
            wait_until_processed(&gateway);
        }
        let mut connections = connections.borrow_mut();
        let (at, message) = next_request(&server, &mut connections);
        prop_assert_eq!(
            (trace_id_of(&message).to_owned(), message.text()),
            (trace_id(&name), "pago 17".to_owned())
        );
        for segment in split_at_positions(&responses[form], &response_cuts) {
            connections[at].write(segment);
            wait_until_processed(&gateway);
        }
        let response = client.read_response().expect("a response");
        prop_assert_eq!((response.status(), response.text()), (200, "served".to_owned()));
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}
