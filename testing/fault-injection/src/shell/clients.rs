//! Clients on sockets: each try on a connection that is kept, as the front keeps them.

use crate::deployment::{Nanos, CLASSES, MS, SAFE, SECOND};
use crate::endpoint::End;
use crate::history::{Event, Outcome, Trace};
use crate::shell::process::Process;
use crate::shell::relay::{relay, Watch};
use crate::shell::{address, World};
use crate::stand::clients::{Arrival, Asking, Front, Manners, Next, Try};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};

const PIPE: usize = 32 << 10;
const ANSWER_MOST: usize = 64 << 10;
/// Connections that the front keeps to a gateway while nothing is on them.
const KEPT_MOST: usize = 64;
/// Whoever has given up still looks for so long whether an answer comes: the rules ask for one.
const AFTERWARDS: Duration = Duration::from_secs(10);
/// The front asks each gateway that it does not hold for alive so often.
const UP_EVERY: Duration = Duration::from_millis(100);
const UP_WAIT: Duration = Duration::from_secs(2);
const DEATH_KNOWN: Duration = Duration::from_millis(20);
/// A submission's body.
const BODY: &[u8] = &[b'x'; 200];

/// A kept connection, and how many bytes have reached its gateway.
struct Kept {
    sender: SendRequest<Full<Bytes>>,
    delivered: Rc<Cell<u64>>,
    used: bool,
}

/// Where requests come in.
pub enum Entry {
    /// A gateway.
    Gateway(Rc<Process>),
    /// A pay server, where the fleet has no gateways; at the port that its place tells.
    PayServer(u16, Rc<RefCell<Vec<(u16, u64)>>>),
}

impl Entry {
    fn end(&self) -> End {
        match self {
            Entry::Gateway(process) => process.end,
            Entry::PayServer(number, _) => End::PayServer(*number),
        }
    }

    fn addr(&self) -> Option<SocketAddr> {
        match self {
            Entry::Gateway(process) => process.addr(),
            Entry::PayServer(number, places) => {
                let (port, _) = places.borrow()[usize::from(*number)];
                Some((address::view(End::Clients), port).into())
            }
        }
    }

    fn losses(&self) -> u64 {
        match self {
            Entry::Gateway(process) => process.losses(),
            Entry::PayServer(..) => 0,
        }
    }
}

/// The clients, and the load balancer before the gateways.
pub struct Clients {
    world: Rc<World>,
    entries: Vec<Entry>,
    front: RefCell<Front>,
    kept: RefCell<Vec<Vec<Kept>>>,
    manners: Manners,
    /// Requests that have not ended.
    pub open: Cell<u64>,
    /// Number of requests so far.
    pub asked: Cell<u64>,
    /// Number of served requests so far.
    pub served: Cell<u64>,
}

/// How an exchange ended: status, `Retry-After`, body.
type Answer = Result<(u16, HeaderMap, Bytes), ()>;

impl Clients {
    /// Returns the clients of these processes.
    pub fn new(world: &Rc<World>, entries: Vec<Entry>) -> Rc<Clients> {
        Rc::new(Clients {
            front: RefCell::new(Front::new(entries.len())),
            kept: RefCell::new(entries.iter().map(|_| Vec::new()).collect()),
            manners: Manners::of(&world.scenario),
            world: world.clone(),
            entries,
            open: Cell::new(0),
            asked: Cell::new(0),
            served: Cell::new(0),
        })
    }

    /// A connection to a gateway, through the link between.
    async fn connect(&self, gateway: u16) -> Result<Kept, ()> {
        let entry = &self.entries[usize::from(gateway)];
        let (world, to) = (self.world.clone(), entry.end());
        world.until(|world| world.connects(End::Clients, to) || world.reset(End::Clients, to)).await;
        let addr = entry.addr();
        let addr = addr.filter(|_| !world.reset(End::Clients, to)).ok_or(())?;
        let mut tcp = TcpStream::connect(addr).await.map_err(drop)?;
        drop(tcp.set_nodelay(true));
        let (mut outer, inner) = tokio::io::duplex(PIPE);
        let delivered = Rc::new(Cell::new(0));
        let watch = Watch { delivered: delivered.clone(), ..Watch::default() };
        spawn_local(async move { relay(&world, &mut tcp, to, &mut outer, End::Clients, watch).await });
        let (sender, connection) = http1::handshake(TokioIo::new(inner)).await.map_err(drop)?;
        spawn_local(async move { drop(connection.await) });
        Ok(Kept { sender, delivered, used: false })
    }

    fn take(&self, gateway: u16) -> Option<Kept> {
        let mut kept = self.kept.borrow_mut();
        let kept = &mut kept[usize::from(gateway)];
        kept.retain(|kept| !kept.sender.is_closed());
        kept.pop()
    }

    fn keep(&self, gateway: u16, mut connection: Kept) {
        let mut kept = self.kept.borrow_mut();
        let kept = &mut kept[usize::from(gateway)];
        if kept.len() < KEPT_MOST && !connection.sender.is_closed() {
            connection.used = true;
            kept.push(connection);
        }
    }

    /// The front admits a gateway once it says that it is up; and notices late that one has gone.
    pub async fn follow(self: Rc<Self>, gateway: u16) {
        let Entry::Gateway(process) = &self.entries[usize::from(gateway)] else { return };
        let mut state = process.watch();
        let notice = Duration::from_millis(self.world.scenario.site.notice_ms);
        loop {
            while !self.up(gateway).await {
                tokio::time::sleep(UP_EVERY).await;
            }
            self.world.record(Event::ProcessChanged {
                end: End::Gateway(gateway),
                change: crate::history::ProcessChange::Ready,
            });
            self.front.borrow_mut().set(gateway, true);
            // One that has gone and come back before anybody noticed is asked again all the same.
            if state.wait_for(|state| *state == super::process::State::Down).await.is_err() {
                return;
            }
            let noticed = tokio::time::sleep(notice);
            drop(
                timeout(notice, state.wait_for(|state| matches!(state, super::process::State::Up(..)))).await,
            );
            if !process.lives() {
                noticed.await;
                self.front.borrow_mut().set(gateway, false);
                drop(state.wait_for(|state| matches!(state, super::process::State::Up(..))).await);
            }
        }
    }

    async fn up(&self, gateway: u16) -> bool {
        let asked = async {
            let mut connection = self.connect(gateway).await?;
            let request = Request::get("/up").header("host", "api.internal").body(Full::default());
            let answer = connection.sender.send_request(request.map_err(drop)?).await.map_err(drop)?;
            Ok::<_, ()>(answer.status() == 200)
        };
        matches!(timeout(UP_WAIT, asked).await, Ok(Ok(true)))
    }

    /// Makes one request, with all its tries.
    pub async fn ask(self: Rc<Self>, arrival: Arrival, late: Nanos) {
        let Arrival { ask, customer, class, .. } = arrival;
        let world = &self.world;
        self.asked.set(self.asked.get() + 1);
        self.open.set(self.open.get() + 1);
        world.record(Event::RequestStarted { request: ask, customer, class, late });
        let whose = &world.deployment.customers[customer as usize];
        let mut asking = Asking::new(&arrival, self.manners.clone(), world.now());
        let mut next = asking.first(world.now(), whose, &self.front.borrow());
        let outcome = loop {
            world.sleep_until(world.now() + next.after).await;
            let (outcome, retry_after) = self.clone().attempt(ask, customer, class, &next).await;
            world.record(Event::TryEnded { trace: next.trace, outcome });
            match asking.next(world.now(), outcome, retry_after, whose, &self.front.borrow()) {
                Next::Try(again) => next = again,
                Next::End(outcome) => break outcome,
            }
        };
        world.record(Event::RequestEnded { request: ask, outcome });
        self.served.set(self.served.get() + u64::from(matches!(outcome, Outcome::Served { .. })));
        self.open.set(self.open.get() - 1);
        // Its last attempts may still be on their way to a pay server.
        world.sleep_until(world.now() + 30 * SECOND).await;
        world.traces.borrow_mut().remove(&next.trace);
    }

    fn request(&self, customer: u32, class: u8, next: &Try) -> Option<Request<Full<Bytes>>> {
        let whose = &self.world.deployment.customers[customer as usize];
        let name = CLASSES[usize::from(class)];
        let (method, body) =
            if class == SAFE { ("GET", Bytes::new()) } else { ("POST", Bytes::from_static(BODY)) };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{name}"))
            .header("host", "api.internal")
            .header("x-trace-id", format!("{:016x}", next.trace))
            .header("x-qos", name)
            .header("x-contract", &self.world.deployment.quotas[whose.plan].name)
            .header("x-client-id", format!("{:016x}", whose.id))
            .header("x-expires-in", format!("{:.3}", next.wait as f64 / SECOND as f64))
            .header(
                "x-metering",
                format!("units=1,spread={},first={}", whose.gateway_weights.len(), whose.first_gateway),
            );
        let request = if next.marked { request.header("x-second-try", "1") } else { request };
        request.body(Full::new(body)).ok()
    }

    /// One try, to its end or the end of its client's time.
    async fn attempt(
        self: Rc<Self>,
        ask: u32,
        customer: u32,
        class: u8,
        next: &Try,
    ) -> (Outcome, Option<Nanos>) {
        let world = self.world.clone();
        let (gateway, trace) = (next.gateway, next.trace);
        let until = world.instant(world.now() + next.wait);
        world.traces.borrow_mut().insert(trace, (customer, class));
        world.record(Event::TryStarted {
            request: ask,
            trace,
            gateway,
            timeout: next.wait,
            reuses_id: next.back,
        });
        let entry = &self.entries[usize::from(gateway)];
        let losses = entry.losses();
        loop {
            let connection = match self.take(gateway) {
                Some(kept) => Ok(kept),
                None => match timeout_at(until, self.connect(gateway)).await {
                    Ok(connection) => connection,
                    // It never came up.
                    Err(_) => return (Outcome::Unreachable, None),
                },
            };
            let Ok(mut connection) = connection else { return (Outcome::Unreachable, None) };
            let Some(request) = self.request(customer, class, next) else { return (Outcome::Failed, None) };
            let (used, delivered) = (connection.used, connection.delivered.clone());
            let before = delivered.get();
            let mut exchange = Box::pin(async move {
                let answer = exchange(&mut connection.sender, request).await;
                (answer, connection)
            });
            let Ok((answer, connection)) = timeout_at(until, exchange.as_mut()).await else {
                // Whoever has given up looks on, so that it is known whether the gateway ever answered.
                spawn_local(async move {
                    let answered = matches!(timeout(AFTERWARDS, exchange).await, Ok((Ok(_), _)));
                    world.record(Event::TryEndedLate { trace, answered });
                });
                return (Outcome::TimedOut, None);
            };
            match answer {
                Ok((status, headers, body)) => {
                    self.keep(gateway, connection);
                    return (outcome(status, &body, trace), retry_after(&headers));
                }
                Err(()) if delivered.get() == before && !used => return (Outcome::Unreachable, None),
                // The closing of an idle connection has crossed the request, which the gateway has not read.
                Err(()) if used => {
                    // That it died is known a moment after its connections have ended.
                    tokio::time::sleep(DEATH_KNOWN).await;
                    if entry.losses() != losses && delivered.get() != before {
                        return (Outcome::Reset { first: false }, None);
                    }
                }
                Err(()) => return (Outcome::Reset { first: true }, None),
            }
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Nanos {
        self.world.now()
    }

    /// Waits until no request is open; false after this long.
    pub async fn all_ended(&self, most: Duration) -> bool {
        let quiet = async {
            while self.open.get() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(most, quiet).await.is_ok()
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> Answer {
    sender.ready().await.map_err(drop)?;
    let (head, body) = sender.send_request(request).await.map_err(drop)?.into_parts();
    let body = Limited::new(body, ANSWER_MOST).collect().await.map_err(drop)?.to_bytes();
    Ok((head.status.as_u16(), head.headers, body))
}

fn outcome(status: u16, body: &[u8], trace: Trace) -> Outcome {
    let text = String::from_utf8_lossy(body);
    let word = |name: &str| text.split(' ').find_map(|word| word.strip_prefix(name));
    match status {
        200 => {
            let of_this = word("trace=").is_some_and(|of| of == format!("{trace:016x}"));
            let attempt = word("attempt=").and_then(|attempt| attempt.parse().ok());
            Outcome::Served { attempt: attempt.filter(|_| of_this) }
        }
        429 | 503 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Nanos> {
    let seconds: f64 = headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    (0.0..=3600.0).contains(&seconds).then_some((seconds * 1e3) as Nanos * MS)
}
