//! The pay servers on sockets: HTTP/1.1 as specified for pay servers, with one listener each.

use crate::deployment::{sample_gamma, Nanos, MS, SECOND};
use crate::endpoint::{Endpoint, Kind};
use crate::harness::cells::Cells;
use crate::harness::relay::{relay, Observer, Side};
use crate::harness::{address, RunContext};
use crate::history::{Event, ServerOutcome, Trace};
use crate::scenario::Scenario;
use crate::stand_ins::meter::Meter;
use crate::stand_ins::pay_server::{Action, PayServer, Receipt};
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

/// Buffer size of each direction of a connection.
const PIPE_BYTES: usize = 32 << 10;
const MAX_BODY_BYTES: usize = 64 << 10;
/// The gateway's number in events, for requests that clients send directly to pay servers.
const NO_GATEWAY: u16 = u16::MAX;
/// Trace ids whose units were counted are kept for this long.
const COUNTED_RETENTION: Nanos = 60 * SECOND;

/// The meter that all pay servers share, and the client attempts whose units it has counted.
pub struct Metering {
    meter: RefCell<Meter>,
    counted: RefCell<HashMap<Trace, Nanos>>,
    last_sweep: Cell<Nanos>,
}

impl Metering {
    /// Returns a meter for the customers of a run.
    pub fn new(context: &RunContext) -> Rc<Metering> {
        let deployment = &context.deployment;
        let rates = deployment.customers.iter().map(|customer| deployment.quotas[customer.plan].rate);
        Rc::new(Metering {
            meter: RefCell::new(Meter::new(context.scenario.site.meter_delay_ms * MS, rates.collect())),
            counted: RefCell::default(),
            last_sweep: Cell::new(0),
        })
    }

    /// Counts the unit of a client attempt when its first attempt arrives at a pay server.
    fn count_unit(&self, now: Nanos, trace: Trace, customer: u32) {
        let mut counted = self.counted.borrow_mut();
        if counted.insert(trace, now).is_none() {
            self.meter.borrow_mut().add_units(now, customer, 1.0);
        }
        if now > self.last_sweep.get() + COUNTED_RETENTION {
            self.last_sweep.set(now);
            counted.retain(|_, at| *at + COUNTED_RETENTION > now);
        }
    }
}

/// Whether a pay server has a process, and its id. Connections end with their process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up(u64),
    Down,
}

/// One pay server.
pub struct Server {
    /// Number of the pay server.
    pub number: u16,
    context: Rc<RunContext>,
    metering: Rc<Metering>,
    cells: Rc<Cells>,
    /// Trace ids of the writes that wait or run here, by attempt.
    writes: RefCell<HashMap<u64, Trace>>,
    core: RefCell<PayServer>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ServerOutcome>>>,
    wake: Notify,
    process: watch::Sender<ProcessState>,
    listener: RefCell<Option<(Rc<TcpListener>, AbortHandle)>>,
    connections: Cell<usize>,
    /// Notified when the pay server crashes under overload.
    pub overload_crash: Notify,
}

impl Server {
    /// Returns a pay server that is not started yet.
    pub fn new(
        context: &Rc<RunContext>,
        metering: &Rc<Metering>,
        cells: &Rc<Cells>,
        number: u16,
    ) -> Rc<Server> {
        let server = Rc::new(Server {
            number,
            context: context.clone(),
            metering: metering.clone(),
            cells: cells.clone(),
            writes: RefCell::default(),
            core: RefCell::new(Server::core(context, number, None)),
            waiting: RefCell::default(),
            wake: Notify::new(),
            process: watch::Sender::new(ProcessState::Down),
            listener: RefCell::new(None),
            connections: Cell::new(0),
            overload_crash: Notify::new(),
        });
        let driven = server.clone();
        spawn_local(async move { driven.drive().await });
        server
    }

    fn core(context: &RunContext, number: u16, started: Option<Nanos>) -> PayServer {
        let speed = context.deployment.servers[usize::from(number)].speed;
        let Scenario { site, fleet, .. } = &context.scenario;
        PayServer::new(site, speed, fleet.receipts, context.now(), started)
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint::PayServer(self.number)
    }

    fn cell(&self) -> u16 {
        self.context.deployment.servers[usize::from(self.number)].cell as u16
    }

    /// Ends a write, which is complete or can no longer take effect.
    fn end_write(&self, attempt: u64) {
        if self.writes.borrow_mut().remove(&attempt).is_some() {
            self.cells.ended(self.cell(), attempt);
        }
    }

    /// Starts the process, warm or cold, and returns the port on which it listens.
    pub fn start(self: &Rc<Self>, cold: bool) -> io::Result<u16> {
        let (listener, port) = address::listen()?;
        let listener = Rc::new(listener);
        let now = self.context.now();
        self.core.replace(Server::core(&self.context, self.number, cold.then_some(now)));
        self.process.send_replace(ProcessState::Up(self.context.next_id()));
        let (server, accepting) = (self.clone(), listener.clone());
        let task = spawn_local(async move { server.accept(&accepting).await });
        self.listener.replace(Some((listener, task.abort_handle())));
        self.block_cut_callers();
        Ok(port)
    }

    /// Ends the process: connections are reset, and new ones are refused.
    pub fn kill(&self) {
        if let Some((_, task)) = self.listener.borrow_mut().take() {
            task.abort();
        }
        self.core.borrow_mut().stop();
        self.waiting.borrow_mut().clear();
        for (attempt, _) in self.writes.borrow_mut().drain() {
            self.cells.ended(self.cell(), attempt);
        }
        self.process.send_replace(ProcessState::Down);
    }

    /// Stops accepting new work.
    pub fn drain(&self) {
        self.core.borrow_mut().drain();
    }

    /// Suspends or resumes the process; its operating system still accepts connections.
    pub fn set_suspended(&self, suspended: bool) {
        let mut actions = Vec::new();
        self.core.borrow_mut().set_suspended(self.context.now(), suspended, &mut actions);
        self.context.change_link_faults(|rules| rules.set_suspended(self.endpoint(), suspended));
        self.perform(actions);
    }

    /// Drops connection attempts of callers whose link to this server is cut.
    pub fn block_cut_callers(&self) {
        if let Some((listener, _)) = &*self.listener.borrow() {
            block_cut_callers(&self.context, listener, self.endpoint());
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        while let Ok((tcp, _)) = listener.accept().await {
            let caller = tcp.local_addr().ok().and_then(|addr| address::caller_by_addr(addr.ip()));
            let Some(from) = caller else { continue };
            // The number of connections to a machine is limited.
            if self.connections.get() >= self.core.borrow().max_connections
                || self.context.is_reset(from, self.endpoint())
            {
                tcp.abort();
                continue;
            }
            spawn_local(self.clone().connection(tcp, from));
        }
    }

    async fn connection(self: Rc<Self>, mut tcp: TcpStream, from: Endpoint) {
        drop(tcp.set_nodelay(true));
        let (to, number) = (self.endpoint(), self.context.next_id());
        let gateway = if let Endpoint::Gateway(gateway) = from { gateway } else { NO_GATEWAY };
        self.context.record(Event::Opened { connection: number, from, to });
        self.connections.set(self.connections.get() + 1);
        let (mut outer, inner) = tokio::io::duplex(PIPE_BYTES);
        let mut process = self.process.subscribe();
        let incarnation = *process.borrow_and_update();
        let serving = spawn_local(self.clone().serve(inner, gateway, number));
        let context = self.context.clone();
        let observed = context.clone();
        let observer = Observer {
            on_closed: Some(Box::new(move || observed.record(Event::Closed { connection: number }))),
            ..Observer::default()
        };
        let reset = tokio::select! {
            () = relay(&context, &mut tcp, from, &mut outer, to, observer) => false,
            _ = process.wait_for(|process| *process != incarnation) => true,
        };
        serving.abort();
        self.connections.set(self.connections.get() - 1);
        if reset {
            // The reset by the operating system of an ended process passes over the link like data.
            context.wait_until(|context| context.link_state(to, from).connects).await;
            tcp.abort();
            context.record(Event::Closed { connection: number });
        }
    }

    async fn serve(self: Rc<Self>, pipe: tokio::io::DuplexStream, gateway: u16, connection: u64) {
        let first = Cell::new(true);
        let service = service_fn(|request| {
            let first = first.replace(false);
            self.clone().handle_request(request, gateway, connection, first)
        });
        // The relay observes how the connection ends.
        drop(http1::Builder::new().serve_connection(TokioIo::new(pipe), service).await);
    }

    async fn handle_request(
        self: Rc<Self>,
        request: Request<Incoming>,
        gateway: u16,
        connection: u64,
        first: bool,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let path = request.uri().path().to_owned();
        if path == "/alive" || path == "/metrics/load" {
            self.context.record(Event::Probed { server: self.number, gateway });
            return Ok(response_with_flag_header(
                if path == "/alive" { 200 } else { 404 },
                "",
                String::new(),
            ));
        }
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let Some(trace) = header("x-trace-id").map(str::to_owned) else {
            return Ok(response_with_flag_header(404, "", "no such path".to_owned()));
        };
        let token = header("x-fence").and_then(|token| token.parse().ok()).unwrap_or(0);
        let trace = if trace.len() == 16 { Trace::from_str_radix(&trace, 16).ok() } else { None };
        let sender = trace.and_then(|trace| Some((trace, *self.context.traces.borrow().get(&trace)?)));
        let epoch = header("x-book-epoch").and_then(|epoch| epoch.parse().ok());
        let Some((trace, (customer, class))) = sender else {
            return Ok(response_with_flag_header(400, "", "an id that no client sent".to_owned()));
        };
        if path == "/receipts/seal" {
            return Ok(self.seal(trace, token));
        }
        // An attempt counts as arrived once its body has been received completely.
        Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.map_err(io::Error::other)?;
        let now = self.context.now();
        let attempt = self.context.next_id();
        self.context.record(Event::Arrived { attempt, trace, server: self.number, connection, gateway });
        if self.cells.stores_class(class) {
            let firm = self.context.deployment.customers[customer as usize].id;
            match self.cells.admit(self.cell(), attempt, firm, epoch) {
                Ok(()) => drop(self.writes.borrow_mut().insert(attempt, trace)),
                Err(mismatch) => {
                    self.context.record(Event::Responded { attempt, outcome: ServerOutcome::NeverRan });
                    let refused = response_with_flag_header(503, "x-never-ran", String::new());
                    return Ok(with_header(
                        refused,
                        "x-book-due",
                        &mismatch.expected_epoch().unwrap_or(0).to_string(),
                    ));
                }
            }
        }
        self.metering.count_unit(now, trace, customer);
        let (outcome_sender, outcome) = oneshot::channel();
        self.waiting.borrow_mut().insert(attempt, outcome_sender);
        // The work is drawn for each trace id, and the failure for each attempt.
        let site = &self.context.scenario.site;
        let work = sample_gamma(site.work_ms * 1e6, site.work_cv, &mut ChaCha8Rng::seed_from_u64(trace));
        let fails = ChaCha8Rng::seed_from_u64(trace ^ attempt).random::<f64>() < site.error_rate;
        let mut actions = Vec::new();
        self.core.borrow_mut().arrive(now, attempt, trace, work, first, fails, token, &mut actions);
        let withdrawal = WithdrawOnDrop { server: self.clone(), attempt };
        self.perform(actions);
        let outcome = outcome.await.map_err(io::Error::other)?;
        drop(withdrawal);
        let now = self.context.now();
        self.context.record(Event::Responded { attempt, outcome });
        let meter = self.metering.meter.borrow().reported_percent(now, customer);
        let response = match outcome {
            ServerOutcome::Served => response_with_flag_header(
                200,
                "",
                format!("attempt={attempt} trace={trace:016x} server={}", self.number),
            ),
            ServerOutcome::Error => response_with_flag_header(500, "", String::new()),
            ServerOutcome::NeverRan => response_with_flag_header(503, "x-never-ran", String::new()),
        };
        Ok(match meter {
            Some(percent) => with_header(response, "x-meter", &percent.to_string()),
            None => response,
        })
    }

    fn seal(&self, trace: Trace, min_token: u64) -> Response<Full<Bytes>> {
        let mut actions = Vec::new();
        let receipt = self.core.borrow_mut().seal(self.context.now(), trace, min_token, &mut actions);
        self.perform(actions);
        match receipt {
            None => response_with_flag_header(404, "", "no receipts here".to_owned()),
            Some(Receipt::Ran(attempt)) => response_with_flag_header(
                200,
                "",
                format!("ran attempt={attempt} trace={trace:016x} server={}", self.number),
            ),
            Some(Receipt::InProgress) => response_with_flag_header(200, "", "out".to_owned()),
            Some(Receipt::Sealed) => response_with_flag_header(200, "", "sealed".to_owned()),
        }
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Started(attempt) => {
                    self.context.record(Event::Ran { attempt });
                    let trace = self.writes.borrow().get(&attempt).copied();
                    trace.into_iter().for_each(|trace| self.cells.ran(self.cell(), attempt, trace));
                }
                Action::Finished(attempt, outcome) => {
                    self.end_write(attempt);
                    let waiting = self.waiting.borrow_mut().remove(&attempt);
                    // The connection of the attempt may have ended.
                    let _ = waiting.map(|waiting| waiting.send(outcome));
                }
                Action::OverloadCrash => {
                    self.context.record(Event::OverloadCrash { server: self.number });
                    self.kill();
                    self.overload_crash.notify_one();
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
                () = self.context.sleep_until(due.unwrap_or(0)), if due.is_some() => {
                    let mut actions = Vec::new();
                    self.core.borrow_mut().advance(self.context.now(), &mut actions);
                    self.perform(actions);
                }
            }
        }
    }
}

/// Withdraws an attempt when its connection has ended.
struct WithdrawOnDrop {
    server: Rc<Server>,
    attempt: u64,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if self.server.waiting.borrow_mut().remove(&self.attempt).is_some() {
            let mut actions = Vec::new();
            let now = self.server.context.now();
            let was_dropped = self.server.core.borrow_mut().withdraw(now, self.attempt, &mut actions);
            self.server.perform(actions);
            if was_dropped {
                self.server.end_write(self.attempt);
            }
        }
    }
}

/// Drops connection attempts over a cut link to an endpoint. Over a link with a fault that resets
/// connections, they are accepted and reset.
pub fn block_cut_callers(context: &RunContext, listener: &TcpListener, to: Endpoint) {
    let gateways = (0..context.scenario.fleet.gateways as u16).map(Endpoint::Gateway);
    let discovery_processes =
        (0..context.scenario.fleet.discovery_processes as u16).map(Endpoint::DiscoveryService);
    let coordinators = (0..context.scenario.fleet.coordinators as u16).map(Endpoint::Coordinator);
    let candidates = (0..context.scenario.count(Kind::Candidates) as u16).map(Endpoint::Candidate);
    let controllers = (0..context.scenario.fleet.controllers as u16).map(Endpoint::Controller);
    let cut: Vec<_> = gateways
        .chain(discovery_processes)
        .chain(controllers)
        .chain(coordinators)
        .chain(candidates)
        .filter(|from| *from != to && !context.can_connect(*from, to) && !context.is_reset(*from, to))
        .map(address::seen_by)
        .collect();
    if let Err(e) = address::block_callers(listener, &cut) {
        tracing::error!(%to, error = %e, "cannot block connections over a cut link");
    }
}

/// Returns a response with the header `flag` set to `1`, unless `flag` is empty.
pub fn response_with_flag_header(status: u16, flag: &str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    match flag {
        "" => response,
        name => with_header(response, name, "1"),
    }
}

fn with_header(mut response: Response<Full<Bytes>>, name: &str, value: &str) -> Response<Full<Bytes>> {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
        response.headers_mut().insert(name, value);
    }
    response
}
