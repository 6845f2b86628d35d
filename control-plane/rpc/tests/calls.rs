//! Calls over real sockets to servers that respond incorrectly, late, incompletely or not at all. No response
//! to another call is accepted, and no request is sent twice.

use marblecroft_rpc::{
    decode, encode, http, serve, Bytes, CallError, CallId, Caller, Direction, Envelope, Service,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of calls to a server that does not respond; long enough for the server to read the request on any machine.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The reaction of a faulty server to a complete request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Responds to the first request correctly, and to each further one with the response to the previous one.
    Late,
    Echo,
    OtherCaller,
    OtherSequence,
    OtherCallee,
    Garbage,
    Close,
    Reset,
    TruncatedHeader,
    TruncatedBody,
    NoResponse,
    /// Sends a correct response and a second one after it on the same connection.
    TwoResponses,
}

/// A faulty server that counts its connections, and the requests that it has read on all of them.
struct FaultyServer {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl FaultyServer {
    fn start(behaviour: Behaviour) -> FaultyServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
        let address = listener.local_addr().expect("an address");
        let (requests, connections) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (read, accepted) = (requests.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let read = read.clone();
                thread::spawn(move || respond_incorrectly(stream, behaviour, &read));
            }
        });
        FaultyServer { address, requests, connections }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Reads one HTTP request and returns its body.
fn read_request(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text[..end].split("content-length: ").nth(1)?.split("\r\n").next()?;
            let length: usize = length.trim().parse().ok()?;
            if bytes.len() >= end + 4 + length {
                // The head contains only ASCII characters, so its length in bytes is the same as in the text.
                return Some(bytes.split_off(bytes.len() - length));
            }
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    }
}

fn http_response(body: &[u8]) -> Vec<u8> {
    let mut response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    response.extend_from_slice(body);
    response
}

fn response_to(call_id: CallId, text: &str) -> Vec<u8> {
    let message = Bytes(encode(&text.to_owned()));
    encode(&Envelope { direction: Direction::Response, call_id, message })
}

fn respond_incorrectly(mut stream: TcpStream, behaviour: Behaviour, read: &AtomicUsize) {
    let mut previous: Option<CallId> = None;
    while let Some(body) = read_request(&mut stream) {
        read.fetch_add(1, Ordering::SeqCst);
        let Ok(envelope) = decode::<Envelope>(&body) else { return };
        let call_id = envelope.call_id;
        let other = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let response = match behaviour {
            Behaviour::Late => http_response(&response_to(previous.unwrap_or(call_id), "late")),
            Behaviour::Echo => http_response(&body),
            Behaviour::OtherCaller => {
                http_response(&response_to(CallId { caller: call_id.caller ^ 1, ..call_id }, "another's"))
            }
            Behaviour::OtherSequence => http_response(&response_to(
                CallId { sequence: call_id.sequence + 1, ..call_id },
                "another one",
            )),
            Behaviour::OtherCallee => {
                http_response(&response_to(CallId { callee: other, ..call_id }, "elsewhere"))
            }
            Behaviour::Garbage => http_response(b"no envelope"),
            Behaviour::TwoResponses => {
                let mut both = http_response(&response_to(call_id, "right"));
                both.extend(http_response(&response_to(call_id, "second")));
                both
            }
            Behaviour::TruncatedHeader => b"HTTP/1.1 200 OK\r\nContent-Le".to_vec(),
            Behaviour::TruncatedBody => {
                let mut response = http_response(&response_to(call_id, "right"));
                response.truncate(response.len() - 3);
                response
            }
            Behaviour::Close => return,
            Behaviour::Reset => {
                reset_on_close(&stream);
                return;
            }
            Behaviour::NoResponse => {
                // Keeps the connection open until the caller closes it. The result of the read is irrelevant.
                let _ = stream.read(&mut [0]);
                return;
            }
        };
        previous = Some(call_id);
        if stream.write_all(&response).is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::TruncatedHeader | Behaviour::TruncatedBody) {
            // The caller may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Write);
            return;
        }
    }
}

/// Makes the connection end with a reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
}

fn call(caller: &Caller, to: SocketAddr, timeout: Duration) -> Result<String, CallError> {
    caller.call(to, &"request".to_owned(), timeout)
}

#[test]
fn a_response_to_another_call_makes_the_outcome_unknown() {
    for behaviour in [
        Behaviour::Echo,
        Behaviour::OtherCaller,
        Behaviour::OtherSequence,
        Behaviour::OtherCallee,
        Behaviour::Garbage,
    ] {
        let server = FaultyServer::start(behaviour);
        let caller = Caller::new(Service::Coordinators);
        for count in 1..=3 {
            let error = call(&caller, server.address, TIMEOUT).expect_err("no response to this call");
            assert!(error.may_have_executed(), "{behaviour:?}: {error}");
            assert_eq!(server.requests(), count, "{behaviour:?}: sent once per call");
            assert_eq!(server.connections(), count, "{behaviour:?}: the connection was discarded");
        }
    }
}

#[test]
fn a_late_response_on_a_reused_connection_is_rejected() {
    let server = FaultyServer::start(Behaviour::Late);
    let caller = Caller::new(Service::Stores);
    assert_eq!(call(&caller, server.address, TIMEOUT).expect("a response"), "late");
    let error = call(&caller, server.address, TIMEOUT).expect_err("the response to the previous call");
    assert!(error.may_have_executed());
    assert_eq!((server.requests(), server.connections()), (2, 1), "on the reused connection");
    assert_eq!(call(&caller, server.address, TIMEOUT).expect("a response"), "late");
    assert_eq!((server.requests(), server.connections()), (3, 2), "on a new one");
}

#[test]
fn a_second_response_on_a_connection_is_never_accepted_for_the_next_call() {
    let server = FaultyServer::start(Behaviour::TwoResponses);
    let caller = Caller::new(Service::Stores);
    for _ in 0..20 {
        match call(&caller, server.address, TIMEOUT) {
            Ok(response) => assert_eq!(response, "right"),
            Err(error) => assert!(error.may_have_executed(), "{error}"),
        }
    }
    assert!(server.requests() <= 20, "sent at most once per call");
}

#[test]
fn no_request_is_retried_after_a_close_a_reset_a_truncated_response_or_a_timeout() {
    for behaviour in [
        Behaviour::Close,
        Behaviour::Reset,
        Behaviour::TruncatedHeader,
        Behaviour::TruncatedBody,
        Behaviour::NoResponse,
    ] {
        let server = FaultyServer::start(behaviour);
        let timeout = if matches!(behaviour, Behaviour::NoResponse) { NO_RESPONSE_TIMEOUT } else { TIMEOUT };
        let caller = Caller::new(Service::Coordinators);
        for count in 1..=3 {
            let error = call(&caller, server.address, timeout).expect_err("no complete response");
            assert!(error.may_have_executed(), "{behaviour:?}: {error}");
            assert_eq!(server.requests(), count, "{behaviour:?}");
        }
    }
}

#[test]
fn a_refused_connection_means_that_nothing_was_executed() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = call(&Caller::new(Service::Stores), address, TIMEOUT).expect_err("no process listens");
    assert!(!error.may_have_executed(), "{error}");
}

#[test]
fn a_call_to_another_service_is_not_executed() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = http::listen(address).expect("bound");
    let address = listener.local_addr().expect("an address");
    let executed = Arc::<AtomicUsize>::default();
    let count = executed.clone();
    let handler = move |request: String| {
        count.fetch_add(1, Ordering::SeqCst);
        Some(format!("response to {request}"))
    };
    serve(listener, Service::Stores, handler).expect("serves");
    let response: Result<String, _> = call(&Caller::new(Service::Stores), address, TIMEOUT);
    assert_eq!(response.expect("a response"), "response to request");
    call(&Caller::new(Service::Coordinators), address, TIMEOUT).expect_err("another service");
    assert_eq!(executed.load(Ordering::SeqCst), 1);
}
