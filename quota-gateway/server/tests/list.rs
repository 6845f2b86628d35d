//! The gateway on the project's own list service: servers join, drain and leave, and the service dies, while requests flow.

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

/// The service's program, built beside the gateway's.
fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let here = Path::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway")).parent().expect("a folder");
        let mut build = Command::new(env!("CARGO"));
        build
            .args(["build", "--quiet", "--locked", "-p", "marblecroft-discovery"])
            .current_dir(env!("CARGO_MANIFEST_DIR"));
        if here.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().expect("cargo runs").success());
        here.join("marblecroft-discovery")
    })
}

struct List {
    child: Child,
    addr: SocketAddr,
    folder: PathBuf,
    port: Option<Port>,
}

impl List {
    /// At a port that a former one had, or any: the gateway must know it before the service listens.
    fn start(folder: &Path, port: Port) -> List {
        let listen = port.addr;
        let file = folder.join("list.json");
        let text = format!(r#"{{"listen":"{listen}","data":{:?}}}"#, folder.join("data"));
        std::fs::write(&file, text).expect("written");
        let child = Command::new(program()).arg(&file).stderr(Stdio::null()).spawn().expect("it starts");
        let list = List { child, addr: listen, folder: folder.to_owned(), port: Some(port) };
        until("it listens", || std::net::TcpStream::connect(listen).is_ok());
        list
    }

    fn call(&self, path: &str, body: &str) -> Message {
        let mut caller = Client::connect(self.addr);
        caller.write(&format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        caller.answer().expect("an answer")
    }

    fn register(&self, stub: &Stub, lease: &str) {
        let body = format!(
            r#"{{"id":"s-{}","addr":"{}","zone":"sala-a","kind":"std-2c"{lease}}}"#,
            stub.addr.port(),
            stub.addr
        );
        assert_eq!(self.call("/discovery/register", &body).status(), 200);
    }

    fn change(&self, path: &str, stub: &Stub) {
        assert_eq!(self.call(path, &format!(r#"{{"id":"s-{}"}}"#, stub.addr.port())).status(), 200);
    }

    /// Kills it; where it was, to be started again.
    fn kill(mut self) -> (PathBuf, Port) {
        self.child.kill().expect("it ran");
        self.child.wait().expect("waited for");
        (self.folder.clone(), self.port.take().expect("held since it started"))
    }
}

impl Drop for List {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Requests one after another until told to stop; how many were answered, and what was not served.
fn flow(addr: SocketAddr, stop: Arc<AtomicBool>) -> thread::JoinHandle<(usize, Vec<String>)> {
    thread::spawn(move || {
        let mut client = Client::connect(addr);
        let (mut asked, mut wrong) = (0, Vec::new());
        // Bounded by the test's own end, and in any case.
        while !stop.load(Ordering::SeqCst) && asked < 20_000 {
            let answer = client.ask(&saldo(&format!("{asked:x}"), "3"));
            if answer.status() != 200 && wrong.len() < 10 {
                wrong.push(format!("request {asked}: {} {}", answer.status(), answer.text()));
            }
            asked += 1;
            thread::sleep(Duration::from_millis(1));
        }
        (asked, wrong)
    })
}

#[test]
fn requests_succeed_while_servers_change_and_the_discovery_service_fails() {
    let folder = folder();
    let stubs: Vec<Stub> = (0..4).map(|_| Stub::start(|_| ok("served"))).collect();
    let list = List::start(&folder, Port::held());
    list.register(&stubs[0], "");
    list.register(&stubs[1], "");
    // Servers that register have just started; these are warm at once, so that no request is held back from them.
    let settings =
        config("127.0.0.1:0", list.addr, None).replace(r#""RampTime":14000000000"#, r#""RampTime":1000000"#);
    let gateway = Running::start(&settings);
    until("it is ready", || !gateway.client_is_refused());
    let stop = Arc::new(AtomicBool::new(false));
    let flowing = flow(gateway.addr, stop.clone());
    let asked = |stub: &Stub| stub.requests();

    // One joins, and is asked.
    list.register(&stubs[2], "");
    until("the third is asked", || asked(&stubs[2]) > 0);
    // One drains: the gateway is told after the 20 ms for which changes are gathered, and half a second later nothing new comes.
    list.change("/discovery/drain", &stubs[0]);
    thread::sleep(Duration::from_millis(550));
    let before = asked(&stubs[0]);
    until("others are asked", || asked(&stubs[1]) > 0);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(asked(&stubs[0]), before, "what drains gets nothing new");

    // The service is killed: the old list stands.
    let (place, port) = list.kill();
    let served = asked(&stubs[1]) + asked(&stubs[2]);
    until("requests go on", || asked(&stubs[1]) + asked(&stubs[2]) > served + 100);
    assert_eq!(asked(&stubs[0]), before);
    // It comes back with what it knew, and goes on.
    let list = List::start(&place, port);
    list.register(&stubs[3], r#","lease_ms":1000"#);
    until("the fourth is asked", || asked(&stubs[3]) > 0);
    assert_eq!(asked(&stubs[0]), before, "it drains still");
    // Its lease ends unrenewed, and it is gone.
    let ended = Instant::now();
    until("its lease has ended", || {
        list.call("/discovery/show", &format!(r#"{{"id":"s-{}"}}"#, stubs[3].addr.port())).status() == 404
    });
    assert!(ended.elapsed() < LONG);
    thread::sleep(Duration::from_millis(1000));
    let before = asked(&stubs[3]);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(asked(&stubs[3]), before);

    list.change("/discovery/deregister", &stubs[1]);
    stop.store(true, Ordering::SeqCst);
    let (asked, wrong) = flowing.join().expect("no panic");
    assert!(asked > 500 && wrong.is_empty(), "{asked} asked: {wrong:?}");
    drop(std::fs::remove_dir_all(folder));
}

/// A configuration that says that discovery is the project's own service.
fn with_service(config: String, fields: &str) -> String {
    config.replace(r#""settings":"#, &format!(r#""list_service":{{{fields}}},"settings":"#))
}

#[test]
fn the_watch_fails_over_to_another_discovery_address() {
    let folder = folder();
    let stubs = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let list = List::start(&folder, Port::held());
    list.register(&stubs[0], "");
    // The first address refuses connections.
    let nobody = Port::held();
    let settings = config("127.0.0.1:0", nobody.addr, None)
        .replace(r#""RampTime":14000000000"#, r#""RampTime":1000000"#);
    let settings = with_service(settings, &format!(r#""others":["{}"]"#, list.addr));
    let gateway = Running::start_with("exec \"$0\"", &settings, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    until("it is ready", || !gateway.client_is_refused());
    assert_eq!(gateway.client().ask(&saldo("f1", "3")).text(), "a");
    assert!(gateway.metric("marblecroft_list_age_seconds") < LONG.as_secs_f64());
    // Its watch goes on: what changes is told without another whole list.
    list.change("/discovery/deregister", &stubs[0]);
    list.register(&stubs[1], "");
    let mut client = gateway.client();
    until("the change is followed", || client.ask(&saldo("f2", "3")).text() == "b");
    // Away for a while, and back with what it held.
    let (place, port) = list.kill();
    let asked = stubs[1].requests();
    until("the old list stands", || {
        client.ask(&saldo("f3", "3"));
        stubs[1].requests() > asked + 20
    });
    let _list = List::start(&place, port);
    until("it is heard of again", || gateway.metric("marblecroft_list_age_seconds") < 1.0);
    assert_eq!(client.ask(&saldo("f4", "3")).text(), "b");
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn a_sudden_loss_of_most_servers_is_delayed_if_configured() {
    let stubs = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b")), Stub::start(|_| ok("c"))];
    let agent = Agent::start();
    let settings = with_service(config("127.0.0.1:0", agent.stub.addr, None), r#""missing_hold_ms":1500"#);
    let gateway = Running::start_with("exec \"$0\"", &settings, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    agent.tell(ok(&list(
        1,
        true,
        &[(&stubs[0], "SERVING"), (&stubs[1], "SERVING"), (&stubs[2], "DRAINING")],
    )));
    agent.watched(1);
    agent.tell(ok(&list(2, true, &[])));
    agent.watched(2);
    let mut client = gateway.client();
    assert_eq!(client.ask(&saldo("m1", "3")).status(), 200, "they are suspects, and serve");
    assert_eq!(stubs[2].requests(), 0, "one that drained is no suspect");
    assert_eq!(gateway.metric("marblecroft_list_suspects"), 2.0);
    // Said to be gone, one is at once.
    agent.tell(ok(&list(3, false, &[(&stubs[0], "DELETED")])));
    agent.watched(3);
    for n in 0..5 {
        assert_eq!(client.ask(&saldo(&format!("m2{n}"), "3")).text(), "b");
    }
    // Nothing more is told of the other, and its time ends.
    agent.tell(ok(&list(3, false, &[])));
    until("it is given up", || {
        agent.tell(ok(&list(3, false, &[])));
        gateway.metric("marblecroft_list_suspects") == 0.0
    });
    assert_eq!(client.ask(&saldo("m3", "3")).status(), 503, "no server is left");
}

#[test]
fn an_invalid_discovery_service_configuration_aborts_the_start() {
    let agent = "127.0.0.1:1".parse().unwrap();
    for fields in
        [r#""others":["x"]"#, r#""missing_share":2"#, r#""missing_hold_ms":99999999"#, r#""more":1"#]
    {
        let folder = folder();
        let file = folder.join("config.json");
        std::fs::write(&file, with_service(config("127.0.0.1:0", agent, None), fields)).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway"));
        for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE"] {
            command.env_remove(name);
        }
        let output = command.env("RELAY_CONFIG", &file).output().expect("it runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), errors.lines().count()), (Some(2), 1), "{fields}: {errors}");
        assert!(errors.contains("list_service"), "{errors}");
        drop(std::fs::remove_dir_all(folder));
    }
}
