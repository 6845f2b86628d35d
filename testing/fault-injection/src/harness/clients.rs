//! Clients on sockets. Each attempt uses a pooled connection of the load balancer where one is idle.

use crate::deployment::{Nanos, CLASSES, MS, SAFE, SECOND};
use crate::endpoint::Endpoint;
use crate::harness::process::Process;
use crate::harness::relay::{relay, Observer};
use crate::harness::{address, RunContext};
use crate::history::{Event, Outcome, Trace};
use crate::stand_ins::clients::{
    Arrival, ClientAttempt, ClientBehavior, ClientRequest, LoadBalancer, NextStep,
};
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

const PIPE_BYTES: usize = 32 << 10;
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Idle connections that the load balancer keeps to a gateway.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time for which a client attempt still waits for a late response after its timeout. The invariant
/// `one_final_answer` requires that one arrives.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(10);
/// Interval between health checks of a gateway that is not healthy.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait, after the end of a connection, until the exit of its process is recorded.
const EXIT_NOTICE_DELAY: Duration = Duration::from_millis(20);
/// The body of a request that submits work.
const BODY: &[u8] = &[b'x'; 200];

/// A connection to a gateway, and the number of bytes that the gateway has received on it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    delivered: Rc<Cell<u64>>,
    used: bool,
}

/// A process that clients send their requests to.
pub enum RequestTarget {
    /// A gateway.
    Gateway(Rc<Process>),
    /// A pay server, in a fleet without gateways, and the ports of all pay servers.
    PayServer(u16, Rc<RefCell<Vec<(u16, u64)>>>),
}

impl RequestTarget {
    fn endpoint(&self) -> Endpoint {
        match self {
            RequestTarget::Gateway(process) => process.endpoint,
            RequestTarget::PayServer(number, _) => Endpoint::PayServer(*number),
        }
    }

    fn addr(&self) -> Option<SocketAddr> {
        match self {
            RequestTarget::Gateway(process) => process.addr(),
            RequestTarget::PayServer(number, instances) => {
                let (port, _) = instances.borrow()[usize::from(*number)];
                Some((address::seen_by(Endpoint::Clients), port).into())
            }
        }
    }

    fn unclean_exits(&self) -> u64 {
        match self {
            RequestTarget::Gateway(process) => process.unclean_exits(),
            RequestTarget::PayServer(..) => 0,
        }
    }
}

/// The clients, and the load balancer in front of the gateways.
pub struct Clients {
    context: Rc<RunContext>,
    targets: Vec<RequestTarget>,
    load_balancer: RefCell<LoadBalancer>,
    idle: RefCell<Vec<Vec<Connection>>>,
    behavior: ClientBehavior,
    /// Requests that have not ended.
    pub open: Cell<u64>,
    /// Number of requests so far.
    pub started: Cell<u64>,
    /// Number of served requests so far.
    pub served: Cell<u64>,
}

/// The status, headers and body of a response; an error if there is none.
type Exchange = Result<(u16, HeaderMap, Bytes), ()>;

impl Clients {
    /// Returns the clients of these processes.
    pub fn new(context: &Rc<RunContext>, targets: Vec<RequestTarget>) -> Rc<Clients> {
        Rc::new(Clients {
            load_balancer: RefCell::new(LoadBalancer::new(targets.len())),
            idle: RefCell::new(targets.iter().map(|_| Vec::new()).collect()),
            behavior: ClientBehavior::of(&context.scenario),
            context: context.clone(),
            targets,
            open: Cell::new(0),
            started: Cell::new(0),
            served: Cell::new(0),
        })
    }

    /// Connects to a gateway over the link to it.
    async fn connect(&self, gateway: u16) -> Result<Connection, ()> {
        let target = &self.targets[usize::from(gateway)];
        let (context, to) = (self.context.clone(), target.endpoint());
        context
            .wait_until(|context| {
                context.can_connect(Endpoint::Clients, to) || context.is_reset(Endpoint::Clients, to)
            })
            .await;
        let addr = target.addr();
        let addr = addr.filter(|_| !context.is_reset(Endpoint::Clients, to)).ok_or(())?;
        let mut tcp = TcpStream::connect(addr).await.map_err(drop)?;
        drop(tcp.set_nodelay(true));
        let (mut outer, inner) = tokio::io::duplex(PIPE_BYTES);
        let delivered = Rc::new(Cell::new(0));
        let observer = Observer { delivered: delivered.clone(), ..Observer::default() };
        spawn_local(
            async move { relay(&context, &mut tcp, to, &mut outer, Endpoint::Clients, observer).await },
        );
        let (sender, connection) = http1::handshake(TokioIo::new(inner)).await.map_err(drop)?;
        spawn_local(async move { drop(connection.await) });
        Ok(Connection { sender, delivered, used: false })
    }

    fn take_idle(&self, gateway: u16) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = &mut idle[usize::from(gateway)];
        idle.retain(|connection| !connection.sender.is_closed());
        idle.pop()
    }

    fn return_connection(&self, gateway: u16, mut connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let idle = &mut idle[usize::from(gateway)];
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            connection.used = true;
            idle.push(connection);
        }
    }

    /// Tracks the health of a gateway: the load balancer uses it once a health check succeeds, and notices
    /// its exit only after a delay.
    pub async fn track_health(self: Rc<Self>, gateway: u16) {
        let RequestTarget::Gateway(process) = &self.targets[usize::from(gateway)] else { return };
        let mut state = process.watch();
        let notice = Duration::from_millis(self.context.scenario.site.failure_detection_ms);
        loop {
            while !self.is_healthy(gateway).await {
                tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
            }
            self.context.record(Event::ProcessChanged {
                endpoint: Endpoint::Gateway(gateway),
                change: crate::history::ProcessChange::Ready,
            });
            self.load_balancer.borrow_mut().set(gateway, true);
            // A gateway that restarts before its exit is noticed is checked again too.
            if state.wait_for(|state| *state == super::process::State::Down).await.is_err() {
                return;
            }
            let notice_delay = tokio::time::sleep(notice);
            drop(
                timeout(notice, state.wait_for(|state| matches!(state, super::process::State::Up(..)))).await,
            );
            if !process.is_running() {
                notice_delay.await;
                self.load_balancer.borrow_mut().set(gateway, false);
                drop(state.wait_for(|state| matches!(state, super::process::State::Up(..))).await);
            }
        }
    }

    async fn is_healthy(&self, gateway: u16) -> bool {
        let check = async {
            let mut connection = self.connect(gateway).await?;
            let request = Request::get("/up").header("host", "api.internal").body(Full::default());
            let response = connection.sender.send_request(request.map_err(drop)?).await.map_err(drop)?;
            Ok::<_, ()>(response.status() == 200)
        };
        matches!(timeout(HEALTH_CHECK_TIMEOUT, check).await, Ok(Ok(true)))
    }

    /// Runs one request with all its client attempts.
    pub async fn run_request(self: Rc<Self>, arrival: Arrival, late: Nanos) {
        let Arrival { request, customer, class, .. } = arrival;
        let context = &self.context;
        self.started.set(self.started.get() + 1);
        self.open.set(self.open.get() + 1);
        context.record(Event::RequestStarted { request, customer, class, late });
        let profile = &context.deployment.customers[customer as usize];
        let mut client_request = ClientRequest::new(&arrival, self.behavior.clone(), context.now());
        let mut next = client_request.first_attempt(context.now(), profile, &self.load_balancer.borrow());
        let outcome = loop {
            context.sleep_until(context.now() + next.after).await;
            let (outcome, retry_after) = self.clone().attempt(request, customer, class, &next).await;
            context.record(Event::AttemptEnded { trace: next.trace, outcome });
            match client_request.next_step(
                context.now(),
                outcome,
                retry_after,
                profile,
                &self.load_balancer.borrow(),
            ) {
                NextStep::Retry(again) => next = again,
                NextStep::End(outcome) => break outcome,
            }
        };
        context.record(Event::RequestEnded { request, outcome });
        self.served.set(self.served.get() + u64::from(matches!(outcome, Outcome::Served { .. })));
        self.open.set(self.open.get() - 1);
        // The last attempts of the request may still be in flight to a pay server.
        context.sleep_until(context.now() + 30 * SECOND).await;
        context.traces.borrow_mut().remove(&next.trace);
    }

    fn request(&self, customer: u32, class: u8, next: &ClientAttempt) -> Option<Request<Full<Bytes>>> {
        let profile = &self.context.deployment.customers[customer as usize];
        let name = CLASSES[usize::from(class)];
        let (method, body) =
            if class == SAFE { ("GET", Bytes::new()) } else { ("POST", Bytes::from_static(BODY)) };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{name}"))
            .header("host", "api.internal")
            .header("x-trace-id", format!("{:016x}", next.trace))
            .header("x-qos", name)
            .header("x-contract", &self.context.deployment.quotas[profile.plan].name)
            .header("x-client-id", format!("{:016x}", profile.id))
            .header("x-expires-in", format!("{:.3}", next.wait as f64 / SECOND as f64))
            .header(
                "x-metering",
                format!("units=1,spread={},first={}", profile.gateway_weights.len(), profile.first_gateway),
            );
        let request = if next.is_retry { request.header("x-second-try", "1") } else { request };
        request.body(Full::new(body)).ok()
    }

    /// Runs one attempt until it ends or its client's timeout expires.
    async fn attempt(
        self: Rc<Self>,
        request_number: u32,
        customer: u32,
        class: u8,
        next: &ClientAttempt,
    ) -> (Outcome, Option<Nanos>) {
        let context = self.context.clone();
        let (gateway, trace) = (next.gateway, next.trace);
        let deadline = context.instant(context.now() + next.wait);
        context.traces.borrow_mut().insert(trace, (customer, class));
        context.record(Event::AttemptStarted {
            request: request_number,
            trace,
            gateway,
            timeout: next.wait,
            reuses_id: next.reuses_id,
        });
        let target = &self.targets[usize::from(gateway)];
        let unclean_exits = target.unclean_exits();
        loop {
            let connection = match self.take_idle(gateway) {
                Some(idle) => Ok(idle),
                None => match timeout_at(deadline, self.connect(gateway)).await {
                    Ok(connection) => connection,
                    // The connection was not established in time.
                    Err(_) => return (Outcome::Unreachable, None),
                },
            };
            let Ok(mut connection) = connection else { return (Outcome::Unreachable, None) };
            let Some(request) = self.request(customer, class, next) else { return (Outcome::Failed, None) };
            let (used, delivered) = (connection.used, connection.delivered.clone());
            let before = delivered.get();
            let mut exchange = Box::pin(async move {
                let response = exchange(&mut connection.sender, request).await;
                (response, connection)
            });
            let Ok((response, connection)) = timeout_at(deadline, exchange.as_mut()).await else {
                // Keeps waiting after the timeout, to record whether the gateway responds at all.
                spawn_local(async move {
                    let answered = matches!(timeout(LATE_RESPONSE_WAIT, exchange).await, Ok((Ok(_), _)));
                    context.record(Event::AttemptEndedLate { trace, answered });
                });
                return (Outcome::TimedOut, None);
            };
            match response {
                Ok((status, headers, body)) => {
                    self.return_connection(gateway, connection);
                    return (outcome(status, &body, trace), retry_after(&headers));
                }
                Err(()) if delivered.get() == before && !used => return (Outcome::Unreachable, None),
                // The gateway closed the idle connection while the request was in flight, and has not read
                // it.
                Err(()) if used => {
                    // The exit of the gateway is recorded a moment after its connections have ended.
                    tokio::time::sleep(EXIT_NOTICE_DELAY).await;
                    if target.unclean_exits() != unclean_exits && delivered.get() != before {
                        return (Outcome::Reset { first: false }, None);
                    }
                }
                Err(()) => return (Outcome::Reset { first: true }, None),
            }
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Nanos {
        self.context.now()
    }

    /// Waits until no request is open. Returns false if some are still open after the limit.
    pub async fn wait_all_ended(&self, limit: Duration) -> bool {
        let all_closed = async {
            while self.open.get() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(limit, all_closed).await.is_ok()
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> Exchange {
    sender.ready().await.map_err(drop)?;
    let (head, body) = sender.send_request(request).await.map_err(drop)?.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.map_err(drop)?.to_bytes();
    Ok((head.status.as_u16(), head.headers, body))
}

fn outcome(status: u16, body: &[u8], trace: Trace) -> Outcome {
    let text = String::from_utf8_lossy(body);
    let field = |name: &str| text.split(' ').find_map(|field| field.strip_prefix(name));
    match status {
        200 => {
            let is_own = field("trace=").is_some_and(|of| of == format!("{trace:016x}"));
            let attempt = field("attempt=").and_then(|attempt| attempt.parse().ok());
            Outcome::Served { attempt: attempt.filter(|_| is_own) }
        }
        429 | 503 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Nanos> {
    let seconds: f64 = headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    (0.0..=3600.0).contains(&seconds).then_some((seconds * 1e3) as Nanos * MS)
}
