//! Orders in which things go wrong, forced on real connections: what comes between a decision and its carrying out, an
//! answer and its taking, a request and the close of its connection (`docs/findings/races.md`).

mod common;

use common::scripted::{Hanging, Held, Scripted};
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::Read;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// A gateway with a console before these servers, that waits for long for a connection and sends no second copies; with
/// a class that must never run twice.
fn gateway(servers: &[SocketAddr], change: impl Fn(String) -> String) -> (Running, Agent) {
    let (gateway, agent) = Running::with_nomina(servers, |config| {
        change(config.replace(r#""ConnectTimeout":250000000"#, r#""ConnectTimeout":5000000000"#))
    });
    agent.watched(1);
    (gateway, agent)
}

/// Once this returns, the gateway has seen all that had come before.
fn seen_by(gateway: &Running) {
    for _ in 0..3 {
        gateway.client().ask(UP);
    }
}

fn id(message: &Message) -> &str {
    message.header("x-trace-id")
}

#[test]
fn a_disconnect_behind_a_pipelined_request_is_noticed() {
    // As much of it is read ahead as a head may hold; the second one is longer.
    for further in [saldo("b", "3.5"), abono("b", "3.5", &"x".repeat(60_000))] {
        let server = Scripted::start();
        let (gateway, _agent) = gateway(&[server.addr], as_it_is);
        let mut client = gateway.client();
        client.write(&(saldo("a", "3.5") + &further));
        let (held, first) = server.taken();
        assert_eq!(id(&first), trace("a"));
        drop(client);
        // Its attempt has gone with it, which is no end that its time would have made, and what it sent behind it goes
        // nowhere.
        let gone = r#"marblecroft_requests_total{class="saldo",end="client_gone"}"#;
        until("it is known to have gone", || gateway.metric(gone) == 1.0);
        assert_eq!(held.rest(), "", "nothing more on its connection");
        let mut other = gateway.client();
        other.write(&saldo("c", "3"));
        let (mut held, next) = server.taken();
        assert_eq!(id(&next), trace("c"), "the next that the server sees");
        held.say(&answer(200, "", "c"));
        assert_eq!(other.answer().expect("an answer").text(), "c");
    }
}

#[test]
fn a_request_is_not_sent_if_its_client_left_during_the_connect() {
    for cancel in [true, false] {
        let (hanging, other) = (Hanging::new(), Stub::start(|_| ok("other")));
        let (gateway, agent) = gateway(&[hanging.addr], |config| {
            config.replace(r#""Cancel":true"#, &format!(r#""Cancel":{cancel}"#))
        });
        let mut client = gateway.client();
        client.write(&saldo("a", "4"));
        seen_by(&gateway);
        drop(client);
        seen_by(&gateway);
        let server = hanging.release();
        if !cancel {
            // An attempt that may not be called off goes on to come up; nothing is written on it.
            let held = server.accept();
            seen_by(&gateway);
            assert!(!held.has_bytes(), "sent on after its client had gone");
        }
        agent.tell(ok(&hosts(2, true, &[(other.addr, "SERVING")])));
        agent.watched(2);
        assert_eq!(gateway.client().ask(&saldo("b", "3")).text(), "other");
        assert_eq!(
            server.waiting().map(Held::rest).unwrap_or_default(),
            "",
            "sent on after its client had gone"
        );
    }
}

#[test]
fn a_server_that_drains_during_the_connect_gets_no_request() {
    let (hanging, other) = (Hanging::new(), Stub::start(|_| ok("other")));
    let (gateway, agent) = gateway(&[hanging.addr], as_it_is);
    let mut client = gateway.client();
    client.write(&nomina("a", "4", "pago"));
    seen_by(&gateway);
    agent.tell(ok(&hosts(2, true, &[(hanging.addr, "DRAINING"), (other.addr, "SERVING")])));
    agent.watched(2);
    let server = hanging.release();
    let held = server.accept();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "other"), "another server has it, once");
    assert_eq!(held.rest(), "", "nothing was written to what drains");
}

#[test]
fn a_server_disabled_during_the_connect_gets_no_request() {
    let (hanging, other) = (Hanging::new(), Stub::start(|_| ok("other")));
    let (gateway, agent) = gateway(&[hanging.addr], as_it_is);
    let mut client = gateway.client();
    client.write(&nomina("a", "4", "pago"));
    seen_by(&gateway);
    agent.tell(ok(&hosts(2, false, &[(other.addr, "SERVING")])));
    agent.watched(2);
    let out = format!("/pay-servers/disable?name=s-{}", hanging.addr.port());
    assert_eq!(gateway.call("PUT", &out), 200);
    let server = hanging.release();
    let held = server.accept();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "other"), "another server has it, once");
    assert!(!held.has_bytes(), "nothing was written to what is left out");
}

/// The window counts from the first attempt; a connection for the next one that takes its time must not carry it past.
#[test]
fn a_retry_connected_after_its_idempotency_window_is_not_sent() {
    let window = Duration::from_millis(600);
    let (first, hanging) = (Scripted::start(), Hanging::new());
    let (gateway, agent) =
        gateway(&[first.addr], |config| config.replace(r#""KeyTtl":5000000000"#, r#""KeyTtl":600000000"#));
    let mut client = gateway.client();
    client.write(&abono("a", "7", "pago"));
    let (held, message) = first.taken();
    let begun = Instant::now();
    assert_eq!(id(&message), trace("a"));
    agent.tell(ok(&hosts(2, true, &[(first.addr, "DRAINING"), (hanging.addr, "SERVING")])));
    agent.watched(2);
    // It may have run, so the next attempt begins at once; its connection comes up once the window is over.
    held.reset();
    sleep((begun + window + Duration::from_millis(20)).saturating_duration_since(Instant::now()));
    let server = hanging.release();
    let held = server.accept();
    let answer = client.answer().expect("an answer");
    assert!(answer.status() >= 500 && answer.status() != 503, "{}: it may have run", answer.status());
    assert!(!held.has_bytes(), "written after the window");
}

/// The next request, wherever it comes: which of these connections it is on, new ones being added.
fn next(server: &Scripted, held: &mut Vec<Held>) -> (usize, Message) {
    let mut at = None;
    until("a request", || {
        held.extend(server.waiting());
        at = held.iter().position(Held::has_bytes);
        at.is_some()
    });
    let at = at.expect("just seen");
    (at, held[at].request().expect("a request"))
}

/// A server sends its answer once more, some milliseconds late. On a connection that is in use again by then it would be
/// taken for the next request's.
#[test]
fn a_connection_is_not_reused_right_after_a_response() {
    let server = Scripted::start();
    let (gateway, _agent) = gateway(&[server.addr], as_it_is);
    let mut client = gateway.client();
    let (mut held, mut answered) = (Vec::new(), Vec::new());
    for round in 0..60 {
        let name = format!("r{round}");
        client.write(&saldo(&name, "3"));
        let (at, message) = next(&server, &mut held);
        assert_eq!(id(&message), trace(&name));
        answered.resize(held.len(), None);
        let rested = answered[at].map(|answered: Instant| answered.elapsed());
        assert!(rested.is_none_or(|rested| rested >= REST), "used again after {rested:?}");
        answered[at] = Some(Instant::now());
        held[at].say(&answer(200, "", &name));
        assert_eq!(client.answer().expect("an answer").text(), name);
        // Every third time nothing follows at once, so that connections are used again.
        sleep(if round % 3 == 2 { REST * 2 } else { Duration::ZERO });
    }
    assert!(held.len() < 20, "{} connections for 60 requests: they are used again", held.len());
}

/// A client takes an answer slowly, and has sent more than the gateway reads before the connection ends: the system resets
/// a connection that is closed over unread bytes, and with it goes what is still on its way.
#[test]
fn unread_input_at_close_does_not_truncate_a_response() {
    const LENGTH: usize = 1 << 20;
    let server = Scripted::start();
    let (gateway, _agent) = gateway(&[server.addr], as_it_is);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(8 << 10).expect("set");
    socket.connect(&gateway.addr.into()).expect("connected");
    let stream: std::net::TcpStream = socket.into();
    stream.set_read_timeout(Some(LONG)).expect("set");
    let mut client = Client(std::io::BufReader::new(stream));
    let behind: String = (0..400).map(|n| saldo(&format!("b{n}"), "3")).collect();
    client.write(&(saldo("a", "3.5") + &behind));
    let (mut held, message) = server.taken();
    assert_eq!(id(&message), trace("a"));
    assert_eq!(gateway.call("PUT", "/drain"), 200);
    held.say(&answer(200, "", &"y".repeat(LENGTH)));
    // The answer is with the systems, and the gateway has said that the connection ends behind it.
    seen_by(&gateway);
    sleep(Duration::from_millis(300));
    let mut all = Vec::new();
    client.0.read_to_end(&mut all).expect("the answer to its end, and no reset");
    let text = String::from_utf8(all).expect("UTF-8");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.to_ascii_lowercase().contains("connection: close"), "{head}");
    assert_eq!(body.len(), LENGTH);
}

#[test]
fn a_reset_response_of_unknown_length_is_not_served() {
    let server = Scripted::start();
    let (gateway, _agent) = gateway(&[server.addr], as_it_is);
    let mut client = gateway.client();
    for (round, text) in ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", "HTTP/1.1 200 OK\r\n\r\nhalf"]
        .into_iter()
        .enumerate()
    {
        client.write(&nomina(&format!("a{round}"), "3", "pago"));
        let (mut held, _) = server.taken();
        held.say(text);
        seen_by(&gateway);
        held.reset();
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status(), 502, "it may have run, and what came of it is not known: {text:?}");
        assert!(server.waiting().is_none(), "and is not run again");
    }
}

#[test]
fn a_lost_connection_is_classified_by_how_much_was_sent() {
    for (what, breaks, sent_again) in [
        // Nothing was taken of it, but all may have been: the system had it.
        ("behind the accept", Break::AtOnce, false),
        ("behind the request", Break::Behind(""), false),
        ("in the status line", Break::Behind("HTTP/1.1 20"), false),
        ("behind an interim answer", Break::Behind("HTTP/1.1 102 Wait\r\n\r\n"), false),
        ("in the head", Break::Behind("HTTP/1.1 200 OK\r\nContent-Le"), false),
        ("in the body", Break::Behind("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nser"), false),
        // All but its last byte: it never ran, whatever class it is of.
        (
            "in a refusal",
            Break::Behind("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 9\r\n\r\nf"),
            false,
        ),
        (
            "behind a refusal",
            Break::Behind("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nno"),
            true,
        ),
    ] {
        let server = Scripted::start();
        let (gateway, _agent) = gateway(&[server.addr], as_it_is);
        let mut client = gateway.client();
        client.write(&nomina("a", "3", "pago"));
        match breaks {
            Break::AtOnce => server.accept().reset(),
            Break::Behind(text) => {
                let (mut first, _) = server.taken();
                first.say(text);
                if sent_again {
                    // Be it on this connection or on another.
                    let mut held = vec![first];
                    let (at, message) = next(&server, &mut held);
                    assert_eq!(id(&message), trace("a"));
                    held[at].say(&answer(200, "", "served"));
                    assert_eq!(client.answer().expect("an answer").text(), "served", "{what}");
                    continue;
                }
                seen_by(&gateway);
                first.reset();
            }
        }
        if matches!(breaks, Break::AtOnce) {
            // The last byte was written or was not: the one answer or a further attempt, never both.
            let mut again = None;
            until("an answer or a further attempt", || {
                again = again.take().or_else(|| server.waiting());
                again.is_some() || has_answer(&client)
            });
            if let Some(mut held) = again {
                assert_eq!(id(&held.request().expect("a request")), trace("a"), "{what}");
                held.say(&answer(200, "", "served"));
            }
            assert!(matches!(client.answer().expect("an answer").status(), 200 | 502), "{what}");
        } else {
            assert_eq!(client.answer().expect("an answer").status(), 502, "{what}: it may have run");
            assert!(server.waiting().is_none(), "{what}: it is not run again");
        }
    }
}

enum Break {
    AtOnce,
    /// Behind this much of an answer.
    Behind(&'static str),
}

fn has_answer(client: &Client) -> bool {
    let stream = client.0.get_ref();
    stream.set_nonblocking(true).expect("set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("set");
    peeked.is_ok()
}

#[test]
fn repeated_sigterm_and_sighup_change_nothing() {
    for signals in [["-TERM", "-TERM"], ["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let server = Scripted::start();
        let (mut gateway, _agent) = gateway(&[server.addr], as_it_is);
        let mut client = gateway.client();
        client.write(&nomina("a", "3", "pago"));
        let (mut held, _) = server.taken();
        signals.iter().for_each(|signal| gateway.signal(signal));
        until("it takes no more clients", || std::net::TcpStream::connect(gateway.addr).is_err());
        held.say(&answer(200, "", "served"));
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"), "{signals:?}");
        assert!(gateway.exit().success(), "{signals:?}");
    }
}

#[test]
fn sigterm_before_the_first_endpoint_list_ends_the_process() {
    let agent = Agent::start();
    let mut gateway = Running::start(&config("127.0.0.1:0", agent.stub.addr, None));
    until("it asks for the list", || agent.stub.requests() == 1);
    let mut client = gateway.client();
    assert_eq!(client.ask(UP).status(), 503);
    gateway.terminate();
    assert!(gateway.exit().success());
}

/// A first request that lies in the listener's queue as SIGTERM comes has been taken by this machine.
#[test]
fn a_request_in_the_accept_queue_at_sigterm_is_answered() {
    let server = Stub::start(|_| ok("served"));
    let (mut gateway, _agent) = gateway(&[server.addr], as_it_is);
    gateway.signal("-STOP");
    let mut queued: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    for (n, client) in queued.iter_mut().enumerate() {
        client.write(&saldo(&format!("q{n}"), "3.5"));
    }
    gateway.terminate();
    gateway.signal("-CONT");
    let answers: Vec<Message> = queued.iter_mut().map(|client| client.answer().expect("an answer")).collect();
    // All at once are more than one server may have out.
    assert!(answers.iter().all(|answer| matches!(answer.status(), 200 | 503)), "{answers:?}");
    assert_eq!(answers.iter().filter(|answer| answer.status() == 200).count(), server.requests());
    assert!(server.requests() > 0);
    assert!(gateway.exit().success());
}

/// Bytes come on a resting connection as the gateway ends it: the client has the end, not half an answer, and what it had
/// sent goes nowhere.
#[test]
fn a_request_that_crosses_an_idle_close_is_served_at_most_once() {
    let server = Stub::start(|message| ok(message.header("x-trace-id")));
    let (mut gateway, _agent) = gateway(&[server.addr], as_it_is);
    let mut resting: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    for (n, client) in resting.iter_mut().enumerate() {
        assert_eq!(client.ask_here(&saldo(&format!("f{n}"), "3")).status(), 200);
    }
    let before = server.requests();
    gateway.terminate();
    // They are closed half a second later; these cross it, some before, some at, some behind it.
    let mut served = 0;
    for (n, client) in resting.iter_mut().enumerate() {
        sleep(Duration::from_millis(25));
        let id = format!("s{n}");
        if std::io::Write::write_all(client.0.get_mut(), saldo(&id, "3").as_bytes()).is_err() {
            continue;
        }
        if let Some(answer) = client.answer() {
            assert_eq!((answer.status(), answer.text()), (200, trace(&id)));
            assert!(client.ends());
            served += 1;
        }
    }
    assert!(gateway.exit().success());
    assert_eq!(server.requests() - before, served, "what had no answer was sent on nowhere");
    assert!(served > 0 && served < resting.len(), "{served}: some come before the close, some behind");
}

/// The pieces of a text that is cut at these places.
fn pieces<'a>(text: &'a str, cuts: &[usize]) -> Vec<&'a str> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % text.len()).chain([0, text.len()]).collect();
    cuts.sort_unstable();
    cuts.windows(2).map(|ends| &text[ends[0]..ends[1]]).filter(|piece| !piece.is_empty()).collect()
}

/// Requests and answers come in pieces, each of which the gateway has read before the next is written.
#[test]
fn messages_are_complete_wherever_segments_are_split() {
    let server = Scripted::start();
    let (gateway, _agent) = gateway(&[server.addr], as_it_is);
    let (held, round) = (RefCell::new(Vec::new()), Cell::new(0));
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nser\r\n3;x=y\r\nved\r\n0\r\nA: b\r\n\r\n";
    let answers = [answer(200, "X-Meter: 12\r\n", "served"), chunked.to_owned()];
    let cuts = || prop::collection::vec(0..400_usize, 0..5);
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let played = runner.run(&(cuts(), cuts(), 0..2_usize), |(asked, answered, form)| {
        round.set(round.get() + 1);
        let name = format!("p{}", round.get());
        let mut client = gateway.client();
        for piece in pieces(&nomina(&name, "3.5", "pago 17"), &asked) {
            client.write(piece);
            seen_by(&gateway);
        }
        let mut held = held.borrow_mut();
        let (at, message) = next(&server, &mut held);
        prop_assert_eq!((id(&message).to_owned(), message.text()), (trace(&name), "pago 17".to_owned()));
        for piece in pieces(&answers[form], &answered) {
            held[at].say(piece);
            seen_by(&gateway);
        }
        let answer = client.answer().expect("an answer");
        prop_assert_eq!((answer.status(), answer.text()), (200, "served".to_owned()));
        Ok(())
    });
    played.unwrap_or_else(|e| panic!("{e}"));
}
