//! Who tells the list: the stand-in of the platform's discovery, or the way to processes of the list service; and the
//! counter. All are called by gateways at their own views.

use crate::deployment::MS;
use crate::endpoint::End;
use crate::history::{Event, ServerState};
use crate::shell::pay_servers::{plain, shut_out};
use crate::shell::process::Process;
use crate::shell::relay::{relay, Side, Tap, Watch};
use crate::shell::{address, World};
use crate::stand::counter::Counter;
use crate::stand::list::{told, List};
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

const PIPE: usize = 64 << 10;
/// Calls and answers that are longer are passed on unread.
const MESSAGE_MOST: usize = 256 << 10;
/// A line of the counter's is far shorter.
const LINE_MOST: usize = 256;

/// A stand-in's door: connections by callers that are known, each on a task of its own, until the process it stands for
/// is gone.
pub struct Door {
    world: Rc<World>,
    to: End,
    /// Its port.
    pub port: u16,
    listener: TcpListener,
    /// Rises when all connections are to end.
    generation: watch::Sender<u64>,
    open: Cell<bool>,
}

impl Door {
    /// Opens a listener in front of a process or a stand-in.
    pub fn open(world: &Rc<World>, to: End) -> io::Result<Rc<Door>> {
        let (listener, port) = address::listen()?;
        let open = Cell::new(true);
        let generation = watch::Sender::new(0);
        Ok(Rc::new(Door { world: world.clone(), to, port, listener, generation, open }))
    }

    /// Its process is there, or gone: connections are reset, and new ones as soon as they are up.
    pub fn set(&self, open: bool) {
        self.open.set(open);
        if !open {
            self.generation.send_modify(|generation| *generation += 1);
        }
    }

    /// Resets the connections that the faults of links end.
    pub fn shut_out(&self) {
        shut_out(&self.world, &self.listener, self.to);
    }

    /// Whether it accepts connections.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Has a service in this process answer whoever comes, each on a pipe of its own.
    pub fn serve<F: std::future::Future<Output = ()> + 'static>(
        self: Rc<Self>,
        pipe: usize,
        service: impl Fn(DuplexStream, End) -> F + 'static,
    ) {
        self.serve_watched(pipe, service, Watch::default);
    }

    /// The same; each connection is looked at.
    pub fn serve_watched<F: std::future::Future<Output = ()> + 'static>(
        self: Rc<Self>,
        pipe: usize,
        service: impl Fn(DuplexStream, End) -> F + 'static,
        watch: impl Fn() -> Watch + 'static,
    ) {
        let door = self.clone();
        spawn_local(self.each(move |tcp, from| {
            let (outer, inner) = tokio::io::duplex(pipe);
            spawn_local(door.clone().through(tcp, from, service(inner, from), outer, watch()));
        }));
    }

    async fn each(self: Rc<Self>, serve: impl Fn(TcpStream, End)) {
        while let Ok((tcp, _)) = self.listener.accept().await {
            let caller = tcp.local_addr().ok().and_then(|addr| address::caller(addr.ip()));
            match caller.filter(|from| self.open.get() && !self.world.reset(*from, self.to)) {
                Some(from) => serve(tcp, from),
                None => tcp.abort(),
            }
        }
    }

    /// Passes a connection on to a service in this process.
    async fn through(
        self: Rc<Self>,
        mut tcp: TcpStream,
        from: End,
        serving: impl std::future::Future<Output = ()> + 'static,
        mut outer: DuplexStream,
        watch: Watch,
    ) {
        drop(tcp.set_nodelay(true));
        let number = self.world.number();
        self.world.record(Event::Opened { connection: number, from, to: self.to });
        let serving = spawn_local(serving);
        let mut generation = self.generation.subscribe();
        generation.mark_unchanged();
        tokio::select! {
            () = relay(&self.world, &mut tcp, from, &mut outer, self.to, watch) => {}
            _ = generation.changed() => tcp.abort(),
        }
        serving.abort();
    }
}

/// The stand-in of the platform's discovery.
pub struct Platform {
    /// Its listener.
    pub door: Rc<Door>,
    /// The list.
    pub list: RefCell<List>,
    changed: Notify,
}

impl Platform {
    /// Starts the stand-in.
    pub fn new(world: &Rc<World>) -> io::Result<Rc<Platform>> {
        let door = Door::open(world, End::ListService(0))?;
        let platform = Rc::new(Platform { door, list: RefCell::new(List::new(1)), changed: Notify::new() });
        let serving = platform.clone();
        let service = move |pipe, from| {
            let platform = serving.clone();
            async move {
                let service = service_fn(|request| platform.clone().answer(request, from));
                drop(http1::Builder::new().serve_connection(TokioIo::new(pipe), service).await);
            }
        };
        let asked = world.clone();
        let watch = move || Watch { there: Some(unheard(asked.clone())), ..Watch::default() };
        platform.door.clone().serve_watched(PIPE, service, watch);
        Ok(platform)
    }

    fn is_silent(world: &World) -> bool {
        world.stands_still(End::ListService(0))
    }

    /// The list has this entry from now on. The agents hold it as soon as discovery speaks, whatever calls they were asked.
    pub fn set(&self, number: u16, host: Host) {
        let (world, told) = (self.door.world.clone(), told(host.state));
        self.list.borrow_mut().set(number, host);
        self.changed.notify_waiters();
        spawn_local(async move {
            world.until(|world| !Platform::is_silent(world)).await;
            world.record(Event::AgentStateChanged { server: number, state: told });
        });
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: End,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let world = &self.door.world;
        let End::Gateway(gateway) = from else { return Ok(plain(404, "", String::new())) };
        if request.uri().path() != HOSTS {
            return Ok(plain(404, "", "no such path".to_owned()));
        }
        let ask = match ListRequest::parse(request.uri().query().unwrap_or_default()) {
            Ok(ask) => ask,
            Err(e) => return Ok(plain(400, "", e.to_string())),
        };
        let since = if let ListRequest::Watch { since, .. } = ask { Some(since) } else { None };
        world.record(Event::ListRequested { gateway, since });
        if let ListRequest::Watch { wait, .. } = ask {
            // In time or not, it is answered; but one over which discovery falls silent never is.
            tokio::select! {
                () = world.until(Platform::is_silent) => std::future::pending().await,
                _ = timeout(wait, self.newer(ask)) => {}
            }
        }
        let answer = self.list.borrow().answer(ask);
        let mut answer = answer.unwrap_or_else(|| crate::stand::list::Answer {
            version: self.list.borrow().version(),
            full: false,
            servers: Vec::new(),
        });
        let servers = answer.told();
        let (version, full) = (answer.version, answer.full);
        world.record(Event::ListReceived { gateway, list: 0, store: 1, epoch: 1, version, full, servers });
        let body = answer.body(address::view(from)).map_err(io::Error::other)?;
        Ok(Response::new(Full::new(body.into())))
    }

    async fn newer(&self, ask: ListRequest) {
        while self.list.borrow().answer(ask).is_none() {
            self.changed.notified().await;
        }
    }
}

/// What agents are asked while discovery is silent has no answer, then or later, and neither has what follows on the same
/// connection.
fn unheard(world: Rc<World>) -> Tap {
    let mut deaf = false;
    Box::new(move |piece| {
        deaf |= Platform::is_silent(&world);
        if deaf {
            Bytes::new()
        } else {
            piece
        }
    })
}

/// The way to a process of the list service.
pub fn list_process(door: &Rc<Door>, list: u16, process: &Rc<Process>, numbers: Rc<HashMap<String, u16>>) {
    let world = door.world.clone();
    process_behind(door, process, move |from| match from {
        End::Gateway(gateway) => Watch {
            there: Some(calls(world.clone(), gateway)),
            back: Some(answers(world.clone(), gateway, list, numbers.clone())),
            ..Watch::default()
        },
        _ => Watch::default(),
    });
}

/// The way to a process, and who looks at what passes.
pub fn process_behind(door: &Rc<Door>, process: &Rc<Process>, watch: impl Fn(End) -> Watch + 'static) {
    let (accepting, process, watch) = (door.clone(), process.clone(), Rc::new(watch));
    spawn_local(door.clone().each(move |mut tcp, from| {
        let (door, process, watch) = (accepting.clone(), process.clone(), watch.clone());
        spawn_local(async move {
            let world = &door.world;
            let Some(addr) = process.addr() else { return tcp.abort() };
            let Ok(mut inner) = TcpStream::connect(addr).await else { return tcp.abort() };
            drop(tcp.set_nodelay(true));
            drop(inner.set_nodelay(true));
            world.record(Event::Opened { connection: world.number(), from, to: door.to });
            relay(world, &mut tcp, from, &mut inner, door.to, watch(from)).await;
        });
    }));
}

/// Sees the calls that a gateway makes.
fn calls(world: Rc<World>, gateway: u16) -> Tap {
    messages(move |line, _| {
        let query = line.split(' ').nth(1).and_then(|target| target.strip_prefix(HOSTS));
        if let Some(Ok(ask)) = query.map(|query| ListRequest::parse(query.trim_start_matches('?'))) {
            let since = if let ListRequest::Watch { since, .. } = ask { Some(since) } else { None };
            world.record(Event::ListRequested { gateway, since });
        }
    })
}

/// Sees the lists that a gateway is told, and puts its view in the place of the address under which servers register.
fn answers(world: Rc<World>, gateway: u16, list: u16, numbers: Rc<HashMap<String, u16>>) -> Tap {
    let registered = address::REGISTERED.to_string();
    let view = address::view(End::Gateway(gateway)).to_string();
    messages(move |_, body| {
        for at in 0..body.len().saturating_sub(registered.len()) {
            if body[at..].starts_with(registered.as_bytes()) {
                body[at..at + view.len()].copy_from_slice(view.as_bytes());
            }
        }
        let Ok(told_list) = serde_json::from_slice::<HostList>(body) else { return };
        let servers: Vec<(u16, ServerState)> = told_list
            .servers
            .iter()
            .filter_map(|entry| match entry {
                Entry::Readable(host) => Some((*numbers.get(&host.id)?, told(host.state))),
                Entry::Malformed(_) => None,
            })
            .collect();
        world.record(Event::ListReceived {
            gateway,
            list,
            store: told_list.store.unwrap_or(0),
            epoch: told_list.epoch,
            version: told_list.version,
            full: told_list.full,
            servers,
        });
    })
}

/// Hands each HTTP message, as its first line and its body, to `see`, and passes it on whole; what cannot be read is passed
/// on as it is.
fn messages(mut see: impl FnMut(&str, &mut [u8]) + 'static) -> Tap {
    let mut come = BytesMut::new();
    let mut unreadable = false;
    Box::new(move |piece| {
        if unreadable {
            return piece;
        }
        come.extend_from_slice(&piece);
        let mut whole = BytesMut::new();
        loop {
            match extent(&come) {
                Extent::Part if come.len() <= MESSAGE_MOST => break,
                Extent::Part | Extent::Unreadable => {
                    unreadable = true;
                    whole.unsplit(come.split());
                    break;
                }
                Extent::Whole { head, length } => {
                    let mut message = come.split_to(head + length);
                    let line = message[..].split(|b| *b == b'\r').next().unwrap_or_default();
                    let line = String::from_utf8_lossy(line).into_owned();
                    see(&line, &mut message[head..]);
                    whole.unsplit(message);
                }
            }
        }
        whole.freeze()
    })
}

enum Extent {
    Part,
    Whole { head: usize, length: usize },
    Unreadable,
}

/// How long the first message is: its head and its body.
fn extent(bytes: &[u8]) -> Extent {
    let mut lines = [httparse::EMPTY_HEADER; 32];
    let answer = bytes.starts_with(b"HTTP/");
    let (parsed, headers) = if answer {
        let mut response = httparse::Response::new(&mut lines);
        (response.parse(bytes), response.headers)
    } else {
        let mut request = httparse::Request::new(&mut lines);
        (request.parse(bytes), request.headers)
    };
    let head = match parsed {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Extent::Part,
        Err(_) => return Extent::Unreadable,
    };
    let length = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
    match length.unwrap_or(0) {
        length if length > MESSAGE_MOST => Extent::Unreadable,
        length if bytes.len() < head + length => Extent::Part,
        length => Extent::Whole { head, length },
    }
}

/// The counter.
pub struct Counts {
    /// Its listener.
    pub door: Rc<Door>,
    /// The counter.
    pub core: RefCell<Counter>,
}

impl Counts {
    /// Starts the stand-in.
    pub fn new(world: &Rc<World>) -> io::Result<Rc<Counts>> {
        let door = Door::open(world, End::Counter)?;
        let core = RefCell::new(Counter::new(world.scenario.site.counter_per_s));
        let counts = Rc::new(Counts { door, core });
        let serving = counts.clone();
        counts.door.clone().serve(PIPE, move |pipe, from| {
            let counts = serving.clone();
            async move { drop(counts.serve(pipe, from).await) }
        });
        Ok(counts)
    }

    async fn serve(&self, pipe: DuplexStream, from: End) -> io::Result<()> {
        let world = &self.door.world;
        let End::Gateway(gateway) = from else { return Ok(()) };
        let (read, mut write) = tokio::io::split(pipe);
        let mut lines = BufReader::with_capacity(LINE_MOST, read).lines();
        while let Some(line) = lines.next_line().await? {
            let reply = self.core.borrow_mut().call(world.now(), line.trim_end());
            world.record(Event::CounterCalled { gateway, busy: reply.busy });
            world.sleep_until(reply.at).await;
            write.write_all(format!("{}\r\n", reply.text).as_bytes()).await?;
        }
        Ok(())
    }
}

/// Where a gateway finds a stand-in.
pub fn place(from: End, port: u16) -> String {
    format!("{}:{port}", IpAddr::V4(address::view(from)))
}

/// How late the list hears of a change.
pub fn lateness(world: &World, new: bool) -> u64 {
    let site = &world.scenario.site;
    (if new { site.list_add_ms } else { site.list_notice_ms }) * MS
}
