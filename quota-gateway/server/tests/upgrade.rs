//! Upgrades: a new process takes over from the old one, on the listening socket that both inherit.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

const UP_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// The listening socket, directory and configuration that the processes of one gateway share.
struct UpgradeSite {
    listener: TcpListener,
    shared: PathBuf,
    config: String,
}

impl UpgradeSite {
    fn new(servers: &[&Stub]) -> UpgradeSite {
        let (listener, agent) = (TcpListener::bind("127.0.0.1:0").expect("bind a port"), Agent::start());
        let known = endpoint_list(1, true, &serving(servers));
        let addr = listener.local_addr().expect("a bound socket").to_string();
        let config = config(&addr, agent.stub.addr, Some(&known));
        UpgradeSite { listener, shared: temp_dir(), config }
    }

    fn start(&self) -> GatewayProcess {
        GatewayProcess::inheriting(&self.listener, &self.shared, &self.config)
    }

    /// The path of the handover socket.
    fn socket_path(&self) -> PathBuf {
        self.shared
            .join(format!("mapledeck-{}.sock", self.listener.local_addr().expect("a bound socket").port()))
    }
}

impl Drop for UpgradeSite {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.shared));
    }
}

fn disable(stub: &Stub) -> String {
    format!("/pay-servers/disable?name=s-{}", stub.addr.port())
}

#[test]
fn the_new_process_continues_from_the_old_state_without_loss() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| Reply::NoResponse)];
    let site = UpgradeSite::new(&[&servers[0], &servers[1]]);
    let mut old = site.start();
    assert_eq!(old.console_status("PUT", &disable(&servers[0])), 200);
    let (mut in_flight, mut reused) = (old.client(), old.client());
    assert_eq!(reused.call_on_this_connection(UP_REQUEST).status(), 200);
    in_flight.write(&saldo("t", "3"));
    until("the server has the request", || servers[1].requests() == 1);

    let mut new = site.start();
    until("the new process is ready", || new.console_status("GET", "/ready") == 200);
    assert!(new.log().contains("takes over"), "{}", new.log());
    old.terminate();
    until("the old process is no longer ready", || old.console_status("GET", "/ready") == 503);
    // The request in flight, one on an open connection, and those on many new connections are all served.
    servers[1].respond_to_pending(&ok("b"));
    servers[1].set_handler(|_| ok("b"));
    let response = in_flight.read_response().expect("the request in flight is answered");
    assert_eq!((response.text().as_str(), response.header("connection")), ("b", "close"));
    let response = reused.call_on_this_connection(&saldo("k", "3"));
    assert_eq!((response.text().as_str(), response.header("connection")), ("b", "close"));
    for n in 0..20 {
        let response = new.client().call_on_this_connection(&saldo(&format!("n{n}"), "3"));
        assert_eq!(
            (response.status(), response.text().as_str()),
            (200, "b"),
            "the server is disabled in the new process too"
        );
        assert_eq!(
            new.client().call_on_this_connection(UP_REQUEST).status(),
            200,
            "the gateway is up all the time"
        );
    }
    assert!(old.exit().success());
    assert_eq!(new.client().call_on_this_connection(&saldo("z", "3")).text(), "b");
    assert_eq!(servers[0].requests(), 0);
    // A second upgrade.
    let next = site.start();
    until("the next process is ready", || next.console_status("GET", "/ready") == 200);
    new.terminate();
    assert!(new.exit().success());
    assert_eq!(next.client().call_on_this_connection(&saldo("y", "3")).text(), "b");
    assert_eq!(servers[0].requests(), 0);
}

#[test]
fn changes_reach_both_processes_during_an_upgrade() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let site = UpgradeSite::new(&[&servers[0], &servers[1]]);
    let old = site.start();
    // A connection that the old process serves until it closes.
    let mut old_client = old.client();
    assert_eq!(old_client.call_on_this_connection(UP_REQUEST).status(), 200);
    let mut new = site.start();
    until("the new process is ready", || new.console_status("GET", "/ready") == 200);
    assert_eq!(new.console_status("PUT", &disable(&servers[0])), 200);
    until("the old process has applied the command", || old.log().contains("Disable"));
    for n in 0..10 {
        assert_eq!(old_client.call_on_this_connection(&saldo(&format!("d{n}"), "3")).text(), "b");
    }
    assert_eq!(old.console_status("PUT", "/drain"), 200);
    until("the new process has applied the command", || new.log().contains("Drain"));
    for _ in 0..10 {
        assert_eq!(new.client().call(UP_REQUEST).status(), 503, "both processes report the drain");
    }
    assert_eq!(new.console_status("PUT", "/undrain"), 200);
    until("the old process has applied the command", || old.log().contains("Undrain"));
    for _ in 0..10 {
        assert_eq!(new.client().call(UP_REQUEST).status(), 200);
    }
    // The new process is killed: the old one continues alone.
    new.child.kill().expect("kill the gateway");
    new.exit();
    until("the old process detects the exit", || old.log().contains("is gone"));
    assert_eq!(old.client().call(&saldo("e", "3")).text(), "b");
}

#[test]
fn a_drained_gateway_stays_drained_across_an_upgrade() {
    let server = Stub::start(|_| ok("a"));
    let site = UpgradeSite::new(&[&server]);
    let mut old = site.start();
    assert_eq!(old.console_status("PUT", "/drain"), 200);
    let new = site.start();
    until("the new process is ready", || new.console_status("GET", "/ready") == 200);
    old.terminate();
    assert!(old.exit().success());
    assert_eq!(new.client().call(UP_REQUEST).status(), 503);
    assert_eq!(new.console_status("PUT", "/undrain"), 200);
    assert_eq!(new.client().call(UP_REQUEST).status(), 200);
}

#[test]
fn both_processes_share_one_quota() {
    let server = Stub::start(|_| ok("a"));
    let mut site = UpgradeSite::new(&[&server]);
    // A quota for six requests of two units each. A request is admitted only if the bucket holds its units
    // scaled to the value of the most valuable class, so that the sixth one still needs more than two units.
    site.config = site.config.replace(r#""Rate":0.001,"Burst":0.001"#, r#""Rate":0.001,"Burst":13.5"#);
    let limited = |name: String| saldo(&name, "3").replace("X-Contract: basico", "X-Contract: nada");
    let mut old = site.start();
    let mut old_client = old.client();
    for n in 0..2 {
        assert_eq!(old_client.call_on_this_connection(&limited(format!("o{n}"))).status(), 200);
    }
    let new = site.start();
    until("the new process is ready", || new.console_status("GET", "/ready") == 200);
    // The new process also counts the requests that the old one still sends.
    for n in 2..4 {
        assert_eq!(old_client.call_on_this_connection(&limited(format!("o{n}"))).status(), 200);
    }
    old.terminate();
    assert!(old.exit().success());
    let mut new_client = new.client();
    let statuses: Vec<u16> = (0..6).map(|n| new_client.call(&limited(format!("n{n}"))).status()).collect();
    assert_eq!(statuses, [200, 200, 503, 503, 503, 503]);
    assert_eq!(server.requests(), 6);
}

/// Requests the handover snapshot from the process at this socket, as a new process does.
fn fetch_snapshot(socket: &Path) -> serde_json::Value {
    let mut stream = UnixStream::connect(socket).expect("connect");
    stream.write_all(b"1\n").expect("write succeeds");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("a snapshot");
    serde_json::from_str(&line).expect("valid JSON")
}

#[test]
fn a_wall_clock_change_does_not_shift_the_state_taken_over() {
    const HOUR: u64 = 3_600_000_000_000;
    let server = Stub::start(|_| ok("a"));
    let site = UpgradeSite::new(&[&server]);
    let old = site.start();
    assert_eq!(old.console_status("PUT", &disable(&server)), 200);
    let snapshot = fetch_snapshot(&site.socket_path());
    drop(old);
    // The same snapshot from a process that started when the wall clock was an hour ahead: all its instants
    // are later.
    let later = |nanos: &serde_json::Value| nanos.as_u64().expect("an instant") + HOUR;
    let mut ahead = snapshot.clone();
    ahead["origin"] = later(&snapshot["origin"]).into();
    ahead["memory"]["started"] = later(&snapshot["memory"]["started"]).into();
    let (origin, started) = (ahead["origin"].clone(), ahead["memory"]["started"].clone());
    drop(std::fs::remove_file(site.socket_path()));
    let listener = UnixListener::bind(site.socket_path()).expect("bind the socket");
    let (done, is_done) = std::sync::mpsc::channel::<()>();
    let old_process = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut version = String::new();
        BufReader::new(stream.try_clone().expect("duplicate the socket"))
            .read_line(&mut version)
            .expect("the format version");
        stream.write_all(format!("{ahead}\n").as_bytes()).expect("write succeeds");
        assert!(is_done.recv().is_err(), "the sender is dropped at the end");
    });
    let new = site.start();
    assert!(new.log().contains("takes over"), "{}", new.log());
    let snapshot = fetch_snapshot(&site.socket_path());
    assert_eq!(snapshot["origin"], origin, "the clock's origin is taken over with the instants");
    assert_eq!(snapshot["memory"]["started"], started);
    drop(done);
    old_process.join().expect("the thread ends");
}

#[test]
fn a_retry_during_an_upgrade_stays_in_the_old_process_with_its_budget() {
    let servers = [Stub::start(|_| Reply::NoResponse), Stub::start(|_| Reply::NoResponse)];
    let site = UpgradeSite::new(&[&servers[0], &servers[1]]);
    let mut old = site.start();
    let mut client = old.client();
    client.write(&saldo("m", "3.9"));
    let has_request = |stub: &Stub| stub.requests() == 1;
    until("a server has the request", || servers.iter().any(has_request));
    let (first, second) = if has_request(&servers[0]) { (0, 1) } else { (1, 0) };
    let new = site.start();
    until("the new process is ready", || new.console_status("GET", "/ready") == 200);
    old.terminate();
    servers[first].respond_to_pending(&Reply::Respond(500, "", String::new()));
    until("the other server has the request", || has_request(&servers[second]));
    let remaining_time =
        |stub: &Stub| stub.last_request().header("x-expires-in").parse::<f64>().expect("a number of seconds");
    assert!(
        remaining_time(&servers[second]) < remaining_time(&servers[first]),
        "the time budget is not extended"
    );
    servers[second].respond_to_pending(&ok("second"));
    assert_eq!(client.read_response().expect("a response").text(), "second");
    assert!(old.exit().success());
    assert_eq!(servers[first].requests() + servers[second].requests(), 2);
}

/// Asserts that a process starts without a takeover and serves if the handover socket was prepared like this,
/// and that the next process takes over from it.
fn assert_fresh_start(prepare: impl FnOnce(&Path)) {
    let server = Stub::start(|_| ok("a"));
    let site = UpgradeSite::new(&[&server]);
    prepare(&site.socket_path());
    let first = site.start();
    until("the gateway is ready", || first.console_status("GET", "/ready") == 200);
    assert!(!first.log().contains("takes over"), "{}", first.log());
    assert_eq!(first.client().call(&saldo("f", "3")).text(), "a");
    // The next process can take over: the path was replaced by a working socket.
    let next = site.start();
    assert!(next.log().contains("takes over"), "{}", next.log());
}

#[test]
fn a_stale_socket_means_a_fresh_start() {
    assert_fresh_start(|path| drop(UnixListener::bind(path).expect("bind the socket")));
    assert_fresh_start(|path| std::fs::write(path, "old").expect("write succeeds"));
}

#[test]
fn a_malformed_or_missing_snapshot_means_a_fresh_start() {
    let old_process = |response: Option<Vec<u8>>| {
        move |path: &Path| {
            let listener = UnixListener::bind(path).expect("bind the socket");
            std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection");
                let mut version = String::new();
                drop(
                    BufReader::new(stream.try_clone().expect("duplicate the socket")).read_line(&mut version),
                );
                if let Some(response) = response {
                    drop(stream.write_all(&response));
                } else {
                    std::thread::sleep(WAIT_TIMEOUT);
                }
            });
        }
    };
    assert_fresh_start(old_process(Some(b"nonsense\n".to_vec())));
    assert_fresh_start(old_process(Some(br#"{"version":1,"ids":{}"#.to_vec())));
    assert_fresh_start(old_process(Some(br#"{"version":9,"ids":{},"draining":true,"memory":{}}"#.to_vec())));
    assert_fresh_start(old_process(Some(vec![b'x'; 8 << 20])));
    assert_fresh_start(old_process(None));
}

#[test]
fn a_descriptor_that_is_not_a_listening_socket_is_ignored() {
    let server = Stub::start(|_| ok("a"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
    for fd in ["7", "2", "-1", "x", "4000000000"] {
        let gateway =
            GatewayProcess::start_with("exec 7</dev/null; exec \"$0\"", &config, &[("RELAY_FD", fd)]);
        assert!(gateway.log().contains("RELAY_FD"), "{}", gateway.log());
        assert_eq!(gateway.client().call(&saldo("i", "3")).text(), "a", "{fd}");
    }
}

#[test]
fn a_process_that_takes_over_no_endpoint_list_is_not_ready() {
    let mut site = UpgradeSite::new(&[]);
    let agent = Agent::start();
    let addr = site.listener.local_addr().expect("a bound socket").to_string();
    site.config = config(&addr, agent.stub.addr, None);
    let old = site.start();
    assert_eq!(old.console_status("GET", "/ready"), 503);
    let new = site.start();
    assert!(new.log().contains("takes over"), "{}", new.log());
    assert_eq!(new.console_status("GET", "/ready"), 503);
    // The new process requests the list itself.
    agent.queue_reply(ok(&endpoint_list(1, true, &[])));
    until("the gateway is ready", || {
        new.console_status("GET", "/ready") == 200 || old.console_status("GET", "/ready") == 200
    });
}
