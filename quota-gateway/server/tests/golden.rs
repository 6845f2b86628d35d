//! Compatibility with recorded data: the bytes that two processes of one gateway exchange during an upgrade,
//! and the keys of the configuration.
//!
//! The gateway is a program, so it is tested from outside. The bytes that an old process once wrote to the
//! handover socket are replayed to the built program, and the bytes that the built program writes are
//! compared with the recording. Server ids are fixed, and the addresses in `estate.json` were replaced by
//! ports without a listener; otherwise the fixtures are as one run wrote them. They contain field names as on
//! the wire, so renaming a field's Rust name does not affect these tests.

mod common;
#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use common::*;
use golden::{same_text, text};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

/// The listening socket, directory and configuration that the processes of one gateway share.
struct UpgradeSite {
    listener: TcpListener,
    shared: PathBuf,
    config: String,
    _agent: Agent,
}

impl UpgradeSite {
    /// A gateway with two servers, whose ids are fixed.
    fn new(servers: [String; 2]) -> UpgradeSite {
        let (listener, agent) = (TcpListener::bind("127.0.0.1:0").expect("bind a port"), Agent::start());
        let host = |(id, addr): (&str, &String)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"sala-a","kind":"std-2c","cell":3,"state":"SERVING","weight":1.5,"started_ms":0}}"#
            )
        };
        let hosts: Vec<String> = ["s-a", "s-b"].into_iter().zip(&servers).map(host).collect();
        let known = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, hosts.join(","));
        let addr = listener.local_addr().expect("a bound socket").to_string();
        let config = config(&addr, agent.stub.addr, Some(&known));
        UpgradeSite { listener, shared: temp_dir(), config, _agent: agent }
    }

    /// A gateway with the fixtures' servers, whose ports have no listener.
    fn with_unreachable_servers() -> UpgradeSite {
        UpgradeSite::new(["127.0.0.1:1".to_owned(), "127.0.0.1:2".to_owned()])
    }

    fn start(&self) -> GatewayProcess {
        GatewayProcess::inheriting(&self.listener, &self.shared, &self.config)
    }

    /// The path of the handover socket.
    fn socket_path(&self) -> PathBuf {
        self.shared
            .join(format!("mapledeck-{}.sock", self.listener.local_addr().expect("a bound socket").port()))
    }

    /// Connects to the running process as its successor does. Returns the snapshot, and the connection.
    fn connect_as_successor(&self) -> (Value, BufReader<UnixStream>) {
        let mut stream = UnixStream::connect(self.socket_path()).expect("connect");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the socket option");
        stream.write_all(b"1\n").expect("write succeeds");
        let mut reader = BufReader::new(stream);
        let snapshot = next_line(&mut reader);
        (serde_json::from_str(&snapshot).expect("valid JSON"), reader)
    }
}

impl Drop for UpgradeSite {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.shared));
    }
}

/// Reads a line, and removes its line end.
fn next_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("read a line");
    assert_eq!(line.pop(), Some('\n'), "a complete line: {line}");
    line
}

/// Collects the path and the type of each value within a JSON value. A snapshot must have the same paths and
/// types as the recording.
fn collect_shape(at: &str, value: &Value, into: &mut Vec<String>) {
    let kind = match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| collect_shape(&format!("{at}.{name}"), value, into));
            "object"
        }
        Value::Array(values) => {
            values.iter().for_each(|value| collect_shape(&format!("{at}[]"), value, into));
            "array"
        }
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Bool(_) => "bool",
        Value::Null => "null",
    };
    into.push(format!("{at} {kind}"));
}

/// The distinct paths and types within a JSON value, sorted.
fn shape_of(value: &Value) -> Vec<String> {
    let mut all = Vec::new();
    collect_shape("", value, &mut all);
    all.sort();
    all.dedup();
    all
}

/// The recorded snapshot with only the origin of its clock changed, so that the last of the recorded instants
/// is now. The instants themselves stay as recorded.
fn recorded() -> Value {
    let mut recorded: Value = serde_json::from_str(&text("estate.json")).expect("valid JSON");
    let site = UpgradeSite::with_unreachable_servers();
    let running = site.start();
    let origin = site.connect_as_successor().0["origin"].as_u64().expect("an instant");
    drop(running);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after the epoch").as_nanos() as u64;
    let last = recorded["memory"]["servers"]["3902497300"]["last_answer"].as_u64().expect("an instant");
    recorded["origin"] = (origin - (now - last)).into();
    recorded
}

#[test]
fn a_recorded_snapshot_is_taken_over_completely() {
    let recorded = recorded();
    let site = UpgradeSite::with_unreachable_servers();
    let listener = UnixListener::bind(site.socket_path()).expect("bind the socket");
    let (done, is_done) = std::sync::mpsc::channel::<()>();
    let sent = format!("{recorded}\n");
    let old_process = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let version = next_line(&mut BufReader::new(stream.try_clone().expect("duplicate the socket")));
        stream.write_all(sent.as_bytes()).expect("write succeeds");
        assert!(is_done.recv().is_err(), "the sender is dropped at the end");
        version
    });
    let new = site.start();
    assert!(new.log().contains("takes over"), "{}", new.log());
    let (mut snapshot, _) = site.connect_as_successor();
    assert_eq!(shape_of(&snapshot), shape_of(&recorded));
    // These change with time, so only their paths and types are compared. The rate of recent sends decays.
    let sends = |snapshot: &Value| snapshot["memory"]["sends"].as_f64().expect("a number");
    assert!(
        sends(&snapshot) > 0.0 && sends(&snapshot) <= sends(&recorded),
        "{} of {}",
        sends(&snapshot),
        sends(&recorded)
    );
    for field in ["shedder", "sends"] {
        snapshot["memory"][field] = recorded["memory"][field].clone();
    }
    assert_eq!(snapshot, recorded);
    drop(done);
    assert_eq!(
        old_process.join().expect("the thread ends"),
        "1",
        "the format version that a new process requests"
    );
}

#[test]
fn peer_updates_keep_their_encoding() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let site = UpgradeSite::new([servers[0].addr.to_string(), servers[1].addr.to_string()]);
    let old = site.start();
    let (_, mut reader) = site.connect_as_successor();
    let mut updates = Vec::new();
    assert_eq!(old.console_status("PUT", "/pay-servers/disable?name=s-b"), 200);
    updates.push(next_line(&mut reader));
    assert_eq!(old.client().call(&saldo("g", "3")).status(), 200);
    updates.extend([next_line(&mut reader), next_line(&mut reader)]);
    for call in ["/drain", "/undrain", "/pay-servers/enable?name=s-b"] {
        assert_eq!(old.console_status("PUT", call), 200, "{call}");
        updates.push(next_line(&mut reader));
    }
    same_text("news.jsonl", &updates.join("\n"));
}

/// A line that cannot be parsed ends the exchange, so the last one takes effect only if all earlier ones were
/// parsed.
#[test]
fn recorded_peer_updates_are_applied() {
    let site = UpgradeSite::with_unreachable_servers();
    let old = site.start();
    let (before, mut reader) = site.connect_as_successor();
    assert_eq!(before["draining"], false);
    for line in text("news.jsonl").lines().chain([r#"{"Elsewhere":"Gone"}"#, r#"{"Change":"Drain"}"#]) {
        reader.get_mut().write_all(format!("{line}\n").as_bytes()).expect("write succeeds");
    }
    until("the gateway is drained", || site.connect_as_successor().0["draining"] == true);
    for change in ["Disable", "Undrain", "Enable"] {
        // A thread of the test reads standard error, a moment after the gateway has written it.
        until(change, || old.log().contains(change));
    }
    let (after, _) = site.connect_as_successor();
    let customers = |snapshot: &Value| snapshot["memory"]["customers"].as_object().expect("customers").len();
    assert_eq!(
        (customers(&before), customers(&after)),
        (0, 1),
        "a request that the other process sent is counted"
    );
}

/// Starts the gateway with a configuration that it must reject; returns its exit code, and its first line on
/// standard error.
fn failed_start(config: &str) -> (Option<i32>, String) {
    let dir = temp_dir();
    let file = dir.join("config.json");
    std::fs::write(&file, config).expect("write succeeds");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway"));
    for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", "RELAY_FD"] {
        command.env_remove(name);
    }
    // A gateway that accepts the configuration would not exit by itself.
    let started = command.env("RELAY_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    let mut child = started.expect("start the gateway");
    let mut errors = BufReader::new(child.stderr.take().expect("a pipe for standard error"));
    let message = next_line(&mut errors);
    if message.starts_with("marblecroft-quota-gateway: listening on ") {
        drop(child.kill());
    }
    let code = child.wait().expect("wait for the process").code();
    drop(std::fs::remove_dir_all(&dir));
    (code, message)
}

/// Unknown keys are ignored, so each key gets a value of a wrong type, which must be reported under the key's
/// name.
#[test]
fn the_configuration_is_read_under_its_keys() {
    let good: Value = serde_json::from_str(&text("config.json")).expect("valid JSON");
    let gateway = GatewayProcess::start(&text("config.json"));
    assert!(gateway.addr.port() > 0, "the complete configuration is accepted");
    drop(gateway);
    let mut paths = Vec::new();
    collect_pointers("", &good, &mut paths);
    for path in paths {
        let mut invalid = good.clone();
        let value = invalid.pointer_mut(&path).expect("an existing value");
        *value = if value.is_string() { 7.into() } else { "?".into() };
        let (code, message) = failed_start(&invalid.to_string());
        let key = path.rsplit('/').find(|part| part.parse::<usize>().is_err()).expect("a key in the path");
        assert_eq!(code, Some(2), "{path}: {message}");
        assert!(message.contains(key), "{path}: {message}");
    }
}

/// Collects the JSON pointer of each value, except those within single servers of the list: entries that
/// cannot be read are skipped there.
fn collect_pointers(at: &str, value: &Value, into: &mut Vec<String>) {
    let mut visit = |name: &str, value: &Value| {
        let path = format!("{at}/{name}");
        into.push(path.clone());
        if path != "/known/servers" {
            collect_pointers(&path, value, into);
        }
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| visit(name, value)),
        Value::Array(values) => values.iter().enumerate().for_each(|(n, value)| visit(&n.to_string(), value)),
        _ => {}
    }
}
