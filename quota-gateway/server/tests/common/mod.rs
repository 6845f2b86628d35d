//! Test harness: runs the built gateway as a process between stub peers on loopback sockets.
#![allow(dead_code)] // each test file uses only some of the helpers

pub mod scripted;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limit of every wait. Only a failing test waits that long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The gateway does not reuse a connection to a server for this long after a response on it (`REUSE_DELAY` in
/// `upstream/pool.rs`).
pub const REUSE_DELAY: Duration = Duration::from_millis(15);

/// Waits until the gateway may reuse its connections to servers.
pub fn wait_for_reuse() {
    thread::sleep(REUSE_DELAY * 2);
}

/// Polls until `condition` holds; panics with `what` after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message: the words of its start line, its headers with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: Vec<String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the connection ends first, by a close or a reset.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let mut message = Message {
            start_line: line.split_whitespace().map(str::to_owned).collect(),
            ..Message::default()
        };
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|&n| n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length =
            message.headers.get("content-length").map_or(0, |n| n.parse().expect("a numeric length"));
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn status(&self) -> u16 {
        self.start_line[1].parse().expect("a numeric status")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The reaction of a stub to a request.
#[derive(Clone)]
pub enum Reply {
    /// Sends a response with this status, these header lines and this body.
    Respond(u16, &'static str, String),
    /// Sends 200 with this body, and closes the connection without having announced it.
    RespondAndClose(String),
    /// Sends these bytes unchanged, and closes the connection.
    RawAndClose(&'static str),
    /// Sends these bytes unchanged, and keeps the connection open.
    RawKeepOpen(String),
    /// Sends 200 with the first text as its body, and the second text as surplus bytes 50 ms later.
    RespondThenBytes(String, String),
    /// Keeps the connection open and sends nothing.
    NoResponse,
}

/// Status 200 with this body.
pub fn ok(body: &str) -> Reply {
    Reply::Respond(200, "", body.to_owned())
}

type Handler = dyn Fn(&Message) -> Reply + Send + Sync;

/// A server that responds by a handler function and records the requests that it receives.
#[derive(Clone)]
pub struct Stub {
    pub addr: SocketAddr,
    pub received: Arc<Mutex<Vec<Message>>>,
    /// Number of accepted connections.
    pub connections: Arc<AtomicUsize>,
    /// Number of connections that the client has closed.
    pub closed: Arc<AtomicUsize>,
    handler: Arc<Mutex<Arc<Handler>>>,
    /// Connections whose last request has no response.
    unanswered: Arc<Mutex<Vec<TcpStream>>>,
}

impl Stub {
    pub fn start(handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Stub {
        Stub::on(TcpListener::bind("127.0.0.1:0").expect("bind a port"), handler)
    }

    /// Starts a stub on this listening socket.
    pub fn on(listener: TcpListener, handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Stub {
        let stub = Stub {
            addr: listener.local_addr().expect("a bound socket"),
            received: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
            handler: Arc::new(Mutex::new(Arc::new(handler))),
            unanswered: Arc::default(),
        };
        let acceptor = stub.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                acceptor.connections.fetch_add(1, Ordering::SeqCst);
                let connection = acceptor.clone();
                thread::spawn(move || connection.serve(stream));
            }
        });
        stub
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("duplicate the socket"));
        let mut writer = stream;
        while let Some(message) = Message::read(&mut reader) {
            self.received.lock().unwrap().push(message.clone());
            let handler = self.handler.lock().unwrap().clone();
            let (text, close) = match handler(&message) {
                Reply::Respond(status, headers, body) => (response_text(status, headers, &body), false),
                Reply::RespondAndClose(body) => (response_text(200, "", &body), true),
                Reply::RawAndClose(text) => (text.to_owned(), true),
                Reply::RawKeepOpen(text) => (text, false),
                Reply::RespondThenBytes(body, surplus) => {
                    writer.write_all(response_text(200, "", &body).as_bytes()).expect("write succeeds");
                    thread::sleep(Duration::from_millis(50));
                    (surplus, false)
                }
                Reply::NoResponse => {
                    self.unanswered.lock().unwrap().push(writer.try_clone().expect("duplicate the socket"));
                    continue;
                }
            };
            if writer.write_all(text.as_bytes()).is_err() || close {
                return;
            }
        }
        self.closed.fetch_add(1, Ordering::SeqCst);
    }

    /// Responds by this handler from now on.
    pub fn set_handler(&self, handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) {
        *self.handler.lock().unwrap() = Arc::new(handler);
    }

    /// Responds to the requests that were left unanswered so far.
    pub fn respond_to_pending(&self, reply: &Reply) {
        let Reply::Respond(status, headers, body) = reply else {
            panic!("only Reply::Respond can be sent later")
        };
        for mut stream in self.unanswered.lock().unwrap().drain(..) {
            stream.write_all(response_text(*status, headers, body).as_bytes()).expect("write succeeds");
        }
    }

    /// Waits for a request that is left unanswered, and returns its connection.
    pub fn take_unanswered(&self) -> TcpStream {
        let mut stream = None;
        until("a request is left unanswered", || {
            stream = self.unanswered.lock().unwrap().pop();
            stream.is_some()
        });
        stream.expect("set above")
    }

    /// Number of requests received.
    pub fn requests(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    pub fn last_request(&self) -> Message {
        self.received.lock().unwrap().last().cloned().expect("a request")
    }
}

/// The text of a response with this status, these header lines and this body.
pub fn response_text(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Word\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// A stub discovery agent. A call waits until the test has queued a reply; a watch without one reports no
/// changes after its wait.
#[derive(Clone)]
pub struct Agent {
    pub stub: Stub,
    queue: Arc<(Mutex<ReplyQueue>, Condvar)>,
}

/// Replies that are to be sent, the next one at the end.
#[derive(Default)]
struct ReplyQueue {
    replies: Vec<Reply>,
    /// Number of the newest call. Earlier calls may have been abandoned by the gateway, so they get no reply.
    newest_call: usize,
}

impl Agent {
    /// Starts an agent that has no changes to report until [`Agent::queue_reply`] is called.
    pub fn start() -> Agent {
        let queue: Arc<(Mutex<ReplyQueue>, Condvar)> = Arc::default();
        let call_queue = queue.clone();
        let stub = Stub::start(move |message| {
            let (queue, changed) = &*call_queue;
            let mut queue = queue.lock().unwrap();
            queue.newest_call += 1;
            let call = queue.newest_call;
            let watch = parse_watch(message);
            let wait = watch.map_or(WAIT_TIMEOUT, |(_, wait)| wait);
            let has_no_reply = |q: &mut ReplyQueue| q.replies.is_empty() || q.newest_call != call;
            let (mut queue, _) = changed.wait_timeout_while(queue, wait, has_no_reply).unwrap();
            if queue.newest_call != call {
                return Reply::NoResponse;
            }
            let no_changes = watch.map(|(since, _)| ok(&endpoint_list(since, false, &[])));
            queue.replies.pop().or(no_changes).unwrap_or(Reply::NoResponse)
        });
        Agent { stub, queue }
    }

    /// Sends this reply to the call that waits, or to the next one.
    pub fn queue_reply(&self, reply: Reply) {
        self.queue.0.lock().unwrap().replies.insert(0, reply);
        self.queue.1.notify_all();
    }

    /// Waits until the gateway watches for changes since this version. It has then applied all earlier
    /// replies.
    pub fn wait_for_watch(&self, version: u64) {
        let since = format!("/discovery/hosts?since={version}&timeout_ms=");
        until("the gateway watches the list from the expected version", || {
            self.stub.received.lock().unwrap().iter().any(|m| m.start_line[1].starts_with(&since))
        });
    }
}

/// The version after which a watch asks for changes, and how long the agent may wait before it responds;
/// `None` for a call for the full list.
pub fn parse_watch(call: &Message) -> Option<(u64, Duration)> {
    let (since, wait) = call.start_line[1].split_once("?since=")?.1.split_once("&timeout_ms=")?;
    Some((
        since.parse().expect("a numeric version"),
        Duration::from_millis(wait.parse().expect("a wait in milliseconds")),
    ))
}

/// The JSON text of an endpoint list with these stubs and their states.
pub fn endpoint_list(version: u64, full: bool, servers: &[(&Stub, &str)]) -> String {
    let hosts_by_address: Vec<_> = servers.iter().map(|(stub, state)| (stub.addr, *state)).collect();
    hosts(version, full, &hosts_by_address)
}

/// The JSON text of an endpoint list with these addresses and their states.
pub fn hosts(version: u64, full: bool, servers: &[(SocketAddr, &str)]) -> String {
    let servers: Vec<String> = servers
        .iter()
        .map(|(addr, state)| {
            format!(
                r#"{{"id":"s-{}","addr":"{addr}","zone":"sala-a","kind":"std-2c","cell":0,"state":"{state}","weight":1.0,"started_ms":0,"more":1}}"#,
                addr.port()
            )
        })
        .collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
}

/// The stubs, each with the state `SERVING`.
pub fn serving<'a>(servers: &[&'a Stub]) -> Vec<(&'a Stub, &'static str)> {
    servers.iter().map(|stub| (*stub, "SERVING")).collect()
}

/// The JSON text of a configuration with this initial endpoint list, if any.
pub fn config(listen: &str, agent: SocketAddr, initial_list: Option<&str>) -> String {
    let known = initial_list.map(|list| format!(r#""known":{list},"#)).unwrap_or_default();
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{agent}","seed":"92094eb940cf389a","more":[1],{known}
"limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"settings":{{"FleetSize":1,"Me":0,"Zone":0,"Tick":2000000,
"Dcs":["sala-a","sala-b"],"Kinds":["std-2c"],"Discovery":"push","Domain":{{"Metering":500000000,"UnitsTop":3}},
"Limits":{{"Cancel":true,"ConnIdle":15000000000,"ConnectTimeout":250000000,"MaxAttempts":5,"MaxRetryAfter":500000000,
"SecondCopies":true}},"Rules":{{"ColdFrom":0.19,"RampTime":14000000000,"OverloadFactor":4.0,"Fall":3000000000}},
"Plans":[{{"Name":"basico","Rate":1000.0,"Burst":1000.0,"ValueFactor":1.0,"OverCost":1.0}},
{{"Name":"nada","Rate":0.001,"Burst":0.001,"ValueFactor":1.0,"OverCost":1.0}}],
"Profiles":[{{"Name":"saldo","Aim":1500000000,"Deadline":4000000000,"Effect":"read_like","Importance":3.0}},
{{"Name":"abono","Aim":2500000000,"Deadline":7500000000,"Effect":"idempotency_key","Group":"cell","KeyTtl":5000000000,
"Importance":5.0}}]}}}}"#
    )
}

/// A gateway process, which is killed when dropped.
pub struct GatewayProcess {
    pub child: Child,
    pub addr: SocketAddr,
    pub log: Arc<Mutex<String>>,
    dir: PathBuf,
}

/// Creates a temporary directory for the calling test.
pub fn temp_dir() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("marblecroft-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("create a directory");
    dir
}

impl GatewayProcess {
    pub fn start(config: &str) -> GatewayProcess {
        GatewayProcess::start_in_shell("exec \"$0\"", config)
    }

    /// Starts the program with a shell script, which may set resource limits first.
    pub fn start_in_shell(script: &str, config: &str) -> GatewayProcess {
        GatewayProcess::start_with(script, config, &[])
    }

    /// Starts the program with a shell script and these environment variables.
    pub fn start_with(script: &str, config: &str, variables: &[(&str, &str)]) -> GatewayProcess {
        GatewayProcess::spawn(Stdio::inherit(), script, config, variables)
    }

    /// Starts a gateway with a console. It inherits this listening socket as descriptor 7, and uses this
    /// directory, which it shares with other processes, as `TMPDIR`.
    pub fn inheriting(listener: &TcpListener, shared: &Path, config: &str) -> GatewayProcess {
        let socket = OwnedFd::from(listener.try_clone().expect("duplicate the socket"));
        let shared = shared.to_str().expect("valid UTF-8");
        let variables = [("RELAY_FD", "7"), ("RELAY_CONSOLE", "127.0.0.1:0"), ("TMPDIR", shared)];
        GatewayProcess::spawn(socket.into(), "exec 7<&0 0</dev/null; exec \"$0\"", config, &variables)
    }

    fn spawn(input: Stdio, script: &str, config: &str, variables: &[(&str, &str)]) -> GatewayProcess {
        let dir = temp_dir();
        let file = dir.join("config.json");
        std::fs::write(&file, config).expect("write succeeds");
        let mut child = Command::new("/bin/sh")
            .args(["-c", script, env!("CARGO_BIN_EXE_marblecroft-quota-gateway")])
            .env("RELAY_CONFIG", &file)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_CONSOLE")
            .env_remove("RELAY_FD")
            .stdin(input)
            .envs(variables.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the gateway");
        let log: Arc<Mutex<String>> = Arc::default();
        let (lines, errors) = (log.clone(), child.stderr.take().expect("a pipe for standard error"));
        thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                *lines.lock().unwrap() += &(line + "\n");
            }
        });
        let mut addr = None;
        until("the gateway listens", || {
            let log = log.lock().unwrap();
            addr = log
                .lines()
                .find_map(|l| l.strip_prefix("marblecroft-quota-gateway: listening on ")?.parse().ok());
            addr.is_some()
        });
        GatewayProcess { child, addr: addr.expect("logged above"), log, dir }
    }

    /// Starts a gateway whose initial endpoint list has these servers, with an agent that reports no changes.
    pub fn with_servers(servers: &[&Stub]) -> (GatewayProcess, Agent) {
        let agent = Agent::start();
        let known = endpoint_list(1, true, &serving(servers));
        (GatewayProcess::start(&config("127.0.0.1:0", agent.stub.addr, Some(&known))), agent)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Starts a gateway with a console and these servers. The configuration has a non-idempotent class
    /// (`nomina`) and does not hedge; `change` edits it before the start.
    pub fn with_non_idempotent_class(
        servers: &[SocketAddr],
        change: impl Fn(String) -> String,
    ) -> (GatewayProcess, Agent) {
        let agent = Agent::start();
        let serving: Vec<_> = servers.iter().map(|addr| (*addr, "SERVING")).collect();
        let config = config("127.0.0.1:0", agent.stub.addr, Some(&hosts(1, true, &serving)))
            .replace(r#""SecondCopies":true"#, r#""SecondCopies":false"#)
            .replace(
                r#""Profiles":["#,
                r#""Profiles":[{"Name":"nomina","Aim":1500000000,"Deadline":4000000000,"Effect":"non_idempotent",
"Importance":2.0},"#,
            );
        (
            GatewayProcess::start_with("exec \"$0\"", &change(config), &[("RELAY_CONSOLE", "127.0.0.1:0")]),
            agent,
        )
    }

    /// Starts a gateway with a console and these servers.
    pub fn with_console(servers: &[&Stub]) -> (GatewayProcess, Agent) {
        let agent = Agent::start();
        let known = endpoint_list(1, true, &serving(servers));
        let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
        (GatewayProcess::start_with("exec \"$0\"", &config, &[("RELAY_CONSOLE", "127.0.0.1:0")]), agent)
    }

    /// The address of the operators' console.
    pub fn console(&self) -> SocketAddr {
        let log = self.log();
        let address = log.lines().find_map(|l| l.strip_prefix("marblecroft-quota-gateway: console on "));
        address.expect("the console's address in the log").parse().expect("a socket address")
    }

    /// Sends a call to the console, and returns the response.
    pub fn console_response(&self, method: &str, path: &str) -> Message {
        let mut caller = Client::connect(self.console());
        caller.write(&format!("{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n"));
        let response = caller.read_response().expect("a response");
        assert!(caller.is_closed(), "the console serves one call per connection");
        response
    }

    /// Sends a call to the console, and returns the status of the response.
    pub fn console_status(&self, method: &str, path: &str) -> u16 {
        self.console_response(method, path).status()
    }

    /// The value of a series on the console's metrics page. The series is given with its labels, as on the
    /// page.
    pub fn metric(&self, series: &str) -> f64 {
        let text = self.console_response("GET", "/metrics").text();
        let value = text.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no {series} in\n{text}"))
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Returns whether a new client's readiness check (`/up`) fails.
    pub fn is_unready(&self) -> bool {
        let mut client = Client::connect(self.addr);
        client.call("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status() != 200
    }

    /// Replaces the configuration file, and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.dir.join("new.json"), config).expect("write succeeds");
        std::fs::rename(self.dir.join("new.json"), self.dir.join("config.json")).expect("rename the file");
        self.signal("-HUP");
    }

    /// Sends a signal to the process; `signal` is an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(sent.expect("run kill").success());
    }

    /// Waits until the process exits.
    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the gateway exits", || {
            status = self.child.try_wait().expect("wait for the process");
            status.is_some()
        });
        status.expect("exited above")
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

/// A client's connection.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("connect");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the socket option");
        Client(BufReader::new(stream))
    }

    pub fn write(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).expect("write succeeds");
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    /// Sends a request and reads the response. Reconnects once if the gateway has closed the idle connection
    /// meanwhile.
    pub fn call(&mut self, request: &str) -> Message {
        let addr = self.0.get_ref().peer_addr().expect("a connected socket");
        let written = self.0.get_mut().write_all(request.as_bytes());
        if let Some(response) = written.ok().and_then(|()| self.read_response()) {
            return response;
        }
        *self = Client::connect(addr);
        self.write(request);
        self.read_response().expect("a response")
    }

    /// Sends a request and reads the response on this connection, without reconnecting.
    pub fn call_on_this_connection(&mut self, request: &str) -> Message {
        self.write(request);
        self.read_response().expect("a response on the same connection")
    }

    /// Returns whether the gateway closes the connection without sending anything more.
    pub fn is_closed(&mut self) -> bool {
        let mut surplus = Vec::new();
        let end = self.0.read_to_end(&mut surplus);
        let is_closed = end.map_or_else(|e| e.kind() == std::io::ErrorKind::ConnectionReset, |_| true);
        is_closed && surplus.is_empty()
    }
}

const COMMON_HEADERS: &str = "Host: api.internal\r\nX-Contract: basico\r\nX-Client-Id: 00000000b4d65521\r\n\
                      X-Metering: units=2,spread=1,first=0\r\nX-Unknown: 1\r\n";

/// The trace id for a short name: the name's bytes in hexadecimal, padded to 16 digits.
pub fn trace_id(name: &str) -> String {
    format!("{:0>16}", name.bytes().map(|b| format!("{b:02x}")).collect::<String>())
}

/// A request of the idempotent class `saldo`; `wait` is the client's timeout in seconds.
pub fn saldo(id: &str, wait: &str) -> String {
    let id = trace_id(id);
    format!("GET /saldo?of={id} HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: saldo\r\nX-Expires-In: {wait}\r\n{COMMON_HEADERS}\r\n")
}

/// A request of the class `abono`, which is idempotent by key.
pub fn abono(id: &str, wait: &str, body: &str) -> String {
    let id = trace_id(id);
    format!(
        "POST /abono/new HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: abono\r\nX-Expires-In: {wait}\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n{COMMON_HEADERS}\r\n{body}",
        body.len()
    )
}

/// A request of the non-idempotent class `nomina` ([`GatewayProcess::with_non_idempotent_class`]).
pub fn nomina(id: &str, wait: &str, body: &str) -> String {
    abono(id, wait, body).replace("abono", "nomina")
}

/// Returns the configuration unchanged.
pub fn unchanged(config: String) -> String {
    config
}
