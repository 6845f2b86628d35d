//! What operators ask of a running gateway: the console, pay servers left out, drain.

mod common;

use common::*;
use std::io::{Read, Write};
use std::sync::atomic::Ordering;

const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

fn name(stub: &Stub) -> String {
    format!("s-{}", stub.addr.port())
}

#[test]
fn the_console_reports_ready_once_clients_are_accepted() {
    let agent = Agent::start();
    let config = config("127.0.0.1:0", agent.stub.addr, None);
    let gateway = Running::start_with("exec \"$0\"", &config, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    assert_eq!(gateway.call("GET", "/ready"), 503, "it holds no list");
    agent.tell(ok(&list(1, true, &[])));
    until("it is ready", || gateway.call("GET", "/ready") == 200);
    assert_eq!(gateway.client().ask(UP).status(), 200);
}

#[test]
fn invalid_console_calls_fail_and_change_nothing() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = Running::with_console(&[&server]);
    let id = name(&server);
    for (method, path, status) in [
        ("GET", "/".to_owned(), 404),
        ("PUT", "/pay-servers".to_owned(), 404),
        ("GET", "/drain".to_owned(), 405),
        ("POST", "/undrain".to_owned(), 405),
        ("PUT", "/ready".to_owned(), 405),
        ("GET", format!("/pay-servers/disable?name={id}"), 405),
        ("PUT", "/pay-servers/disable".to_owned(), 400),
        ("PUT", "/pay-servers/disable?name=".to_owned(), 400),
        ("PUT", format!("/pay-servers/disable?id={id}"), 400),
        ("PUT", format!("/pay-servers/disable?name={id}&name={id}"), 400),
        ("PUT", "/pay-servers/disable?name=s-none".to_owned(), 404),
        ("PUT", "/pay-servers/enable?name=s-none".to_owned(), 404),
        ("PUT", format!("/pay-servers/disable?name={}", "x".repeat(100_000)), 431),
    ] {
        let mut caller = Client::connect(gateway.console());
        // The answer may come before all is sent.
        let call = format!("{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n");
        drop(caller.0.get_mut().write_all(call.as_bytes()));
        let answer = caller.answer().map(|answer| answer.status());
        let expected = if status == 431 { [Some(431), Some(414)] } else { [Some(status); 2] };
        assert!(expected.contains(&answer), "{answer:?} to {method} {path:.60}");
    }
    let disable = format!("PUT /pay-servers/disable?name={id} HTTP/1.1\r\n");
    for (call, status) in [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (format!("{disable}Content-Length: x\r\n\r\n"), 400),
        (format!("{disable}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400),
        (format!("{disable}Content-Length: 5000\r\n\r\n{}", "x".repeat(5000)), 413),
    ] {
        let mut caller = Client::connect(gateway.console());
        caller.write(&call);
        assert_eq!(caller.answer().expect("an answer").status(), status, "{call:.60}");
    }
    // Half a call, and its caller gives up.
    for half in [disable.clone(), format!("{disable}Content-Length: 5\r\n\r\n123")] {
        let mut caller = Client::connect(gateway.console());
        caller.write(&half);
        caller.0.get_mut().shutdown(std::net::Shutdown::Write).expect("shut");
        let mut rest = String::new();
        drop(caller.0.read_to_string(&mut rest));
        assert!(!rest.starts_with("HTTP/1.1 2"), "{rest}");
    }
    let mut client = gateway.client();
    assert_eq!(client.ask(&saldo("n", "3")).text(), "served", "nothing of this left the server out");
    assert_eq!(client.ask(UP).status(), 200);
}

#[test]
fn silent_console_callers_delay_neither_calls_nor_clients() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = Running::with_console(&[&server]);
    let mut silent: Vec<Client> = (0..200).map(|_| Client::connect(gateway.console())).collect();
    for half in &mut silent[150..] {
        drop(half.0.get_mut().write_all(b"PUT /dr"));
    }
    assert_eq!(gateway.call("GET", "/ready"), 200);
    assert_eq!(gateway.client().ask(&saldo("q", "3")).status(), 200);
    // Nor does a burst of them behind a call that is whole keep it from being read.
    let mut whole = Client::connect(gateway.console());
    whole.write("GET /ready HTTP/1.1\r\nHost: console\r\n\r\n");
    silent.extend((0..100).map(|_| Client::connect(gateway.console())));
    assert_eq!(whole.answer().expect("an answer").status(), 200);
    // Those that were silent for the longest made room, and the others go in time.
    for mut caller in silent {
        let mut rest = Vec::new();
        drop(caller.0.read_to_end(&mut rest));
    }
    assert_eq!(gateway.client().ask(UP).status(), 200, "none of the halves drained it");
}

#[test]
fn a_disabled_server_gets_no_requests_until_it_is_enabled() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let (gateway, agent) = Running::with_console(&[&servers[0], &servers[1]]);
    let out = format!("/pay-servers/disable?name={}", name(&servers[0]));
    let back = format!("/pay-servers/enable?name={}", name(&servers[0]));
    let mut client = gateway.client();
    let mut n = 0;
    let mut asked = |count: usize| -> Vec<String> {
        let mut ask = || {
            n += 1;
            client.ask(&saldo(&format!("x{n}"), "3")).text()
        };
        (0..count).map(|_| ask()).collect()
    };
    until("both are used", || asked(1) == ["a"]);
    assert_eq!(gateway.call("PUT", &out), 200);
    assert_eq!(gateway.call("PUT", &out), 200, "the call may arrive twice");
    assert!(asked(20).iter().all(|answer| answer == "b"));
    // It goes, and comes back under the same id.
    agent.watched(1);
    agent.tell(ok(&list(2, false, &[(&servers[0], "DELETED")])));
    agent.watched(2);
    agent.tell(ok(&list(3, true, &serving(&[&servers[0], &servers[1]]))));
    agent.watched(3);
    assert!(asked(20).iter().all(|answer| answer == "b"), "the list does not put it back");
    assert_eq!(gateway.call("PUT", &back), 200, "one call undoes both");
    until("it is used again", || asked(1) == ["a"]);
    // With none left, clients are told to come back.
    for server in &servers {
        assert_eq!(gateway.call("PUT", &format!("/pay-servers/disable?name={}", name(server))), 200);
    }
    assert!(matches!(gateway.client().ask(&saldo("none", "3")).status(), 429 | 503));
}

#[test]
fn a_drained_gateway_serves_arriving_requests_and_closes_connections() {
    let server = Stub::start(|_| Reply::Silence);
    let (mut gateway, _agent) = Running::with_console(&[&server]);
    let (mut idle, mut kept) = (gateway.client(), gateway.client());
    assert_eq!(idle.ask(UP).status(), 200);
    assert_eq!(kept.ask(UP).status(), 200);
    let mut taken = gateway.client();
    taken.write(&saldo("d1", "3"));
    until("the server has it", || server.requests() == 1);
    assert_eq!(gateway.call("PUT", "/drain"), 200);
    assert_eq!(gateway.call("PUT", "/drain"), 200);
    // The next request on a connection that was kept is served, and then a new connection's.
    server.speak(&ok("taken"));
    server.act(|_| ok("served"));
    for (client, request) in [(&mut kept, saldo("d2", "3")), (&mut gateway.client(), saldo("d3", "3"))] {
        rest();
        client.write(&request);
        let answer = client.answer().expect("it is served");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert!(client.ends());
    }
    let answer = taken.answer().expect("what was in hand is answered");
    assert_eq!((answer.text().as_str(), answer.header("connection")), ("taken", "close"));
    assert!(idle.ends(), "one that stays idle is closed");
    let up = gateway.client().ask(UP);
    assert_eq!((up.status(), up.header("connection")), (503, "close"));
    assert_eq!(gateway.call("GET", "/ready"), 200, "the process still takes clients");

    assert_eq!(gateway.call("PUT", "/undrain"), 200);
    assert_eq!(gateway.call("PUT", "/undrain"), 200);
    let mut client = gateway.client();
    for n in 0..3 {
        rest();
        client.write(&saldo(&format!("u{n}"), "3"));
        let answer = client.answer().expect("an answer on the same connection");
        assert_eq!((answer.status(), answer.header("connection")), (200, ""));
    }
    client.write(UP);
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert!(gateway.child.try_wait().expect("waited for").is_none(), "no restart happens");
    assert_eq!(server.connections.load(Ordering::SeqCst), 1, "connections to servers are kept");
}

#[test]
fn without_a_configured_console_none_is_bound() {
    let (gateway, _agent) = Running::before(&[]);
    assert!(!gateway.log().contains("console"));
}
