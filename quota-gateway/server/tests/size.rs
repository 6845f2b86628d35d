//! Long bodies, either way, and the forms in which bodies come.

mod common;

use common::*;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::atomic::Ordering;
use std::thread;

const LENGTH: usize = 32_000_000;

/// A body that shows when a part of it is missing or in another place.
fn long(length: usize) -> String {
    let mut body: String = (0..length / 8).map(|n| format!("{n:08}")).collect();
    body.push_str(&"x".repeat(length % 8));
    body
}

fn chunked(body: &str, piece: usize) -> String {
    let chunks = body.as_bytes().chunks(piece);
    let text = |chunk| std::str::from_utf8(chunk).expect("ASCII");
    let chunks = chunks.map(|c| format!("{:x};part=\"a;b\"\r\n{}\r\n", c.len(), text(c)));
    chunks.collect::<String>() + "0\r\nChecksum: none\r\n\r\n"
}

/// Reads an answer in whichever form it comes; the body, and whether it is whole.
fn body(client: &mut Client) -> (u16, Vec<u8>, bool) {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if client.0.read_line(&mut line).expect("a line") <= 2 {
            break;
        }
        head.push(line.trim().to_ascii_lowercase());
    }
    let status = head[0].split(' ').nth(1).expect("a status").parse().expect("a number");
    let value = |name: &str| head.iter().find_map(|l| l.strip_prefix(name).map(|v| v.trim().to_owned()));
    let mut body = Vec::new();
    if let Some(length) = value("content-length:") {
        let length = length.parse().expect("a length");
        drop(client.0.by_ref().take(length).read_to_end(&mut body));
        let whole = body.len() as u64 == length;
        return (status, body, whole);
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

/// The most memory that the process has held, in bytes.
fn peak(gateway: &Running) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("it lives");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") << 10
}

#[test]
fn long_responses_are_streamed_in_every_framing() {
    let text = long(LENGTH);
    let server = Stub::start(|_| ok(""));
    let (gateway, _agent) = Running::before(&[&server]);
    assert_eq!(gateway.client().ask(&saldo("warm", "3")).status(), 200);
    let before = peak(&gateway);
    let forms = [
        Reply::Answer(200, "", text.clone()),
        Reply::Open(format!(
            "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunked(&text, 100_000)
        )),
        Reply::Raw(Box::leak(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}").into_boxed_str())),
    ];
    for (n, form) in forms.into_iter().enumerate() {
        server.act(move |_| form.clone());
        // All are asked for before the first is read: what is not taken must not pile up here.
        let mut clients: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
        for (m, client) in clients.iter_mut().enumerate() {
            client.write(&saldo(&format!("l{n}{m}"), "3"));
        }
        until("all are asked for", || server.requests() == 1 + 2 * (n + 1));
        for mut client in clients {
            let (status, came, whole) = body(&mut client);
            assert_eq!((status, came.len(), whole), (200, LENGTH, true), "form {n}");
            assert!(came == text.as_bytes(), "form {n} is unchanged");
        }
    }
    let more = peak(&gateway).saturating_sub(before);
    assert!(more < LENGTH / 2, "{more} bytes for two answers of {LENGTH} at once");
}

#[test]
fn a_short_response_counts_only_if_it_is_complete() {
    let server = Stub::start(|_| Reply::Raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end"));
    let (gateway, _agent) = Running::before(&[&server]);
    let mut client = gateway.client();
    assert_eq!(client.ask(&abono("e", "3", "")).text(), "to the end", "its end was announced");
    server.act(|_| Reply::Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncut o"));
    let answer = client.ask(&abono("f", "3", ""));
    assert_eq!(answer.status(), 502, "{}", answer.text());
}

#[test]
fn a_streamed_response_is_not_retried_and_its_break_is_visible() {
    let server = Stub::start(|_| Reply::Silence);
    let (gateway, _agent) = Running::before(&[&server]);
    for (n, head) in ["Content-Length: 900000", "Transfer-Encoding: chunked"].into_iter().enumerate() {
        let part = long(200_000);
        let part =
            if n == 0 { part } else { chunked(&part, 1000).replace("0\r\nChecksum: none\r\n\r\n", "") };
        let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{part}");
        server.act(move |_| Reply::Raw(Box::leak(text.clone().into_boxed_str())));
        let mut client = gateway.client();
        client.write(&saldo(&format!("c{n}"), "3"));
        let (status, came, whole) = body(&mut client);
        assert_eq!(
            (status, came.len(), whole),
            (200, 200_000, false),
            "what there was, and that it is cut off"
        );
        assert_eq!(server.requests(), n + 1, "a read may be repeated, but not once it has begun");
    }
}

#[test]
fn a_streamed_response_may_outlast_the_deadline() {
    let server = Stub::start(|_| Reply::Silence);
    let (gateway, _agent) = Running::before(&[&server]);
    let mut client = gateway.client();
    client.write(&saldo("s", "0.5"));
    until("the server has it", || server.requests() == 1);
    // It says at once that it is long, and takes its time.
    let text = long(300_000);
    let (first, rest) = text.split_at(1000);
    let mut stream = server.silent_stream();
    stream
        .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{first}").as_bytes())
        .expect("sent");
    let mut begun = [0; 12];
    client.0.read_exact(&mut begun).expect("it begins");
    assert_eq!(&begun, b"HTTP/1.1 200");
    thread::sleep(std::time::Duration::from_millis(700));
    stream.write_all(rest.as_bytes()).expect("sent");
    let mut line = b"HTTP/1.1 200".to_vec();
    let mut all = Vec::new();
    drop(client.0.by_ref().take(300_000).read_to_end(&mut all));
    line.extend_from_slice(&all);
    let end = line.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let mut came = line.split_off(end);
    let left = 300_000 - came.len() as u64;
    drop(client.0.by_ref().take(left).read_to_end(&mut came));
    assert!(came == text.as_bytes());
}

#[test]
fn long_request_bodies_are_streamed_once_and_unchanged() {
    let server = Stub::start(|m| ok(&format!("{} {}", m.body.len(), m.header("content-length"))));
    let (gateway, _agent) = Running::before(&[&server]);
    let text = long(LENGTH);
    let mut client = gateway.client();
    client.write(&abono("u", "3", &text));
    assert_eq!(client.answer().expect("an answer").text(), format!("{LENGTH} {LENGTH}"));
    assert!(server.last().body == text.as_bytes());
    assert!(peak(&gateway) < LENGTH, "{} bytes", peak(&gateway));
    // The same connection goes on, either way, once the one to the server has rested.
    rest();
    assert_eq!(client.ask_here(&abono("v", "3", "short")).text(), "5 5");
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

/// A server that takes one connection and shows what came on it; it answers once so many bytes have come.
fn raw_server(bytes: usize) -> (Stub, thread::JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut stub = Stub::start(|_| ok("never asked"));
    stub.addr = listener.local_addr().expect("bound");
    let seen = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut seen = Vec::new();
        let mut piece = [0; 65536];
        while seen.len() < bytes {
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => seen.extend_from_slice(&piece[..n]),
                _ => return seen,
            }
        }
        seen
    });
    (stub, seen)
}

#[test]
fn a_truncated_streamed_body_never_runs() {
    let (server, seen) = raw_server(usize::MAX);
    let (gateway, _agent) = Running::before(&[&server]);
    let request = abono("b", "3", &long(400_000));
    let mut client = gateway.client();
    client.write(&request[..200_000]);
    client.0.get_mut().shutdown(Shutdown::Both).expect("shut");
    let seen = seen.join().expect("seen");
    assert!(seen.len() < request.len() - 100_000, "the server's connection ended before the body did");
    // One that says nothing more is told so, and the server's connection ends as well.
    let (server, seen) = raw_server(usize::MAX);
    let (gateway, _agent) = Running::before(&[&server]);
    let mut client = gateway.client();
    client.write(&request[..200_000]);
    assert_eq!(client.answer().expect("an answer").status(), 408);
    assert!(client.ends());
    assert!(seen.join().expect("seen").len() < request.len() - 100_000);
}

#[test]
fn a_partly_sent_streamed_body_is_not_retried() {
    let (server, seen) = raw_server(100_000);
    let (gateway, _agent) = Running::before(&[&server]);
    let mut client = gateway.client();
    // It may end while the rest is still being written.
    drop(client.0.get_mut().write_all(abono("h", "3", &long(8_000_000)).as_bytes()));
    let answer = client.answer().expect("an answer");
    assert!(matches!(answer.status(), 429 | 503), "{}: it never ran", answer.status());
    assert!(!answer.header("retry-after").is_empty());
    seen.join().expect("seen");
}
