//! Stand-in for a model server with slots and a queue, which rejects requests when both are full. In trouble
//! it sends some of its responses twice.

use super::http::{completed, response, Request};
use super::model_server::{accept_connections, entry};
use marblecroft_protocol::servers::Server;
use socket2::SockRef;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Shortest run of a request; the longest is [`RUN_TIME_SPREAD`] longer.
const MIN_RUN_TIME: Duration = Duration::from_millis(10);
const RUN_TIME_SPREAD: Duration = Duration::from_millis(30);
/// Shortest idle timeout of a connection that the server closes; the longest is [`IDLE_TIMEOUT_SPREAD`] longer.
/// Gateways reuse connections within the same range.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(10);
const IDLE_TIMEOUT_SPREAD: Duration = Duration::from_millis(100);
/// Time limit of a request that does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// When the second copy of a response is sent.
#[derive(Clone, Copy, Debug)]
pub enum Repetition {
    /// When the next request on the connection has been read, in the place of its response.
    BeforeNextResponse,
    /// At this time after the response, whatever happens on the connection.
    AfterDelay(Duration),
}

/// How a server behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot before further ones are rejected.
    pub queue: u32,
    /// Share of the requests that are rejected although there is a slot, in thousandths. Drawn anew for each
    /// server.
    pub rejected_permille: u64,
    /// Share of the executed requests whose connection ends in the place of the response, in thousandths. Half
    /// of these connections are reset.
    pub lost_permille: u64,
    /// Share of the responses after which the server closes the connection if it is idle for a while, in
    /// thousandths.
    pub closed_permille: u64,
    /// When second copies are sent.
    pub repetition: Repetition,
    /// One response in this many is sent twice.
    pub repeats_one_in: u64,
}

/// What a server did with a request.
#[derive(Clone, Debug)]
pub struct HandledRequest {
    pub id: String,
    pub server: String,
    pub zone: String,
    pub executed: bool,
    /// Whether the connection ended in the place of the response.
    pub lost: bool,
    /// Id of the request whose response was sent a second time in the place of this one's.
    pub preceded_by: Option<String>,
}

/// All requests that the servers have handled, in the order in which they were read.
pub type Record = Arc<Mutex<Vec<HandledRequest>>>;

/// The stand-in.
pub struct QueueingServer {
    state: Arc<State>,
    address: SocketAddr,
}

struct State {
    id: String,
    zone: String,
    behavior: Behavior,
    record: Record,
    places: Mutex<Places>,
    slot_released: Condvar,
}

#[derive(Default)]
struct Places {
    running: u32,
    waiting: u32,
}

/// A response that is to be sent a second time.
struct Copy {
    of: String,
    bytes: Vec<u8>,
}

impl QueueingServer {
    /// Starts a server that adds the requests that it handles to `record`.
    pub fn start(id: &str, zone: &str, behavior: Behavior, record: &Record) -> QueueingServer {
        let state = Arc::new(State {
            id: id.to_owned(),
            zone: zone.to_owned(),
            behavior,
            record: record.clone(),
            places: Mutex::default(),
            slot_released: Condvar::new(),
        });
        let serving = state.clone();
        // A connection that the gateway closes is no fault.
        let address = accept_connections(move |stream| drop(serving.serve_connection(stream)));
        QueueingServer { state, address }
    }

    /// Returns the server's entry in the list of servers.
    pub fn entry(&self) -> Server {
        entry(&self.state.id, &self.state.zone, self.address, self.state.behavior.slots)
    }

    /// Returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        let places = self.state.places();
        places.running == 0 && places.waiting == 0
    }
}

impl State {
    fn places(&self) -> MutexGuard<'_, Places> {
        self.places.lock().expect("not poisoned")
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let write = |bytes: &[u8]| writer.lock().expect("not poisoned").write_all(bytes);
        let mut reader = BufReader::new(stream);
        let mut copy: Option<Copy> = None;
        while let Some(request) = Request::read(&mut reader)? {
            let id = request.header("x-request-id").unwrap_or_default();
            let preceding = copy.take();
            if let Some(copy) = &preceding {
                write(&copy.bytes)?;
            }
            let Some(bytes) = self.handle(&request, id, preceding.map(|copy| copy.of)) else {
                if self.draw("resets", id, 500) {
                    SockRef::from(reader.get_ref()).set_linger(Some(Duration::ZERO))?;
                }
                return Ok(());
            };
            write(&bytes)?;
            let closes = self.draw("closes", id, self.behavior.closed_permille);
            reader.get_ref().set_read_timeout(closes.then_some(idle_timeout(id)))?;
            if !hash(id).is_multiple_of(self.behavior.repeats_one_in) {
                continue;
            }
            match self.behavior.repetition {
                Repetition::BeforeNextResponse => copy = Some(Copy { of: id.to_owned(), bytes }),
                Repetition::AfterDelay(delay) => {
                    let writer = writer.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        // Fails if the gateway has closed the connection.
                        let _ = writer.lock().expect("not poisoned").write_all(&bytes);
                    });
                }
            }
        }
        Ok(())
    }

    /// Runs or rejects a request. Returns the response, or `None` if the connection ends in its place.
    fn handle(&self, request: &Request, id: &str, preceded_by: Option<String>) -> Option<Vec<u8>> {
        let is_drawn_to_reject = self.draw("rejects", id, self.behavior.rejected_permille);
        let executed = !is_drawn_to_reject && self.take_slot(deadline(request));
        let lost = executed && self.draw("loses", id, self.behavior.lost_permille);
        let handled = HandledRequest {
            id: id.to_owned(),
            server: self.id.clone(),
            zone: self.zone.clone(),
            executed,
            lost,
            preceded_by,
        };
        self.record.lock().expect("not poisoned").push(handled);
        if !executed {
            return Some(response(503, &[("X-Not-Executed", "1"), ("X-Request-Id", id)], ""));
        }
        thread::sleep(run_time(id));
        self.places().running -= 1;
        self.slot_released.notify_one();
        (!lost).then(|| completed(id))
    }

    /// Draws whether this server does something with a request; `permille` is the share of requests.
    fn draw(&self, what: &str, id: &str, permille: u64) -> bool {
        hash(&format!("{} {what} {id}", self.id)) % 1000 < permille
    }

    /// Waits for a slot. Returns whether the request has one: the queue is not full, and the deadline has not
    /// passed in it.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut places = self.places();
        if places.running >= self.behavior.slots {
            if places.waiting >= self.behavior.queue {
                return false;
            }
            places.waiting += 1;
            let time_left = deadline.saturating_duration_since(Instant::now());
            let is_full = |places: &mut Places| places.running >= self.behavior.slots;
            let waited = self.slot_released.wait_timeout_while(places, time_left, is_full);
            let (guard, result) = waited.expect("not poisoned");
            places = guard;
            places.waiting -= 1;
            if result.timed_out() {
                return false;
            }
        }
        places.running += 1;
        true
    }
}

fn deadline(request: &Request) -> Instant {
    let stated = request.header("x-timeout-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    Instant::now() + stated.unwrap_or(DEFAULT_TIMEOUT)
}

/// Returns how long a request runs; the same at every server.
fn run_time(id: &str) -> Duration {
    MIN_RUN_TIME + RUN_TIME_SPREAD.mul_f64((hash(id) % 1000) as f64 / 1000.0)
}

/// Returns how long a connection may be idle that the server closes.
fn idle_timeout(id: &str) -> Duration {
    MIN_IDLE_TIMEOUT + IDLE_TIMEOUT_SPREAD.mul_f64((hash(id) % 997) as f64 / 997.0)
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
