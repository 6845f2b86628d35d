//! A new process beside the old one, on the listening socket that both inherit.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// What the processes of one gateway share.
struct Platform {
    listener: TcpListener,
    shared: PathBuf,
    config: String,
}

impl Platform {
    fn new(servers: &[&Stub]) -> Platform {
        let (listener, agent) = (TcpListener::bind("127.0.0.1:0").expect("a port"), Agent::start());
        let known = list(1, true, &serving(servers));
        let addr = listener.local_addr().expect("bound").to_string();
        let config = config(&addr, agent.stub.addr, Some(&known));
        Platform { listener, shared: folder(), config }
    }

    fn start(&self) -> Running {
        Running::inheriting(&self.listener, &self.shared, &self.config)
    }

    /// Where the processes meet.
    fn meeting(&self) -> PathBuf {
        self.shared.join(format!("mapledeck-{}.sock", self.listener.local_addr().expect("bound").port()))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.shared));
    }
}

fn disable(stub: &Stub) -> String {
    format!("/pay-servers/disable?name=s-{}", stub.addr.port())
}

#[test]
fn the_new_process_continues_from_the_old_state_without_loss() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| Reply::Silence)];
    let platform = Platform::new(&[&servers[0], &servers[1]]);
    let mut old = platform.start();
    assert_eq!(old.call("PUT", &disable(&servers[0])), 200);
    let (mut taken, mut kept) = (old.client(), old.client());
    assert_eq!(kept.ask_here(UP).status(), 200);
    taken.write(&saldo("t", "3"));
    until("the server has it", || servers[1].requests() == 1);

    let mut new = platform.start();
    until("the new one is ready", || new.call("GET", "/ready") == 200);
    assert!(new.log().contains("takes over"), "{}", new.log());
    old.terminate();
    until("the old one has heard of it", || old.call("GET", "/ready") == 503);
    // In hand, on a connection that was kept, and on many new ones: all are served.
    servers[1].speak(&ok("b"));
    servers[1].act(|_| ok("b"));
    let answer = taken.answer().expect("what was taken is answered");
    assert_eq!((answer.text().as_str(), answer.header("connection")), ("b", "close"));
    let answer = kept.ask_here(&saldo("k", "3"));
    assert_eq!((answer.text().as_str(), answer.header("connection")), ("b", "close"));
    for n in 0..20 {
        let answer = new.client().ask_here(&saldo(&format!("n{n}"), "3"));
        assert_eq!((answer.status(), answer.text().as_str()), (200, "b"), "left out in the new one too");
        assert_eq!(new.client().ask_here(UP).status(), 200, "the gateway is up all along");
    }
    assert!(old.exit().success());
    assert_eq!(new.client().ask_here(&saldo("z", "3")).text(), "b");
    assert_eq!(servers[0].requests(), 0);
    // And once more.
    let next = platform.start();
    until("the next one is ready", || next.call("GET", "/ready") == 200);
    new.terminate();
    assert!(new.exit().success());
    assert_eq!(next.client().ask_here(&saldo("y", "3")).text(), "b");
    assert_eq!(servers[0].requests(), 0);
}

#[test]
fn changes_reach_both_processes_during_an_upgrade() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let platform = Platform::new(&[&servers[0], &servers[1]]);
    let old = platform.start();
    // Its connection is the old one's for as long as it lasts.
    let mut of_old = old.client();
    assert_eq!(of_old.ask_here(UP).status(), 200);
    let mut new = platform.start();
    until("the new one is ready", || new.call("GET", "/ready") == 200);
    assert_eq!(new.call("PUT", &disable(&servers[0])), 200);
    until("the old one has heard", || old.log().contains("Disable"));
    for n in 0..10 {
        assert_eq!(of_old.ask_here(&saldo(&format!("d{n}"), "3")).text(), "b");
    }
    assert_eq!(old.call("PUT", "/drain"), 200);
    until("the new one has heard", || new.log().contains("Drain"));
    for _ in 0..10 {
        assert_eq!(new.client().ask(UP).status(), 503, "whichever of them answers");
    }
    assert_eq!(new.call("PUT", "/undrain"), 200);
    until("the old one has heard", || old.log().contains("Undrain"));
    for _ in 0..10 {
        assert_eq!(new.client().ask(UP).status(), 200);
    }
    // The new one dies: the old one serves on, alone.
    new.child.kill().expect("killed");
    new.exit();
    until("the old one is alone", || old.log().contains("is gone"));
    assert_eq!(old.client().ask(&saldo("e", "3")).text(), "b");
}

#[test]
fn a_drained_gateway_stays_drained_across_an_upgrade() {
    let server = Stub::start(|_| ok("a"));
    let platform = Platform::new(&[&server]);
    let mut old = platform.start();
    assert_eq!(old.call("PUT", "/drain"), 200);
    let new = platform.start();
    until("the new one is ready", || new.call("GET", "/ready") == 200);
    old.terminate();
    assert!(old.exit().success());
    assert_eq!(new.client().ask(UP).status(), 503);
    assert_eq!(new.call("PUT", "/undrain"), 200);
    assert_eq!(new.client().ask(UP).status(), 200);
}

#[test]
fn both_processes_share_one_quota() {
    let server = Stub::start(|_| ok("a"));
    let mut platform = Platform::new(&[&server]);
    // Room for six tries of two units, of which the last needs what the dearer class would.
    platform.config =
        platform.config.replace(r#""Rate":0.001,"Burst":0.001"#, r#""Rate":0.001,"Burst":13.5"#);
    let few = |name: String| saldo(&name, "3").replace("X-Contract: basico", "X-Contract: nada");
    let mut old = platform.start();
    let mut of_old = old.client();
    for n in 0..2 {
        assert_eq!(of_old.ask_here(&few(format!("o{n}"))).status(), 200);
    }
    let new = platform.start();
    until("the new one is ready", || new.call("GET", "/ready") == 200);
    // What the old one still sends on is the new one's to count as well.
    for n in 2..4 {
        assert_eq!(of_old.ask_here(&few(format!("o{n}"))).status(), 200);
    }
    old.terminate();
    assert!(old.exit().success());
    let mut of_new = new.client();
    let statuses: Vec<u16> = (0..6).map(|n| of_new.ask(&few(format!("n{n}"))).status()).collect();
    assert_eq!(statuses, [200, 200, 503, 503, 503, 503]);
    assert_eq!(server.requests(), 6);
}

/// What the living process at this place hands over, as another one would ask for it.
fn estate(place: &Path) -> serde_json::Value {
    let mut stream = UnixStream::connect(place).expect("connected");
    stream.write_all(b"1\n").expect("written");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("an estate");
    serde_json::from_str(&line).expect("JSON")
}

#[test]
fn a_wall_clock_change_does_not_shift_the_state_taken_over() {
    const HOUR: u64 = 3_600_000_000_000;
    let server = Stub::start(|_| ok("a"));
    let platform = Platform::new(&[&server]);
    let old = platform.start();
    assert_eq!(old.call("PUT", &disable(&server)), 200);
    let told = estate(&platform.meeting());
    drop(old);
    // The same from a process whose clock began when the wall clock was an hour ahead: all its instants are later.
    let later = |nanos: &serde_json::Value| nanos.as_u64().expect("an instant") + HOUR;
    let mut ahead = told.clone();
    ahead["origin"] = later(&told["origin"]).into();
    ahead["memory"]["started"] = later(&told["memory"]["started"]).into();
    let (origin, started) = (ahead["origin"].clone(), ahead["memory"]["started"].clone());
    drop(std::fs::remove_file(platform.meeting()));
    let listener = UnixListener::bind(platform.meeting()).expect("bound");
    let (done, held) = std::sync::mpsc::channel::<()>();
    let living = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut hello = String::new();
        BufReader::new(stream.try_clone().expect("a copy")).read_line(&mut hello).expect("its version");
        stream.write_all(format!("{ahead}\n").as_bytes()).expect("written");
        assert!(held.recv().is_err(), "the test is over");
    });
    let new = platform.start();
    assert!(new.log().contains("takes over"), "{}", new.log());
    let told = estate(&platform.meeting());
    assert_eq!(told["origin"], origin, "it goes on with the clock that the instants are on");
    assert_eq!(told["memory"]["started"], started);
    drop(done);
    living.join().expect("ended");
}

#[test]
fn an_upgrade_leaves_a_retry_with_the_old_process_and_its_budget() {
    let servers = [Stub::start(|_| Reply::Silence), Stub::start(|_| Reply::Silence)];
    let platform = Platform::new(&[&servers[0], &servers[1]]);
    let mut old = platform.start();
    let mut client = old.client();
    client.write(&saldo("m", "3.9"));
    let asked = |stub: &Stub| stub.requests() == 1;
    until("a server has it", || servers.iter().any(asked));
    let (first, second) = if asked(&servers[0]) { (0, 1) } else { (1, 0) };
    let new = platform.start();
    until("the new one is ready", || new.call("GET", "/ready") == 200);
    old.terminate();
    servers[first].speak(&Reply::Answer(500, "", String::new()));
    until("the other server has it", || asked(&servers[second]));
    let told = |stub: &Stub| stub.last().header("x-expires-in").parse::<f64>().expect("seconds");
    assert!(told(&servers[second]) < told(&servers[first]), "no time was gained");
    servers[second].speak(&ok("second"));
    assert_eq!(client.answer().expect("an answer").text(), "second");
    assert!(old.exit().success());
    assert_eq!(servers[first].requests() + servers[second].requests(), 2);
}

/// Starts a process where something else stands at the meeting place; it must serve all the same.
fn starts_afresh(prepare: impl FnOnce(&Path)) {
    let server = Stub::start(|_| ok("a"));
    let platform = Platform::new(&[&server]);
    prepare(&platform.meeting());
    let first = platform.start();
    until("it is ready", || first.call("GET", "/ready") == 200);
    assert!(!first.log().contains("takes over"), "{}", first.log());
    assert_eq!(first.client().ask(&saldo("f", "3")).text(), "a");
    // What stood there is no hindrance to the next one.
    let next = platform.start();
    assert!(next.log().contains("takes over"), "{}", next.log());
}

#[test]
fn a_stale_socket_means_a_fresh_start() {
    starts_afresh(|place| drop(UnixListener::bind(place).expect("bound")));
    starts_afresh(|place| std::fs::write(place, "old").expect("written"));
}

#[test]
fn a_malformed_or_missing_snapshot_means_a_fresh_start() {
    let other = |answer: Option<Vec<u8>>| {
        move |place: &Path| {
            let listener = UnixListener::bind(place).expect("bound");
            std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection");
                let mut hello = String::new();
                drop(BufReader::new(stream.try_clone().expect("a copy")).read_line(&mut hello));
                if let Some(answer) = answer {
                    drop(stream.write_all(&answer));
                } else {
                    std::thread::sleep(LONG);
                }
            });
        }
    };
    starts_afresh(other(Some(b"nonsense\n".to_vec())));
    starts_afresh(other(Some(br#"{"version":1,"ids":{}"#.to_vec())));
    starts_afresh(other(Some(br#"{"version":9,"ids":{},"draining":true,"memory":{}}"#.to_vec())));
    starts_afresh(other(Some(vec![b'x'; 8 << 20])));
    starts_afresh(other(None));
}

#[test]
fn a_descriptor_that_is_not_a_listening_socket_is_ignored() {
    let server = Stub::start(|_| ok("a"));
    let agent = Agent::start();
    let known = list(1, true, &serving(&[&server]));
    let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
    for fd in ["7", "2", "-1", "x", "4000000000"] {
        let gateway = Running::start_with("exec 7</dev/null; exec \"$0\"", &config, &[("RELAY_FD", fd)]);
        assert!(gateway.log().contains("RELAY_FD"), "{}", gateway.log());
        assert_eq!(gateway.client().ask(&saldo("i", "3")).text(), "a", "{fd}");
    }
}

#[test]
fn a_process_that_takes_over_no_endpoint_list_is_not_ready() {
    let mut platform = Platform::new(&[]);
    let agent = Agent::start();
    let addr = platform.listener.local_addr().expect("bound").to_string();
    platform.config = config(&addr, agent.stub.addr, None);
    let old = platform.start();
    assert_eq!(old.call("GET", "/ready"), 503);
    let new = platform.start();
    assert!(new.log().contains("takes over"), "{}", new.log());
    assert_eq!(new.call("GET", "/ready"), 503);
    // It asks by itself.
    agent.tell(ok(&list(1, true, &[])));
    until("it is ready", || new.call("GET", "/ready") == 200 || old.call("GET", "/ready") == 200);
}
