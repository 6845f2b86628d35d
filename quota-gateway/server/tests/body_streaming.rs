//! Long request and response bodies, and the framings of bodies.

mod common;

use common::*;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::atomic::Ordering;
use std::thread;

const LENGTH: usize = 32_000_000;

/// A body in which a missing or misplaced part shows.
fn numbered_body(length: usize) -> String {
    let mut body: String = (0..length / 8).map(|n| format!("{n:08}")).collect();
    body.push_str(&"x".repeat(length % 8));
    body
}

/// The body in chunked coding, with chunk extensions and a trailer.
fn chunked(body: &str, chunk_size: usize) -> String {
    let chunks = body.as_bytes().chunks(chunk_size);
    let text = |chunk| std::str::from_utf8(chunk).expect("valid UTF-8");
    let chunks = chunks.map(|c| format!("{:x};part=\"a;b\"\r\n{}\r\n", c.len(), text(c)));
    chunks.collect::<String>() + "0\r\nChecksum: none\r\n\r\n"
}

/// Reads a response of any framing; returns its status, its body, and whether the body is complete.
fn read_body(client: &mut Client) -> (u16, Vec<u8>, bool) {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if client.0.read_line(&mut line).expect("a header line") <= 2 {
            break;
        }
        head.push(line.trim().to_ascii_lowercase());
    }
    let status = head[0].split(' ').nth(1).expect("a numeric status").parse().expect("a number");
    let value = |name: &str| head.iter().find_map(|l| l.strip_prefix(name).map(|v| v.trim().to_owned()));
    let mut body = Vec::new();
    if let Some(length) = value("content-length:") {
        let length = length.parse().expect("a numeric length");
        drop(client.0.by_ref().take(length).read_to_end(&mut body));
        let is_complete = body.len() as u64 == length;
        return (status, body, is_complete);
    }
    assert_eq!(value("transfer-encoding:").as_deref(), Some("chunked"));
    loop {
        let mut line = String::new();
        drop(client.0.read_line(&mut line));
        let Ok(size) = u64::from_str_radix(line.trim(), 16) else { return (status, body, false) };
        drop(client.0.by_ref().take(size).read_to_end(&mut body));
        line.clear();
        drop(client.0.read_line(&mut line));
        if size == 0 {
            return (status, body, true);
        }
    }
}

/// The peak resident memory of the process, in bytes.
fn peak_memory(gateway: &GatewayProcess) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a VmHWM line");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") << 10
}

#[test]
fn long_responses_are_streamed_in_every_framing() {
    let text = numbered_body(LENGTH);
    let server = Stub::start(|_| ok(""));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    assert_eq!(gateway.client().call(&saldo("warm", "3")).status(), 200);
    let before = peak_memory(&gateway);
    let framings = [
        Reply::Respond(200, "", text.clone()),
        Reply::RawKeepOpen(format!(
            "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunked(&text, 100_000)
        )),
        Reply::RawAndClose(Box::leak(
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}").into_boxed_str(),
        )),
    ];
    for (n, framing) in framings.into_iter().enumerate() {
        server.set_handler(move |_| framing.clone());
        // All responses are requested before the first is read: unread responses must not accumulate in the
        // gateway.
        let mut clients: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
        for (m, client) in clients.iter_mut().enumerate() {
            client.write(&saldo(&format!("l{n}{m}"), "3"));
        }
        until("the server has all requests", || server.requests() == 1 + 2 * (n + 1));
        for mut client in clients {
            let (status, body, is_complete) = read_body(&mut client);
            assert_eq!((status, body.len(), is_complete), (200, LENGTH, true), "framing {n}");
            assert!(body == text.as_bytes(), "the body in framing {n} is unchanged");
        }
    }
    let growth = peak_memory(&gateway).saturating_sub(before);
    assert!(growth < LENGTH / 2, "{growth} bytes for two responses of {LENGTH} bytes at the same time");
}

#[test]
fn a_short_response_counts_only_if_it_is_complete() {
    let server =
        Stub::start(|_| Reply::RawAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end"));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    assert_eq!(client.call(&abono("e", "3", "")).text(), "to the end", "the server announced the close");
    server.set_handler(|_| {
        Reply::RawAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncut o")
    });
    let response = client.call(&abono("f", "3", ""));
    assert_eq!(response.status(), 502, "{}", response.text());
}

#[test]
fn a_streamed_response_is_not_retried_and_its_truncation_is_visible() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    for (n, head) in ["Content-Length: 900000", "Transfer-Encoding: chunked"].into_iter().enumerate() {
        let part = numbered_body(200_000);
        let part =
            if n == 0 { part } else { chunked(&part, 1000).replace("0\r\nChecksum: none\r\n\r\n", "") };
        let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{part}");
        server.set_handler(move |_| Reply::RawAndClose(Box::leak(text.clone().into_boxed_str())));
        let mut client = gateway.client();
        client.write(&saldo(&format!("c{n}"), "3"));
        let (status, body, is_complete) = read_body(&mut client);
        assert_eq!(
            (status, body.len(), is_complete),
            (200, 200_000, false),
            "the client gets the part that was sent, and sees that it is cut off"
        );
        assert_eq!(
            server.requests(),
            n + 1,
            "a response that has begun is not retried, not even of an idempotent request"
        );
    }
}

#[test]
fn a_streamed_response_may_outlast_the_deadline() {
    let server = Stub::start(|_| Reply::NoResponse);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    client.write(&saldo("s", "0.5"));
    until("the server has the request", || server.requests() == 1);
    // The head declares a long body, most of which is sent only after the deadline.
    let text = numbered_body(300_000);
    let (first, rest) = text.split_at(1000);
    let mut stream = server.take_unanswered();
    stream
        .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{first}").as_bytes())
        .expect("write succeeds");
    let mut begun = [0; 12];
    client.0.read_exact(&mut begun).expect("the response begins");
    assert_eq!(&begun, b"HTTP/1.1 200");
    thread::sleep(std::time::Duration::from_millis(700));
    stream.write_all(rest.as_bytes()).expect("write succeeds");
    let mut line = b"HTTP/1.1 200".to_vec();
    let mut all = Vec::new();
    drop(client.0.by_ref().take(300_000).read_to_end(&mut all));
    line.extend_from_slice(&all);
    let end = line.windows(4).position(|w| w == b"\r\n\r\n").expect("a complete head") + 4;
    let mut body = line.split_off(end);
    let left = 300_000 - body.len() as u64;
    drop(client.0.by_ref().take(left).read_to_end(&mut body));
    assert!(body == text.as_bytes());
}

#[test]
fn long_request_bodies_are_streamed_once_and_unchanged() {
    let server = Stub::start(|m| ok(&format!("{} {}", m.body.len(), m.header("content-length"))));
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let text = numbered_body(LENGTH);
    let mut client = gateway.client();
    client.write(&abono("u", "3", &text));
    assert_eq!(client.read_response().expect("a response").text(), format!("{LENGTH} {LENGTH}"));
    assert!(server.last_request().body == text.as_bytes());
    assert!(peak_memory(&gateway) < LENGTH, "{} bytes", peak_memory(&gateway));
    // Both connections are reused, the one to the server after the reuse delay.
    wait_for_reuse();
    assert_eq!(client.call_on_this_connection(&abono("v", "3", "short")).text(), "5 5");
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

/// A server that accepts one connection and reads until it has received this many bytes or the connection
/// ends. It then closes the connection without a response. The thread returns the received bytes.
fn recording_server(bytes: usize) -> (Stub, thread::JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let mut stub = Stub::start(|_| ok("never asked"));
    stub.addr = listener.local_addr().expect("a bound socket");
    let received = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut received = Vec::new();
        let mut buffer = [0; 65536];
        while received.len() < bytes {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => received.extend_from_slice(&buffer[..n]),
                _ => return received,
            }
        }
        received
    });
    (stub, received)
}

#[test]
fn a_truncated_streamed_body_never_runs() {
    let (server, received) = recording_server(usize::MAX);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let request = abono("b", "3", &numbered_body(400_000));
    let mut client = gateway.client();
    client.write(&request[..200_000]);
    client.0.get_mut().shutdown(Shutdown::Both).expect("shut down the socket");
    let received = received.join().expect("the server's thread ends");
    assert!(received.len() < request.len() - 100_000, "the server's connection ended before the body did");
    // A client that stalls gets 408, and the server's connection is closed too.
    let (server, received) = recording_server(usize::MAX);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    client.write(&request[..200_000]);
    assert_eq!(client.read_response().expect("a response").status(), 408);
    assert!(client.is_closed());
    assert!(received.join().expect("the server's thread ends").len() < request.len() - 100_000);
}

#[test]
fn a_partly_sent_streamed_body_is_not_retried() {
    let (server, received) = recording_server(100_000);
    let (gateway, _agent) = GatewayProcess::with_servers(&[&server]);
    let mut client = gateway.client();
    // The connection may be closed while the rest is still being written.
    drop(client.0.get_mut().write_all(abono("h", "3", &numbered_body(8_000_000)).as_bytes()));
    let response = client.read_response().expect("a response");
    assert!(matches!(response.status(), 429 | 503), "{}: the request never ran", response.status());
    assert!(!response.header("retry-after").is_empty());
    received.join().expect("the server's thread ends");
}
