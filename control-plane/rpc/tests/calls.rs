//! Calls over real sockets against servers that answer wrongly, late, in part or not at all: no answer is taken for another
//! call's, and nothing is sent twice.

use marblecroft_rpc::{
    decode, encode, http, serve, Bytes, CallError, CallId, Caller, Direction, Envelope, Service,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(5);
/// A server that says nothing is given up after this time, in which it has read the question on any machine.
const SILENCE: Duration = Duration::from_secs(1);

/// What a wrong server does with a whole question.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// The first question is answered as it should be; the others get the answer to the one before.
    Late,
    Echo,
    OtherCaller,
    OtherNumber,
    OtherCallee,
    Garbage,
    Close,
    Reset,
    HalfHead,
    HalfBody,
    Silence,
    /// A whole answer and a second one behind it on the same connection.
    TwoAnswers,
}

/// A server that counts the questions it has read, on any connection.
struct WrongServer {
    address: SocketAddr,
    questions: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl WrongServer {
    fn start(behaviour: Behaviour) -> WrongServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
        let address = listener.local_addr().expect("an address");
        let (questions, connections) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (read, accepted) = (questions.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let read = read.clone();
                thread::spawn(move || answer_wrongly(stream, behaviour, &read));
            }
        });
        WrongServer { address, questions, connections }
    }

    fn questions(&self) -> usize {
        self.questions.load(Ordering::SeqCst)
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Reads one HTTP request; its body.
fn read_request(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text[..end].split("content-length: ").nth(1)?.split("\r\n").next()?;
            let length: usize = length.trim().parse().ok()?;
            if bytes.len() >= end + 4 + length {
                // The head has only ASCII, so its length is the same in bytes.
                return Some(bytes.split_off(bytes.len() - length));
            }
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    }
}

fn whole_answer(body: &[u8]) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer
}

fn reply_to(name: CallId, text: &str) -> Vec<u8> {
    let message = Bytes(encode(&text.to_owned()));
    encode(&Envelope { direction: Direction::Response, call_id: name, message })
}

fn answer_wrongly(mut stream: TcpStream, behaviour: Behaviour, read: &AtomicUsize) {
    let mut before: Option<CallId> = None;
    while let Some(body) = read_request(&mut stream) {
        read.fetch_add(1, Ordering::SeqCst);
        let Ok(envelope) = decode::<Envelope>(&body) else { return };
        let name = envelope.call_id;
        let other = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let answer = match behaviour {
            Behaviour::Late => whole_answer(&reply_to(before.unwrap_or(name), "late")),
            Behaviour::Echo => whole_answer(&body),
            Behaviour::OtherCaller => {
                whole_answer(&reply_to(CallId { caller: name.caller ^ 1, ..name }, "another's"))
            }
            Behaviour::OtherNumber => {
                whole_answer(&reply_to(CallId { sequence: name.sequence + 1, ..name }, "another one"))
            }
            Behaviour::OtherCallee => whole_answer(&reply_to(CallId { callee: other, ..name }, "elsewhere")),
            Behaviour::Garbage => whole_answer(b"no envelope"),
            Behaviour::TwoAnswers => {
                let mut both = whole_answer(&reply_to(name, "right"));
                both.extend(whole_answer(&reply_to(name, "second")));
                both
            }
            Behaviour::HalfHead => b"HTTP/1.1 200 OK\r\nContent-Le".to_vec(),
            Behaviour::HalfBody => {
                let mut answer = whole_answer(&reply_to(name, "right"));
                answer.truncate(answer.len() - 3);
                answer
            }
            Behaviour::Close => return,
            Behaviour::Reset => {
                reset(&stream);
                return;
            }
            Behaviour::Silence => {
                // Holds the connection until the caller gives up.
                drop(stream.read(&mut [0]));
                return;
            }
        };
        before = Some(name);
        if stream.write_all(&answer).is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::HalfHead | Behaviour::HalfBody) {
            drop(stream.shutdown(Shutdown::Write));
            return;
        }
    }
}

/// Lets the connection end with a reset.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
}

fn call(caller: &Caller, to: SocketAddr, within: Duration) -> Result<String, CallError> {
    caller.call(to, &"question".to_owned(), within)
}

#[test]
fn an_answer_that_is_not_this_calls_leaves_the_outcome_unknown() {
    for behaviour in [
        Behaviour::Echo,
        Behaviour::OtherCaller,
        Behaviour::OtherNumber,
        Behaviour::OtherCallee,
        Behaviour::Garbage,
    ] {
        let server = WrongServer::start(behaviour);
        let caller = Caller::new(Service::Coordinators);
        for count in 1..=3 {
            let error = call(&caller, server.address, WITHIN).expect_err("no answer of this call's");
            assert!(error.may_have_run(), "{behaviour:?}: {error}");
            assert_eq!(server.questions(), count, "{behaviour:?}: sent once a call");
            assert_eq!(server.connections(), count, "{behaviour:?}: the connection was ended");
        }
    }
}

#[test]
fn a_late_answer_on_a_kept_connection_is_not_believed() {
    let server = WrongServer::start(Behaviour::Late);
    let caller = Caller::new(Service::Stores);
    assert_eq!(call(&caller, server.address, WITHIN).expect("answered"), "late");
    let error = call(&caller, server.address, WITHIN).expect_err("the answer to the call before");
    assert!(error.may_have_run());
    assert_eq!((server.questions(), server.connections()), (2, 1), "on the kept connection");
    assert_eq!(call(&caller, server.address, WITHIN).expect("answered"), "late");
    assert_eq!((server.questions(), server.connections()), (3, 2), "on a new one");
}

#[test]
fn a_second_answer_on_a_connection_is_never_the_next_calls() {
    let server = WrongServer::start(Behaviour::TwoAnswers);
    let caller = Caller::new(Service::Stores);
    for _ in 0..20 {
        match call(&caller, server.address, WITHIN) {
            Ok(answer) => assert_eq!(answer, "right"),
            Err(error) => assert!(error.may_have_run(), "{error}"),
        }
    }
    assert!(server.questions() <= 20, "sent once a call");
}

#[test]
fn nothing_is_sent_again_after_a_close_a_reset_a_part_or_silence() {
    for behaviour in
        [Behaviour::Close, Behaviour::Reset, Behaviour::HalfHead, Behaviour::HalfBody, Behaviour::Silence]
    {
        let server = WrongServer::start(behaviour);
        let within = if matches!(behaviour, Behaviour::Silence) { SILENCE } else { WITHIN };
        let caller = Caller::new(Service::Coordinators);
        for count in 1..=3 {
            let error = call(&caller, server.address, within).expect_err("no whole answer");
            assert!(error.may_have_run(), "{behaviour:?}: {error}");
            assert_eq!(server.questions(), count, "{behaviour:?}");
        }
    }
}

#[test]
fn where_nobody_listens_nothing_was_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = call(&Caller::new(Service::Stores), address, WITHIN).expect_err("nobody listens");
    assert!(!error.may_have_run(), "{error}");
}

#[test]
fn a_call_for_another_service_or_address_is_not_carried_out() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = http::listen(address).expect("bound");
    let address = listener.local_addr().expect("an address");
    let carried_out = Arc::<AtomicUsize>::default();
    let count = carried_out.clone();
    let answer = move |question: String| {
        count.fetch_add(1, Ordering::SeqCst);
        Some(format!("answer to {question}"))
    };
    serve(listener, Service::Stores, answer).expect("serves");
    let right: Result<String, _> = call(&Caller::new(Service::Stores), address, WITHIN);
    assert_eq!(right.expect("answered"), "answer to question");
    call(&Caller::new(Service::Coordinators), address, WITHIN).expect_err("another service");
    assert_eq!(carried_out.load(Ordering::SeqCst), 1);
}
