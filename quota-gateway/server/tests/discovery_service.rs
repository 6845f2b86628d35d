//! The gateway with the project's own discovery service: servers join, drain and leave, and the service
//! fails, while clients send requests.

mod common;

use common::*;
use marblecroft_test_support::Port;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// The discovery service's executable, which is built into the gateway's target directory.
fn discovery_program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let target_dir =
            Path::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway")).parent().expect("a directory");
        let mut build = Command::new(env!("CARGO"));
        build
            .args(["build", "--quiet", "--locked", "-p", "marblecroft-discovery"])
            .current_dir(env!("CARGO_MANIFEST_DIR"));
        if target_dir.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().expect("run cargo").success());
        target_dir.join("marblecroft-discovery")
    })
}

/// A running discovery service, which is killed when dropped.
struct DiscoveryService {
    child: Child,
    addr: SocketAddr,
    dir: PathBuf,
    port: Option<Port>,
}

impl DiscoveryService {
    /// Starts the service on a reserved port, because the gateway's configuration names the port before the
    /// service listens. A restarted service gets the port and the directory of its predecessor.
    fn start(dir: &Path, port: Port) -> DiscoveryService {
        let listen = port.addr;
        let file = dir.join("list.json");
        let text = format!(r#"{{"listen":"{listen}","data":{:?}}}"#, dir.join("data"));
        std::fs::write(&file, text).expect("write succeeds");
        let child = Command::new(discovery_program())
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .expect("start the service");
        let service = DiscoveryService { child, addr: listen, dir: dir.to_owned(), port: Some(port) };
        until("the service listens", || std::net::TcpStream::connect(listen).is_ok());
        service
    }

    fn call(&self, path: &str, body: &str) -> Message {
        let mut caller = Client::connect(self.addr);
        caller.write(&format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        caller.read_response().expect("a response")
    }

    /// Registers a server; `lease` is a further JSON field, or empty.
    fn register(&self, stub: &Stub, lease: &str) {
        let body = format!(
            r#"{{"id":"s-{}","addr":"{}","zone":"sala-a","kind":"std-2c"{lease}}}"#,
            stub.addr.port(),
            stub.addr
        );
        assert_eq!(self.call("/discovery/register", &body).status(), 200);
    }

    /// Calls a path whose body is only a server's id.
    fn call_for_server(&self, path: &str, stub: &Stub) {
        assert_eq!(self.call(path, &format!(r#"{{"id":"s-{}"}}"#, stub.addr.port())).status(), 200);
    }

    /// Kills the service; returns its directory and port for a restart.
    fn kill(mut self) -> (PathBuf, Port) {
        self.child.kill().expect("kill the service");
        self.child.wait().expect("wait for the process");
        (self.dir.clone(), self.port.take().expect("reserved since the start"))
    }
}

impl Drop for DiscoveryService {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Sends requests one after another until `stop` is set. Returns their number, and the first responses other
/// than 200.
fn send_requests(addr: SocketAddr, stop: Arc<AtomicBool>) -> thread::JoinHandle<(usize, Vec<String>)> {
    thread::spawn(move || {
        let mut client = Client::connect(addr);
        let (mut sent, mut failures) = (0, Vec::new());
        // The limit ends the thread if the test panics.
        while !stop.load(Ordering::SeqCst) && sent < 20_000 {
            let response = client.call(&saldo(&format!("{sent:x}"), "3"));
            if response.status() != 200 && failures.len() < 10 {
                failures.push(format!("request {sent}: {} {}", response.status(), response.text()));
            }
            sent += 1;
            thread::sleep(Duration::from_millis(1));
        }
        (sent, failures)
    })
}

#[test]
fn requests_succeed_while_servers_change_and_the_discovery_service_fails() {
    let dir = temp_dir();
    let stubs: Vec<Stub> = (0..4).map(|_| Stub::start(|_| ok("served"))).collect();
    let service = DiscoveryService::start(&dir, Port::reserve());
    service.register(&stubs[0], "");
    service.register(&stubs[1], "");
    // The slow start is short, so that newly registered servers get requests at once.
    let settings = config("127.0.0.1:0", service.addr, None)
        .replace(r#""RampTime":14000000000"#, r#""RampTime":1000000"#);
    let gateway = GatewayProcess::start(&settings);
    until("the gateway is ready", || !gateway.is_unready());
    let stop = Arc::new(AtomicBool::new(false));
    let sender = send_requests(gateway.addr, stop.clone());
    let requests = |stub: &Stub| stub.requests();

    // A server joins, and gets requests.
    service.register(&stubs[2], "");
    until("the third server gets requests", || requests(&stubs[2]) > 0);
    // A server drains: the service publishes this after the 20 ms for which it gathers changes, and from half
    // a second later the server gets no new requests.
    service.call_for_server("/discovery/drain", &stubs[0]);
    thread::sleep(Duration::from_millis(550));
    let before = requests(&stubs[0]);
    until("another server gets requests", || requests(&stubs[1]) > 0);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(requests(&stubs[0]), before, "a draining server gets no new requests");

    // The service is killed: the old list stays in force.
    let (dir, port) = service.kill();
    let served = requests(&stubs[1]) + requests(&stubs[2]);
    until("requests are still served", || requests(&stubs[1]) + requests(&stubs[2]) > served + 100);
    assert_eq!(requests(&stubs[0]), before);
    // The service restarts with its stored list.
    let service = DiscoveryService::start(&dir, port);
    service.register(&stubs[3], r#","lease_ms":1000"#);
    until("the fourth server gets requests", || requests(&stubs[3]) > 0);
    assert_eq!(requests(&stubs[0]), before, "the server is still draining");
    // Its lease is not renewed and expires, which removes the server.
    let start = Instant::now();
    until("its lease has expired", || {
        service.call("/discovery/show", &format!(r#"{{"id":"s-{}"}}"#, stubs[3].addr.port())).status() == 404
    });
    assert!(start.elapsed() < WAIT_TIMEOUT);
    thread::sleep(Duration::from_millis(1000));
    let before = requests(&stubs[3]);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(requests(&stubs[3]), before);

    service.call_for_server("/discovery/deregister", &stubs[1]);
    stop.store(true, Ordering::SeqCst);
    let (sent, failures) = sender.join().expect("no panic");
    assert!(sent > 500 && failures.is_empty(), "{sent} sent: {failures:?}");
    drop(std::fs::remove_dir_all(dir));
}

/// Adds the settings for the project's own discovery service, with these JSON fields, to a configuration.
fn with_discovery_service(config: String, fields: &str) -> String {
    config.replace(r#""settings":"#, &format!(r#""list_service":{{{fields}}},"settings":"#))
}

#[test]
fn the_watch_fails_over_to_another_discovery_address() {
    let dir = temp_dir();
    let stubs = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let service = DiscoveryService::start(&dir, Port::reserve());
    service.register(&stubs[0], "");
    // The first address refuses connections.
    let refusing = Port::reserve();
    let settings = config("127.0.0.1:0", refusing.addr, None)
        .replace(r#""RampTime":14000000000"#, r#""RampTime":1000000"#);
    let settings = with_discovery_service(settings, &format!(r#""others":["{}"]"#, service.addr));
    let gateway = GatewayProcess::start_with("exec \"$0\"", &settings, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    until("the gateway is ready", || !gateway.is_unready());
    assert_eq!(gateway.client().call(&saldo("f1", "3")).text(), "a");
    assert!(gateway.metric("marblecroft_list_age_seconds") < WAIT_TIMEOUT.as_secs_f64());
    // The watch at the second address continues: changes arrive without another full list.
    service.call_for_server("/discovery/deregister", &stubs[0]);
    service.register(&stubs[1], "");
    let mut client = gateway.client();
    until("the change is applied", || client.call(&saldo("f2", "3")).text() == "b");
    // The service is away for a while, and restarts with its stored list.
    let (dir, port) = service.kill();
    let before = stubs[1].requests();
    until("requests are served by the old list", || {
        client.call(&saldo("f3", "3"));
        stubs[1].requests() > before + 20
    });
    let _service = DiscoveryService::start(&dir, port);
    until("the list is up to date again", || gateway.metric("marblecroft_list_age_seconds") < 1.0);
    assert_eq!(client.call(&saldo("f4", "3")).text(), "b");
    drop(std::fs::remove_dir_all(dir));
}

#[test]
fn the_removal_of_most_servers_at_once_is_delayed_if_configured() {
    let stubs = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b")), Stub::start(|_| ok("c"))];
    let agent = Agent::start();
    let settings =
        with_discovery_service(config("127.0.0.1:0", agent.stub.addr, None), r#""missing_hold_ms":1500"#);
    let gateway = GatewayProcess::start_with("exec \"$0\"", &settings, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    agent.queue_reply(ok(&endpoint_list(
        1,
        true,
        &[(&stubs[0], "SERVING"), (&stubs[1], "SERVING"), (&stubs[2], "DRAINING")],
    )));
    agent.wait_for_watch(1);
    agent.queue_reply(ok(&endpoint_list(2, true, &[])));
    agent.wait_for_watch(2);
    let mut client = gateway.client();
    assert_eq!(
        client.call(&saldo("m1", "3")).status(),
        200,
        "missing servers keep serving until they are removed"
    );
    assert_eq!(stubs[2].requests(), 0, "a drained server that is missing is removed at once");
    assert_eq!(gateway.metric("marblecroft_list_suspects"), 2.0);
    // A server that is listed as deleted is removed at once.
    agent.queue_reply(ok(&endpoint_list(3, false, &[(&stubs[0], "DELETED")])));
    agent.wait_for_watch(3);
    for n in 0..5 {
        assert_eq!(client.call(&saldo(&format!("m2{n}"), "3")).text(), "b");
    }
    // The other one is not listed again, and is removed after the removal delay.
    agent.queue_reply(ok(&endpoint_list(3, false, &[])));
    until("the missing server is removed", || {
        agent.queue_reply(ok(&endpoint_list(3, false, &[])));
        gateway.metric("marblecroft_list_suspects") == 0.0
    });
    assert_eq!(client.call(&saldo("m3", "3")).status(), 503, "no server is left");
}

#[test]
fn an_invalid_discovery_service_configuration_aborts_the_start() {
    let agent = "127.0.0.1:1".parse().unwrap();
    for fields in
        [r#""others":["x"]"#, r#""missing_share":2"#, r#""missing_hold_ms":99999999"#, r#""more":1"#]
    {
        let dir = temp_dir();
        let file = dir.join("config.json");
        std::fs::write(&file, with_discovery_service(config("127.0.0.1:0", agent, None), fields))
            .expect("write succeeds");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway"));
        for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE"] {
            command.env_remove(name);
        }
        let output = command.env("RELAY_CONFIG", &file).output().expect("run the gateway");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), errors.lines().count()), (Some(2), 1), "{fields}: {errors}");
        assert!(errors.contains("list_service"), "{errors}");
        drop(std::fs::remove_dir_all(dir));
    }
}
