//! Discovery falls silent and answers again: how soon a gateway hears what its agent holds, from every state it can be in.

mod common;

use common::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From this long after a change is told nothing new may go to a server that drains.
const BINDS: Duration = Duration::from_millis(500);

/// An agent as the platform's: it answers at once with what it holds, and while it is silent nothing, ever, to the calls
/// that it has then.
#[derive(Clone, Default)]
struct Platform {
    silent: Arc<AtomicBool>,
    /// When it last answered a call.
    heard: Arc<Mutex<Option<Instant>>>,
}

impl Platform {
    fn answer(&self, call: &Message) -> Reply {
        let watch = watched(call);
        if let (Some((_, wait)), false) = (watch, self.silent.load(Ordering::SeqCst)) {
            thread::sleep(wait);
        }
        if self.silent.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        *self.heard.lock().unwrap() = Some(Instant::now());
        ok(&list(watch.map_or(7, |(since, _)| since), watch.is_none(), &[]))
    }

    fn start(silent: bool) -> (Platform, Stub) {
        let platform = Platform::default();
        platform.silent.store(silent, Ordering::SeqCst);
        let answers = platform.clone();
        (platform, Stub::start(move |call| answers.answer(call)))
    }

    /// Speaks again, and waits for the first call that it answers; how long that takes.
    fn speak(&self) -> Duration {
        let since = Instant::now();
        self.silent.store(false, Ordering::SeqCst);
        self.heard_since(since)
    }

    fn heard_since(&self, since: Instant) -> Duration {
        let mut took = None;
        until("it is asked again", || {
            let heard = self.heard.lock().unwrap().filter(|heard| *heard > since);
            took = heard.map(|heard| heard - since);
            took.is_some()
        });
        took.expect("just heard")
    }

    fn fall_silent(&self) {
        self.heard_since(Instant::now());
        self.silent.store(true, Ordering::SeqCst);
    }
}

fn before(agent: SocketAddr) -> Running {
    let known = list(1, true, &[]);
    Running::start(&config("127.0.0.1:0", agent, Some(&known)))
}

/// The best of three plays: a busy machine makes one late, and a wait that is too long all three.
fn soon(state: &str, play: impl Fn() -> Duration) {
    let best = (0..3).map(|_| play()).min().expect("plays");
    assert!(best < BINDS, "{state}: heard after {best:?}");
}

#[test]
fn a_recovered_agent_is_heard_in_time_whatever_call_was_unanswered() {
    for (state, silence) in
        [("a watch in flight", 10), ("a whole list in flight", 900), ("long silent", 2500)]
    {
        soon(state, || {
            let (platform, stub) = Platform::start(false);
            let _gateway = before(stub.addr);
            platform.fall_silent();
            thread::sleep(Duration::from_millis(silence));
            platform.speak()
        });
    }
}

#[test]
fn a_new_process_hears_an_agent_that_was_unresponsive_at_the_start() {
    soon("a start", || {
        let (platform, stub) = Platform::start(true);
        let _gateway = before(stub.addr);
        until("it has called", || stub.requests() > 0);
        platform.speak()
    });
}

#[test]
fn an_agent_is_heard_after_hanging_or_refused_connects() {
    for hanging in [true, false] {
        soon(if hanging { "a connection that hangs" } else { "a pause" }, || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
            socket.bind(&any.into()).expect("bound");
            let addr = socket.local_addr().unwrap().as_socket().expect("an address");
            // A queue that is full lets no connection come up; a socket that does not listen refuses.
            let mut queued = Vec::new();
            if hanging {
                socket.listen(0).expect("listens");
                while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(50)) {
                    queued.push(stream);
                }
            }
            let _gateway = before(addr);
            thread::sleep(Duration::from_millis(1500));
            let since = Instant::now();
            if !hanging {
                socket.listen(64).expect("listens");
            }
            let platform = Platform::default();
            let (answers, listener) = (platform.clone(), std::net::TcpListener::from(socket));
            Stub::on(listener, move |call| answers.answer(call));
            platform.heard_since(since)
        });
    }
}

#[test]
fn another_address_is_heard_whatever_call_the_first_left_unanswered() {
    soon("an address that changes", || {
        let (first, stub) = Platform::start(false);
        let gateway = before(stub.addr);
        first.fall_silent();
        let (second, other) = Platform::start(true);
        gateway.reload(&config("127.0.0.1:0", other.addr, None));
        until("the other is called", || other.requests() > 0);
        second.speak()
    });
}

/// Clients that connect and say nothing come while discovery is down, more than there are descriptors, and stay.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_block_discovery() {
    soon("a crowd", || {
        let (platform, stub) = Platform::start(false);
        let few = config("127.0.0.1:0", stub.addr, Some(&list(1, true, &[])))
            .replace(r#""sockets":256"#, r#""sockets":64"#);
        let gateway = Running::start_under("ulimit -n 64; exec \"$0\"", &few);
        platform.fall_silent();
        let crowd: Vec<TcpStream> =
            (0..100).map(|_| TcpStream::connect(gateway.addr).expect("connected")).collect();
        thread::sleep(Duration::from_millis(1000));
        let took = platform.speak();
        assert_eq!(crowd.len(), 100);
        assert!(!gateway.log().contains("accept:"), "descriptors are left: {}", gateway.log());
        took
    });
}

/// Where lists must be asked for each call costs: one at a time, and pauses that grow.
#[test]
fn a_polled_endpoint_list_is_not_requested_more_often() {
    let (platform, stub) = Platform::start(true);
    let settings = config("127.0.0.1:0", stub.addr, Some(&list(1, true, &[])));
    let _gateway = Running::start(&settings.replace(r#""Discovery":"push""#, r#""Discovery":"ask""#));
    until("it watches", || stub.requests() == 1);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(stub.requests(), 1, "a watch of 2.5 s is waited for alone");
    let call = stub.last();
    assert_eq!(watched(&call), Some((1, Duration::from_millis(2500))));
    // Silent, it is given up, and the whole list asked for in time for what counts as told 6 s after: once, whoever else asks.
    until("the whole list is asked for", || stub.requests() == 2);
    assert_eq!(watched(&stub.last()), None);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(stub.requests(), 2, "a call that waits its turn is not given up for that");
    drop(platform);
}
