//! Operators' commands to a running gateway: the console, disabled pay servers, and drain.

mod common;

use common::*;
use std::io::{Read, Write};
use std::sync::atomic::Ordering;

const UP_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

fn server_id(stub: &Stub) -> String {
    format!("s-{}", stub.addr.port())
}

#[test]
fn the_console_reports_ready_once_clients_are_accepted() {
    let agent = Agent::start();
    let config = config("127.0.0.1:0", agent.stub.addr, None);
    let gateway = GatewayProcess::start_with("exec \"$0\"", &config, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    assert_eq!(gateway.console_status("GET", "/ready"), 503, "there is no endpoint list yet");
    agent.queue_reply(ok(&endpoint_list(1, true, &[])));
    until("the gateway is ready", || gateway.console_status("GET", "/ready") == 200);
    assert_eq!(gateway.client().call(UP_REQUEST).status(), 200);
}

#[test]
fn invalid_console_calls_fail_and_change_nothing() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_console(&[&server]);
    let id = server_id(&server);
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
        // The response may arrive before all of the command is sent.
        let call = format!("{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n");
        drop(caller.0.get_mut().write_all(call.as_bytes()));
        let response = caller.read_response().map(|response| response.status());
        let expected = if status == 431 { [Some(431), Some(414)] } else { [Some(status); 2] };
        assert!(expected.contains(&response), "{response:?} to {method} {path:.60}");
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
        assert_eq!(caller.read_response().expect("a response").status(), status, "{call:.60}");
    }
    // A caller that closes its side after a part of a command.
    for partial in [disable.clone(), format!("{disable}Content-Length: 5\r\n\r\n123")] {
        let mut caller = Client::connect(gateway.console());
        caller.write(&partial);
        caller.0.get_mut().shutdown(std::net::Shutdown::Write).expect("shut down the socket");
        let mut rest = String::new();
        drop(caller.0.read_to_string(&mut rest));
        assert!(!rest.starts_with("HTTP/1.1 2"), "{rest}");
    }
    let mut client = gateway.client();
    assert_eq!(client.call(&saldo("n", "3")).text(), "served", "none of the commands disabled the server");
    assert_eq!(client.call(UP_REQUEST).status(), 200);
}

#[test]
fn stalled_console_callers_delay_neither_calls_nor_clients() {
    let server = Stub::start(|_| ok("served"));
    let (gateway, _agent) = GatewayProcess::with_console(&[&server]);
    let mut stalled: Vec<Client> = (0..200).map(|_| Client::connect(gateway.console())).collect();
    for partial in &mut stalled[150..] {
        drop(partial.0.get_mut().write_all(b"PUT /dr"));
    }
    assert_eq!(gateway.console_status("GET", "/ready"), 200);
    assert_eq!(gateway.client().call(&saldo("q", "3")).status(), 200);
    // A burst of such callers after a complete command does not prevent it from being read either.
    let mut complete = Client::connect(gateway.console());
    complete.write("GET /ready HTTP/1.1\r\nHost: console\r\n\r\n");
    stalled.extend((0..100).map(|_| Client::connect(gateway.console())));
    assert_eq!(complete.read_response().expect("a response").status(), 200);
    // Callers are closed when further ones connect, the oldest first, and the others when they time out.
    for mut caller in stalled {
        let mut rest = Vec::new();
        drop(caller.0.read_to_end(&mut rest));
    }
    assert_eq!(gateway.client().call(UP_REQUEST).status(), 200, "no partial command drained the gateway");
}

#[test]
fn a_disabled_server_gets_no_requests_until_it_is_enabled() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let (gateway, agent) = GatewayProcess::with_console(&[&servers[0], &servers[1]]);
    let disable = format!("/pay-servers/disable?name={}", server_id(&servers[0]));
    let enable = format!("/pay-servers/enable?name={}", server_id(&servers[0]));
    let mut client = gateway.client();
    let mut n = 0;
    let mut responses = |count: usize| -> Vec<String> {
        let mut send_request = || {
            n += 1;
            client.call(&saldo(&format!("x{n}"), "3")).text()
        };
        (0..count).map(|_| send_request()).collect()
    };
    until("the first server is used", || responses(1) == ["a"]);
    assert_eq!(gateway.console_status("PUT", &disable), 200);
    assert_eq!(gateway.console_status("PUT", &disable), 200, "the command may arrive twice");
    assert!(responses(20).iter().all(|response| response == "b"));
    // The server is removed from the list, and added again with the same id.
    agent.wait_for_watch(1);
    agent.queue_reply(ok(&endpoint_list(2, false, &[(&servers[0], "DELETED")])));
    agent.wait_for_watch(2);
    agent.queue_reply(ok(&endpoint_list(3, true, &serving(&[&servers[0], &servers[1]]))));
    agent.wait_for_watch(3);
    assert!(
        responses(20).iter().all(|response| response == "b"),
        "a change of the list does not enable the server"
    );
    assert_eq!(gateway.console_status("PUT", &enable), 200, "one command undoes both");
    until("the server is used again", || responses(1) == ["a"]);
    // With no server left, requests are rejected.
    for server in &servers {
        assert_eq!(
            gateway.console_status("PUT", &format!("/pay-servers/disable?name={}", server_id(server))),
            200
        );
    }
    assert!(matches!(gateway.client().call(&saldo("none", "3")).status(), 429 | 503));
}

#[test]
fn a_drained_gateway_serves_arriving_requests_and_closes_connections() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (mut gateway, _agent) = GatewayProcess::with_console(&[&server]);
    let (mut idle, mut reused) = (gateway.client(), gateway.client());
    assert_eq!(idle.call(UP_REQUEST).status(), 200);
    assert_eq!(reused.call(UP_REQUEST).status(), 200);
    let mut in_flight = gateway.client();
    in_flight.write(&saldo("d1", "3"));
    until("the server has the request", || server.requests() == 1);
    assert_eq!(gateway.console_status("PUT", "/drain"), 200);
    assert_eq!(gateway.console_status("PUT", "/drain"), 200);
    // The next request on a connection that is still open is served, and so is one on a new connection.
    server.respond_to_pending(&ok("taken"));
    server.set_handler(|_| ok("served"));
    for (client, request) in [(&mut reused, saldo("d2", "3")), (&mut gateway.client(), saldo("d3", "3"))] {
        wait_for_reuse();
        client.write(&request);
        let response = client.read_response().expect("the request is served");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
        assert!(client.is_closed());
    }
    let response = in_flight.read_response().expect("the request in flight is answered");
    assert_eq!((response.text().as_str(), response.header("connection")), ("taken", "close"));
    assert!(idle.is_closed(), "a connection that stays idle is closed");
    let up = gateway.client().call(UP_REQUEST);
    assert_eq!((up.status(), up.header("connection")), (503, "close"));
    assert_eq!(gateway.console_status("GET", "/ready"), 200, "the process still accepts clients");

    assert_eq!(gateway.console_status("PUT", "/undrain"), 200);
    assert_eq!(gateway.console_status("PUT", "/undrain"), 200);
    let mut client = gateway.client();
    for n in 0..3 {
        wait_for_reuse();
        client.write(&saldo(&format!("u{n}"), "3"));
        let response = client.read_response().expect("a response on the same connection");
        assert_eq!((response.status(), response.header("connection")), (200, ""));
    }
    client.write(UP_REQUEST);
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert!(gateway.child.try_wait().expect("query the process").is_none(), "the process has not exited");
    assert_eq!(server.connections.load(Ordering::SeqCst), 1, "connections to servers are kept");
}

#[test]
fn without_a_configured_console_none_is_bound() {
    let (gateway, _agent) = GatewayProcess::with_servers(&[]);
    assert!(!gateway.log().contains("console"));
}
