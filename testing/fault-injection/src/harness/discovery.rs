//! Service discovery for gateways: the stand-in for the platform's discovery, or proxies for the processes of
//! the discovery service. Also the shared counter. A gateway calls each of them at the addresses made for
//! that gateway.

use crate::deployment::MS;
use crate::endpoint::Endpoint;
use crate::harness::pay_servers::{block_cut_callers, response_with_flag_header};
use crate::harness::process::Process;
use crate::harness::relay::{relay, Observer, Side, Tap};
use crate::harness::{address, RunContext};
use crate::history::{Event, ServerState};
use crate::stand_ins::counter::Counter;
use crate::stand_ins::discovery::{server_state, Discovery};
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use marblecroft_discovery::format::{Entry, Host, HostList, ListRequest, HOSTS};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

const PIPE_BYTES: usize = 64 << 10;
/// Longer requests and responses are relayed without being parsed.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Buffer size for lines of the counter's protocol, which are far shorter.
const MAX_LINE_BYTES: usize = 256;

/// A listener in front of a process or a stand-in. It accepts connections of known callers, each on a task of
/// its own.
pub struct LinkListener {
    context: Rc<RunContext>,
    to: Endpoint,
    /// The port of the listener.
    pub port: u16,
    listener: TcpListener,
    /// Incremented to end all connections to a stand-in.
    generation: watch::Sender<u64>,
    accepting: Cell<bool>,
}

impl LinkListener {
    /// Opens a listener in front of a process or a stand-in.
    pub fn open(context: &Rc<RunContext>, to: Endpoint) -> io::Result<Rc<LinkListener>> {
        let (listener, port) = address::listen()?;
        let accepting = Cell::new(true);
        let generation = watch::Sender::new(0);
        Ok(Rc::new(LinkListener { context: context.clone(), to, port, listener, generation, accepting }))
    }

    /// Starts or stops accepting connections. Stopping resets the open connections to a stand-in, and each
    /// new connection as soon as it is established.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
        if !accepting {
            self.generation.send_modify(|generation| *generation += 1);
        }
    }

    /// Drops connection attempts of callers whose link to this endpoint is cut.
    pub fn block_cut_callers(&self) {
        block_cut_callers(&self.context, &self.listener, self.to);
    }

    /// Whether the listener accepts connections.
    pub fn is_accepting(&self) -> bool {
        self.accepting.get()
    }

    /// Serves each connection by a service in this process, over a pipe of its own.
    pub fn serve<F: std::future::Future<Output = ()> + 'static>(
        self: Rc<Self>,
        pipe: usize,
        service: impl Fn(DuplexStream, Endpoint) -> F + 'static,
    ) {
        self.serve_observed(pipe, service, Observer::default);
    }

    /// Like [`LinkListener::serve`], with an observer of each connection.
    pub fn serve_observed<F: std::future::Future<Output = ()> + 'static>(
        self: Rc<Self>,
        pipe: usize,
        service: impl Fn(DuplexStream, Endpoint) -> F + 'static,
        observer: impl Fn() -> Observer + 'static,
    ) {
        let listener = self.clone();
        spawn_local(self.accept_each(move |tcp, from| {
            let (outer, inner) = tokio::io::duplex(pipe);
            spawn_local(listener.clone().relay_to_service(
                tcp,
                from,
                service(inner, from),
                outer,
                observer(),
            ));
        }));
    }

    async fn accept_each(self: Rc<Self>, serve: impl Fn(TcpStream, Endpoint)) {
        while let Ok((tcp, _)) = self.listener.accept().await {
            let caller = tcp.local_addr().ok().and_then(|addr| address::caller_by_addr(addr.ip()));
            match caller.filter(|from| self.accepting.get() && !self.context.is_reset(*from, self.to)) {
                Some(from) => serve(tcp, from),
                None => tcp.abort(),
            }
        }
    }

    /// Relays a connection to a service in this process.
    async fn relay_to_service(
        self: Rc<Self>,
        mut tcp: TcpStream,
        from: Endpoint,
        serving: impl std::future::Future<Output = ()> + 'static,
        mut outer: DuplexStream,
        observer: Observer,
    ) {
        drop(tcp.set_nodelay(true));
        let number = self.context.next_id();
        self.context.record(Event::Opened { connection: number, from, to: self.to });
        let serving = spawn_local(serving);
        let mut generation = self.generation.subscribe();
        generation.mark_unchanged();
        tokio::select! {
            () = relay(&self.context, &mut tcp, from, &mut outer, self.to, observer) => {}
            _ = generation.changed() => tcp.abort(),
        }
        serving.abort();
    }
}

/// The stand-in for the platform's discovery.
pub struct DiscoveryStandIn {
    /// Its listener.
    pub listener: Rc<LinkListener>,
    /// The logic of discovery.
    pub core: RefCell<Discovery>,
    changed: Notify,
}

impl DiscoveryStandIn {
    /// Starts the stand-in.
    pub fn new(context: &Rc<RunContext>) -> io::Result<Rc<DiscoveryStandIn>> {
        let listener = LinkListener::open(context, Endpoint::DiscoveryService(0))?;
        let discovery = Rc::new(DiscoveryStandIn {
            listener,
            core: RefCell::new(Discovery::new(1)),
            changed: Notify::new(),
        });
        let serving = discovery.clone();
        let service = move |pipe, from| {
            let discovery = serving.clone();
            async move {
                let service = service_fn(|request| discovery.clone().handle_request(request, from));
                drop(http1::Builder::new().serve_connection(TokioIo::new(pipe), service).await);
            }
        };
        let observed = context.clone();
        let observer = move || Observer {
            from_caller: Some(drop_while_suspended(observed.clone())),
            ..Observer::default()
        };
        discovery.listener.clone().serve_observed(PIPE_BYTES, service, observer);
        Ok(discovery)
    }

    fn is_suspended(context: &RunContext) -> bool {
        context.is_suspended(Endpoint::DiscoveryService(0))
    }

    /// Sets the entry of a server. As soon as discovery is not suspended, records an event that the gateways'
    /// agents have the entry; this does not depend on any request of a gateway.
    pub fn set(&self, number: u16, host: Host) {
        let (context, state) = (self.listener.context.clone(), server_state(host.state));
        self.core.borrow_mut().set(number, host);
        self.changed.notify_waiters();
        spawn_local(async move {
            context.wait_until(|context| !DiscoveryStandIn::is_suspended(context)).await;
            context.record(Event::AgentStateChanged { server: number, state });
        });
    }

    async fn handle_request(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: Endpoint,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let context = &self.listener.context;
        let Endpoint::Gateway(gateway) = from else {
            return Ok(response_with_flag_header(404, "", String::new()));
        };
        if request.uri().path() != HOSTS {
            return Ok(response_with_flag_header(404, "", "no such path".to_owned()));
        }
        let list_request = match ListRequest::parse(request.uri().query().unwrap_or_default()) {
            Ok(list_request) => list_request,
            Err(e) => return Ok(response_with_flag_header(400, "", e.to_string())),
        };
        let since = if let ListRequest::Watch { since, .. } = list_request { Some(since) } else { None };
        context.record(Event::DiscoveryRequested { gateway, since });
        if let ListRequest::Watch { wait, .. } = list_request {
            // The request is answered at a change or at its timeout. If discovery is suspended meanwhile, it
            // is never answered.
            tokio::select! {
                () = context.wait_until(DiscoveryStandIn::is_suspended) => std::future::pending().await,
                _ = timeout(wait, self.wait_for_change(list_request)) => {}
            }
        }
        let response = self.core.borrow().respond(list_request);
        let mut response = response.unwrap_or_else(|| crate::stand_ins::discovery::DiscoveryResponse {
            version: self.core.borrow().version(),
            full: false,
            servers: Vec::new(),
        });
        let servers = response.server_states();
        let (version, full) = (response.version, response.full);
        context.record(Event::DiscoveryReceived {
            gateway,
            process: 0,
            store: 1,
            epoch: 1,
            version,
            full,
            servers,
        });
        let body = response.body(address::seen_by(from)).map_err(io::Error::other)?;
        Ok(Response::new(Full::new(body.into())))
    }

    async fn wait_for_change(&self, list_request: ListRequest) {
        while self.core.borrow().respond(list_request).is_none() {
            self.changed.notified().await;
        }
    }
}

/// Drops the requests that arrive while discovery is suspended, and all later ones on the same connection, so
/// that they are never answered.
fn drop_while_suspended(context: Rc<RunContext>) -> Tap {
    let mut dropping = false;
    Box::new(move |chunk| {
        dropping |= DiscoveryStandIn::is_suspended(&context);
        if dropping {
            Bytes::new()
        } else {
            chunk
        }
    })
}

/// Proxies connections to a process of the discovery service and records the responses that gateways receive.
pub fn proxy_discovery_process(
    listener: &Rc<LinkListener>,
    process_number: u16,
    process: &Rc<Process>,
    numbers: Rc<HashMap<String, u16>>,
) {
    let context = listener.context.clone();
    proxy_process(listener, process, move |from| match from {
        Endpoint::Gateway(gateway) => Observer {
            from_caller: Some(record_discovery_requests(context.clone(), gateway)),
            to_caller: Some(rewrite_and_record_responses(
                context.clone(),
                gateway,
                process_number,
                numbers.clone(),
            )),
            ..Observer::default()
        },
        _ => Observer::default(),
    });
}

/// Proxies connections to a process, each with an observer.
pub fn proxy_process(
    listener: &Rc<LinkListener>,
    process: &Rc<Process>,
    observer: impl Fn(Endpoint) -> Observer + 'static,
) {
    let (accepting, process, observer) = (listener.clone(), process.clone(), Rc::new(observer));
    spawn_local(listener.clone().accept_each(move |mut tcp, from| {
        let (listener, process, observer) = (accepting.clone(), process.clone(), observer.clone());
        spawn_local(async move {
            let context = &listener.context;
            let Some(addr) = process.addr() else { return tcp.abort() };
            let Ok(mut inner) = TcpStream::connect(addr).await else { return tcp.abort() };
            drop(tcp.set_nodelay(true));
            drop(inner.set_nodelay(true));
            context.record(Event::Opened { connection: context.next_id(), from, to: listener.to });
            relay(context, &mut tcp, from, &mut inner, listener.to, observer(from)).await;
        });
    }));
}

/// Records the discovery requests of a gateway.
fn record_discovery_requests(context: Rc<RunContext>, gateway: u16) -> Tap {
    tap_http_messages(move |line, _| {
        let query = line.split(' ').nth(1).and_then(|target| target.strip_prefix(HOSTS));
        if let Some(Ok(list_request)) = query.map(|query| ListRequest::parse(query.trim_start_matches('?'))) {
            let since = if let ListRequest::Watch { since, .. } = list_request { Some(since) } else { None };
            context.record(Event::DiscoveryRequested { gateway, since });
        }
    })
}

/// Records the discovery responses that a gateway receives, and replaces the address under which servers
/// register by the address at which this gateway reaches them.
fn rewrite_and_record_responses(
    context: Rc<RunContext>,
    gateway: u16,
    process_number: u16,
    numbers: Rc<HashMap<String, u16>>,
) -> Tap {
    let registered = address::REGISTERED.to_string();
    let seen_by_gateway = address::seen_by(Endpoint::Gateway(gateway)).to_string();
    tap_http_messages(move |_, body| {
        for at in 0..body.len().saturating_sub(registered.len()) {
            if body[at..].starts_with(registered.as_bytes()) {
                body[at..at + seen_by_gateway.len()].copy_from_slice(seen_by_gateway.as_bytes());
            }
        }
        let Ok(response) = serde_json::from_slice::<HostList>(body) else { return };
        let servers: Vec<(u16, ServerState)> = response
            .servers
            .iter()
            .filter_map(|entry| match entry {
                Entry::Readable(host) => Some((*numbers.get(&host.id)?, server_state(host.state))),
                Entry::Malformed(_) => None,
            })
            .collect();
        context.record(Event::DiscoveryReceived {
            gateway,
            process: process_number,
            store: response.store.unwrap_or(0),
            epoch: response.epoch,
            version: response.version,
            full: response.full,
            servers,
        });
    })
}

/// Calls `inspect` with the first line and the body of each HTTP message, and passes on complete messages.
/// Once a message cannot be parsed, all data is passed on unchanged.
fn tap_http_messages(mut inspect: impl FnMut(&str, &mut [u8]) + 'static) -> Tap {
    let mut received = BytesMut::new();
    let mut unreadable = false;
    Box::new(move |chunk| {
        if unreadable {
            return chunk;
        }
        received.extend_from_slice(&chunk);
        let mut passed_on = BytesMut::new();
        loop {
            match message_extent(&received) {
                MessageExtent::Partial if received.len() <= MAX_MESSAGE_BYTES => break,
                MessageExtent::Partial | MessageExtent::Unreadable => {
                    unreadable = true;
                    passed_on.unsplit(received.split());
                    break;
                }
                MessageExtent::Complete { head, length } => {
                    let mut message = received.split_to(head + length);
                    let line = message[..].split(|b| *b == b'\r').next().unwrap_or_default();
                    let line = String::from_utf8_lossy(line).into_owned();
                    inspect(&line, &mut message[head..]);
                    passed_on.unsplit(message);
                }
            }
        }
        passed_on.freeze()
    })
}

enum MessageExtent {
    Partial,
    Complete { head: usize, length: usize },
    Unreadable,
}

/// Returns the extent of the first message, its head and its body.
fn message_extent(bytes: &[u8]) -> MessageExtent {
    let mut lines = [httparse::EMPTY_HEADER; 32];
    let response = bytes.starts_with(b"HTTP/");
    let (parsed, headers) = if response {
        let mut response = httparse::Response::new(&mut lines);
        (response.parse(bytes), response.headers)
    } else {
        let mut request = httparse::Request::new(&mut lines);
        (request.parse(bytes), request.headers)
    };
    let head = match parsed {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return MessageExtent::Partial,
        Err(_) => return MessageExtent::Unreadable,
    };
    let length = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
    match length.unwrap_or(0) {
        length if length > MAX_MESSAGE_BYTES => MessageExtent::Unreadable,
        length if bytes.len() < head + length => MessageExtent::Partial,
        length => MessageExtent::Complete { head, length },
    }
}

/// The stand-in for the shared counter.
pub struct CounterStandIn {
    /// Its listener.
    pub listener: Rc<LinkListener>,
    /// The logic of the counter.
    pub core: RefCell<Counter>,
}

impl CounterStandIn {
    /// Starts the stand-in.
    pub fn new(context: &Rc<RunContext>) -> io::Result<Rc<CounterStandIn>> {
        let listener = LinkListener::open(context, Endpoint::Counter)?;
        let core = RefCell::new(Counter::new(context.scenario.site.counter_per_s));
        let counter = Rc::new(CounterStandIn { listener, core });
        let serving = counter.clone();
        counter.listener.clone().serve(PIPE_BYTES, move |pipe, from| {
            let counter = serving.clone();
            async move { drop(counter.serve(pipe, from).await) }
        });
        Ok(counter)
    }

    async fn serve(&self, pipe: DuplexStream, from: Endpoint) -> io::Result<()> {
        let context = &self.listener.context;
        let Endpoint::Gateway(gateway) = from else { return Ok(()) };
        let (read, mut write) = tokio::io::split(pipe);
        let mut lines = BufReader::with_capacity(MAX_LINE_BYTES, read).lines();
        while let Some(line) = lines.next_line().await? {
            let reply = self.core.borrow_mut().call(context.now(), line.trim_end());
            context.record(Event::CounterCalled { gateway, busy: reply.busy });
            context.sleep_until(reply.at).await;
            write.write_all(format!("{}\r\n", reply.text).as_bytes()).await?;
        }
        Ok(())
    }
}

/// Returns the address at which a caller reaches the listener on a port.
pub fn addr_for(from: Endpoint, port: u16) -> String {
    format!("{}:{port}", IpAddr::V4(address::seen_by(from)))
}

/// Returns the delay until discovery shows a new server, or the removal of one.
pub fn discovery_delay(context: &RunContext, is_new: bool) -> u64 {
    let site = &context.scenario.site;
    (if is_new { site.discovery_add_delay_ms } else { site.discovery_removal_delay_ms }) * MS
}
