//! The pay servers on sockets: HTTP/1.1 by the published page, one listener each.

use crate::deployment::{sample_gamma, Nanos, MS, SECOND};
use crate::endpoint::{End, Kind};
use crate::history::{Answer, Event, Trace};
use crate::scenario::Scenario;
use crate::shell::cells::Cells;
use crate::shell::relay::{relay, Side, Watch};
use crate::shell::{address, World};
use crate::stand::meter::Meter;
use crate::stand::pay_server::{Act, PayServer, Receipt};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, AbortHandle};

/// What a connection's both sides hold at once.
const PIPE: usize = 32 << 10;
const BODY_MOST: usize = 64 << 10;
/// The number of the gateway where clients ask pay servers themselves.
const NO_GATEWAY: u16 = u16::MAX;
/// Ids whose units were counted are remembered for this long.
const COUNTED_KEPT: Nanos = 60 * SECOND;

/// What all pay servers share: the meter, and which tries have taken their units.
pub struct Fleet {
    meter: RefCell<Meter>,
    counted: RefCell<HashMap<Trace, Nanos>>,
    swept: Cell<Nanos>,
}

impl Fleet {
    /// Returns what all pay servers share.
    pub fn new(world: &World) -> Rc<Fleet> {
        let deployment = &world.deployment;
        let rates = deployment.customers.iter().map(|customer| deployment.quotas[customer.plan].rate);
        Rc::new(Fleet {
            meter: RefCell::new(Meter::new(world.scenario.site.meter_late_ms * MS, rates.collect())),
            counted: RefCell::default(),
            swept: Cell::new(0),
        })
    }

    /// The try takes its unit with its first attempt.
    fn took(&self, now: Nanos, trace: Trace, customer: u32) {
        let mut counted = self.counted.borrow_mut();
        if counted.insert(trace, now).is_none() {
            self.meter.borrow_mut().took(now, customer, 1.0);
        }
        if now > self.swept.get() + COUNTED_KEPT {
            self.swept.set(now);
            counted.retain(|_, at| *at + COUNTED_KEPT > now);
        }
    }
}

/// Whether a pay server has a process, and which: connections end with theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Up(u64),
    Gone,
}

/// One pay server.
pub struct Server {
    /// Its number.
    pub number: u16,
    world: Rc<World>,
    fleet: Rc<Fleet>,
    cells: Rc<Cells>,
    /// Whose attempts wait or run here.
    writes: RefCell<HashMap<u64, Trace>>,
    core: RefCell<PayServer>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    wake: Notify,
    process: watch::Sender<Process>,
    listener: RefCell<Option<(Rc<TcpListener>, AbortHandle)>>,
    connections: Cell<usize>,
    /// It fell over: an event that the list hears of.
    pub fell: Notify,
}

impl Server {
    /// Returns a pay server that is not started yet.
    pub fn new(world: &Rc<World>, fleet: &Rc<Fleet>, cells: &Rc<Cells>, number: u16) -> Rc<Server> {
        let server = Rc::new(Server {
            number,
            world: world.clone(),
            fleet: fleet.clone(),
            cells: cells.clone(),
            writes: RefCell::default(),
            core: RefCell::new(Server::core(world, number, None)),
            waiting: RefCell::default(),
            wake: Notify::new(),
            process: watch::Sender::new(Process::Gone),
            listener: RefCell::new(None),
            connections: Cell::new(0),
            fell: Notify::new(),
        });
        let driven = server.clone();
        spawn_local(async move { driven.drive().await });
        server
    }

    fn core(world: &World, number: u16, started: Option<Nanos>) -> PayServer {
        let speed = world.deployment.servers[usize::from(number)].speed;
        let Scenario { site, fleet, .. } = &world.scenario;
        PayServer::new(site, speed, fleet.receipts, world.now(), started)
    }

    fn end(&self) -> End {
        End::PayServer(self.number)
    }

    fn cell(&self) -> u16 {
        self.world.deployment.servers[usize::from(self.number)].cell as u16
    }

    /// What this one knows of a write is over: it is done, or can take effect no more.
    fn forget(&self, attempt: u64) {
        if self.writes.borrow_mut().remove(&attempt).is_some() {
            self.cells.ended(self.cell(), attempt);
        }
    }

    /// Starts its process, warm or cold; the port at which it listens.
    pub fn start(self: &Rc<Self>, cold: bool) -> io::Result<u16> {
        let (listener, port) = address::listen()?;
        let listener = Rc::new(listener);
        let now = self.world.now();
        self.core.replace(Server::core(&self.world, self.number, cold.then_some(now)));
        self.process.send_replace(Process::Up(self.world.number()));
        let (server, accepting) = (self.clone(), listener.clone());
        let task = spawn_local(async move { server.accept(&accepting).await });
        self.listener.replace(Some((listener, task.abort_handle())));
        self.shut_out();
        Ok(port)
    }

    /// Its process is gone: connections are reset, new ones refused.
    pub fn kill(&self) {
        if let Some((_, task)) = self.listener.borrow_mut().take() {
            task.abort();
        }
        self.core.borrow_mut().down();
        self.waiting.borrow_mut().clear();
        for (attempt, _) in self.writes.borrow_mut().drain() {
            self.cells.ended(self.cell(), attempt);
        }
        self.process.send_replace(Process::Gone);
    }

    /// Starts draining.
    pub fn drain(&self) {
        self.core.borrow_mut().drain();
    }

    /// Stands still, or goes on; the system below it goes on answering.
    pub fn pause(&self, paused: bool) {
        let mut acts = Vec::new();
        self.core.borrow_mut().pause(self.world.now(), paused, &mut acts);
        self.world.change_rules(|rules| rules.set_suspended(self.end(), paused));
        self.perform(acts);
    }

    /// New connections of those that are cut off from it do not come up.
    pub fn shut_out(&self) {
        if let Some((listener, _)) = &*self.listener.borrow() {
            shut_out(&self.world, listener, self.end());
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        while let Ok((tcp, _)) = listener.accept().await {
            let caller = tcp.local_addr().ok().and_then(|addr| address::caller(addr.ip()));
            let Some(from) = caller else { continue };
            // A machine holds only so many connections.
            if self.connections.get() >= self.core.borrow().connections_most
                || self.world.reset(from, self.end())
            {
                tcp.abort();
                continue;
            }
            spawn_local(self.clone().connection(tcp, from));
        }
    }

    async fn connection(self: Rc<Self>, mut tcp: TcpStream, from: End) {
        drop(tcp.set_nodelay(true));
        let (to, number) = (self.end(), self.world.number());
        let gateway = if let End::Gateway(gateway) = from { gateway } else { NO_GATEWAY };
        self.world.record(Event::Opened { connection: number, from, to });
        self.connections.set(self.connections.get() + 1);
        let (mut outer, inner) = tokio::io::duplex(PIPE);
        let mut process = self.process.subscribe();
        let born = *process.borrow_and_update();
        let serving = spawn_local(self.clone().serve(inner, gateway, number));
        let world = self.world.clone();
        let told = world.clone();
        let watch = Watch {
            closed: Some(Box::new(move || told.record(Event::Closed { connection: number }))),
            ..Watch::default()
        };
        let reset = tokio::select! {
            () = relay(&world, &mut tcp, from, &mut outer, to, watch) => false,
            _ = process.wait_for(|process| *process != born) => true,
        };
        serving.abort();
        self.connections.set(self.connections.get() - 1);
        if reset {
            // What a dead process' system says takes the same way as all else.
            world.until(|world| world.path(to, from).connects).await;
            tcp.abort();
            world.record(Event::Closed { connection: number });
        }
    }

    async fn serve(self: Rc<Self>, pipe: tokio::io::DuplexStream, gateway: u16, connection: u64) {
        let first = Cell::new(true);
        let service = service_fn(|request| {
            let first = first.replace(false);
            self.clone().answer(request, gateway, connection, first)
        });
        // How it ended is seen at its other side.
        drop(http1::Builder::new().serve_connection(TokioIo::new(pipe), service).await);
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        gateway: u16,
        connection: u64,
        first: bool,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let path = request.uri().path().to_owned();
        if path == "/alive" || path == "/metrics/load" {
            self.world.record(Event::Probed { server: self.number, gateway });
            return Ok(plain(if path == "/alive" { 200 } else { 404 }, "", String::new()));
        }
        let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let Some(trace) = text("x-trace-id").map(str::to_owned) else {
            return Ok(plain(404, "", "no such path".to_owned()));
        };
        let token = text("x-fence").and_then(|token| token.parse().ok()).unwrap_or(0);
        let trace = if trace.len() == 16 { Trace::from_str_radix(&trace, 16).ok() } else { None };
        let known = trace.and_then(|trace| Some((trace, *self.world.traces.borrow().get(&trace)?)));
        let epoch = text("x-book-epoch").and_then(|epoch| epoch.parse().ok());
        let Some((trace, (customer, class))) = known else {
            return Ok(plain(400, "", "an id that no client sent".to_owned()));
        };
        if path == "/receipts/seal" {
            return Ok(self.seal(trace, token));
        }
        // It begins only once its last byte has come.
        Limited::new(request.into_body(), BODY_MOST).collect().await.map_err(io::Error::other)?;
        let now = self.world.now();
        let attempt = self.world.number();
        self.world.record(Event::Arrived { attempt, trace, server: self.number, connection, gateway });
        if self.cells.takes(class) {
            let firm = self.world.deployment.customers[customer as usize].id;
            match self.cells.admit(self.cell(), attempt, firm, epoch) {
                Ok(()) => drop(self.writes.borrow_mut().insert(attempt, trace)),
                Err(due) => {
                    self.world.record(Event::Answered { attempt, answer: Answer::NeverRan });
                    let refused = plain(503, "x-never-ran", String::new());
                    return Ok(with(refused, "x-book-due", &due.expected_epoch().unwrap_or(0).to_string()));
                }
            }
        }
        self.fleet.took(now, trace, customer);
        let (answered, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(attempt, answered);
        // What a request costs is its own; whether it fails is the attempt's.
        let site = &self.world.scenario.site;
        let work = sample_gamma(site.work_ms * 1e6, site.work_cv, &mut ChaCha8Rng::seed_from_u64(trace));
        let fails = ChaCha8Rng::seed_from_u64(trace ^ attempt).random::<f64>() < site.error_rate;
        let mut acts = Vec::new();
        self.core.borrow_mut().arrive(now, attempt, trace, work, first, fails, token, &mut acts);
        let guard = Withdrawal { server: self.clone(), attempt };
        self.perform(acts);
        let answer = answer.await.map_err(io::Error::other)?;
        drop(guard);
        let now = self.world.now();
        self.world.record(Event::Answered { attempt, answer });
        let meter = self.fleet.meter.borrow().told(now, customer);
        let response = match answer {
            Answer::Served => {
                plain(200, "", format!("attempt={attempt} trace={trace:016x} server={}", self.number))
            }
            Answer::Error => plain(500, "", String::new()),
            Answer::NeverRan => plain(503, "x-never-ran", String::new()),
        };
        Ok(match meter {
            Some(percent) => with(response, "x-meter", &percent.to_string()),
            None => response,
        })
    }

    fn seal(&self, trace: Trace, below: u64) -> Response<Full<Bytes>> {
        let mut acts = Vec::new();
        let receipt = self.core.borrow_mut().seal(self.world.now(), trace, below, &mut acts);
        self.perform(acts);
        match receipt {
            None => plain(404, "", "no receipts here".to_owned()),
            Some(Receipt::Ran(attempt)) => {
                plain(200, "", format!("ran attempt={attempt} trace={trace:016x} server={}", self.number))
            }
            Some(Receipt::Out) => plain(200, "", "out".to_owned()),
            Some(Receipt::Sealed) => plain(200, "", "sealed".to_owned()),
        }
    }

    fn perform(&self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Ran(attempt) => {
                    self.world.record(Event::Ran { attempt });
                    let trace = self.writes.borrow().get(&attempt).copied();
                    trace.into_iter().for_each(|trace| self.cells.ran(self.cell(), attempt, trace));
                }
                Act::Answer(attempt, answer) => {
                    self.forget(attempt);
                    let waiting = self.waiting.borrow_mut().remove(&attempt);
                    // Whoever asked may have gone.
                    let _ = waiting.map(|waiting| waiting.send(answer));
                }
                Act::Fell => {
                    self.world.record(Event::OverloadCrash { server: self.number });
                    self.kill();
                    self.fell.notify_one();
                }
            }
        }
        self.wake.notify_one();
    }

    async fn drive(&self) {
        loop {
            let due = self.core.borrow().due();
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.world.sleep_until(due.unwrap_or(0)), if due.is_some() => {
                    let mut acts = Vec::new();
                    self.core.borrow_mut().advance(self.world.now(), &mut acts);
                    self.perform(acts);
                }
            }
        }
    }
}

/// An attempt whose connection has ended takes nothing more of its server, as far as that lets go.
struct Withdrawal {
    server: Rc<Server>,
    attempt: u64,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        if self.server.waiting.borrow_mut().remove(&self.attempt).is_some() {
            let mut acts = Vec::new();
            let now = self.server.world.now();
            let dropped = self.server.core.borrow_mut().withdraw(now, self.attempt, &mut acts);
            self.server.perform(acts);
            if dropped {
                self.server.forget(self.attempt);
            }
        }
    }
}

/// Lets no connection to this end come up whose way is cut; those that faults reset are told so when they have.
pub fn shut_out(world: &World, listener: &TcpListener, to: End) {
    let gateways = (0..world.scenario.fleet.gateways as u16).map(End::Gateway);
    let lists = (0..world.scenario.fleet.list_service as u16).map(End::ListService);
    let coordinators = (0..world.scenario.fleet.coordinators as u16).map(End::Coordinator);
    let candidates = (0..world.scenario.count(Kind::Candidates) as u16).map(End::Candidate);
    let stewards = (0..world.scenario.fleet.controllers as u16).map(End::Controller);
    let cut: Vec<_> = gateways
        .chain(lists)
        .chain(stewards)
        .chain(coordinators)
        .chain(candidates)
        .filter(|from| *from != to && !world.connects(*from, to) && !world.reset(*from, to))
        .map(address::view)
        .collect();
    if let Err(e) = address::shut_out(listener, &cut) {
        tracing::error!(%to, error = %e, "connections of a cut link come up");
    }
}

/// An answer with a mark, where there is one.
pub fn plain(status: u16, mark: &str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    match mark {
        "" => response,
        name => with(response, name, "1"),
    }
}

fn with(mut response: Response<Full<Bytes>>, name: &str, value: &str) -> Response<Full<Bytes>> {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
        response.headers_mut().insert(name, value);
    }
    response
}
