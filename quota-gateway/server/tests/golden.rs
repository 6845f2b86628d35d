//! Recorded bytes of what two processes of one gateway tell each other during an upgrade, and the keys of the configuration.
//!
//! The gateway is a program, so it is tested from outside: what an old process of the day of the recording wrote on the socket
//! where the two meet is played against the built one, and what the built one writes is compared with the recording. Ids of
//! servers are fixed, and their addresses in `estate.json` were replaced by ports where nobody listens; otherwise the fixtures
//! are as one run wrote them. They name fields as they are on the wire, so a renaming in the program changes nothing here.

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

/// What the processes of one gateway share.
struct Platform {
    listener: TcpListener,
    shared: PathBuf,
    config: String,
    _agent: Agent,
}

impl Platform {
    /// Before two servers of fixed ids.
    fn new(servers: [String; 2]) -> Platform {
        let (listener, agent) = (TcpListener::bind("127.0.0.1:0").expect("a port"), Agent::start());
        let host = |(id, addr): (&str, &String)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"sala-a","kind":"std-2c","cell":3,"state":"SERVING","weight":1.5,"started_ms":0}}"#
            )
        };
        let hosts: Vec<String> = ["s-a", "s-b"].into_iter().zip(&servers).map(host).collect();
        let known = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, hosts.join(","));
        let addr = listener.local_addr().expect("bound").to_string();
        let config = config(&addr, agent.stub.addr, Some(&known));
        Platform { listener, shared: folder(), config, _agent: agent }
    }

    /// Before servers where nobody listens, as the fixtures name them.
    fn before_nobody() -> Platform {
        Platform::new(["127.0.0.1:1".to_owned(), "127.0.0.1:2".to_owned()])
    }

    fn start(&self) -> Running {
        Running::inheriting(&self.listener, &self.shared, &self.config)
    }

    /// Where the processes meet.
    fn meeting(&self) -> PathBuf {
        self.shared.join(format!("mapledeck-{}.sock", self.listener.local_addr().expect("bound").port()))
    }

    /// Comes to the living process as a new one does: what it is handed, and the connection.
    fn comes(&self) -> (Value, BufReader<UnixStream>) {
        let mut stream = UnixStream::connect(self.meeting()).expect("connected");
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream.write_all(b"1\n").expect("written");
        let mut reader = BufReader::new(stream);
        let estate = line(&mut reader);
        (serde_json::from_str(&estate).expect("JSON"), reader)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.shared));
    }
}

fn line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line");
    assert_eq!(line.pop(), Some('\n'), "a whole line: {line}");
    line
}

/// Each place in a value, and of which kind it is; what is at the places of a recording must be at the same places again.
fn shape(at: &str, value: &Value, into: &mut Vec<String>) {
    let kind = match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| shape(&format!("{at}.{name}"), value, into));
            "object"
        }
        Value::Array(values) => {
            values.iter().for_each(|value| shape(&format!("{at}[]"), value, into));
            "array"
        }
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Bool(_) => "bool",
        Value::Null => "null",
    };
    into.push(format!("{at} {kind}"));
}

fn shaped(value: &Value) -> Vec<String> {
    let mut all = Vec::new();
    shape("", value, &mut all);
    all.sort();
    all.dedup();
    all
}

/// The recording, as if it were written now: its instants stay, and the clock that they are on is begun anew so that this
/// moment is the one after the last of them. All else is as it was recorded.
fn recorded() -> Value {
    let mut recorded: Value = serde_json::from_str(&text("estate.json")).expect("JSON");
    let server = Platform::before_nobody();
    let running = server.start();
    let begun = server.comes().0["origin"].as_u64().expect("an instant");
    drop(running);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after it").as_nanos() as u64;
    let last = recorded["memory"]["servers"]["3902497300"]["last_answer"].as_u64().expect("an instant");
    recorded["origin"] = (begun - (now - last)).into();
    recorded
}

#[test]
fn a_recorded_snapshot_is_taken_over_completely() {
    let recorded = recorded();
    let platform = Platform::before_nobody();
    let listener = UnixListener::bind(platform.meeting()).expect("bound");
    let (done, held) = std::sync::mpsc::channel::<()>();
    let told = format!("{recorded}\n");
    let living = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let hello = line(&mut BufReader::new(stream.try_clone().expect("a copy")));
        stream.write_all(told.as_bytes()).expect("written");
        assert!(held.recv().is_err(), "the test is over");
        hello
    });
    let new = platform.start();
    assert!(new.log().contains("takes over"), "{}", new.log());
    let (mut told, _) = platform.comes();
    assert_eq!(shaped(&told), shaped(&recorded));
    // These go on by the clock, so that only their places and kinds are fixed; what was sent of late fades.
    let sends = |estate: &Value| estate["memory"]["sends"].as_f64().expect("a number");
    assert!(
        sends(&told) > 0.0 && sends(&told) <= sends(&recorded),
        "{} of {}",
        sends(&told),
        sends(&recorded)
    );
    for place in ["shedder", "sends"] {
        told["memory"][place] = recorded["memory"][place].clone();
    }
    assert_eq!(told, recorded);
    drop(done);
    assert_eq!(living.join().expect("ended"), "1", "the version that a new process asks under");
}

#[test]
fn peer_updates_keep_their_encoding() {
    let servers = [Stub::start(|_| ok("a")), Stub::start(|_| ok("b"))];
    let platform = Platform::new([servers[0].addr.to_string(), servers[1].addr.to_string()]);
    let old = platform.start();
    let (_, mut reader) = platform.comes();
    let mut told = Vec::new();
    assert_eq!(old.call("PUT", "/pay-servers/disable?name=s-b"), 200);
    told.push(line(&mut reader));
    assert_eq!(old.client().ask(&saldo("g", "3")).status(), 200);
    told.extend([line(&mut reader), line(&mut reader)]);
    for call in ["/drain", "/undrain", "/pay-servers/enable?name=s-b"] {
        assert_eq!(old.call("PUT", call), 200, "{call}");
        told.push(line(&mut reader));
    }
    same_text("news.jsonl", &told.join("\n"));
}

/// A line that cannot be read ends the exchange, so the last one is heard only if each before it was read.
#[test]
fn recorded_peer_updates_are_applied() {
    let platform = Platform::before_nobody();
    let old = platform.start();
    let (before, mut reader) = platform.comes();
    assert_eq!(before["draining"], false);
    for line in text("news.jsonl").lines().chain([r#"{"Elsewhere":"Gone"}"#, r#"{"Change":"Drain"}"#]) {
        reader.get_mut().write_all(format!("{line}\n").as_bytes()).expect("written");
    }
    until("it is drained", || platform.comes().0["draining"] == true);
    for change in ["Disable", "Undrain", "Enable"] {
        // Standard error is read by a thread of the test, a moment after the gateway has written it.
        until(change, || old.log().contains(change));
    }
    let (after, _) = platform.comes();
    let customers = |estate: &Value| estate["memory"]["customers"].as_object().expect("customers").len();
    assert_eq!((customers(&before), customers(&after)), (0, 1), "what was sent elsewhere is counted");
}

/// What a start with this configuration says on standard error, and its exit code.
fn refused(config: &str) -> (Option<i32>, String) {
    let dir = folder();
    let file = dir.join("config.json");
    std::fs::write(&file, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marblecroft-quota-gateway"));
    for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", "RELAY_FD"] {
        command.env_remove(name);
    }
    // What is not refused would run on.
    let started = command.env("RELAY_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    let mut child = started.expect("it starts");
    let mut errors = BufReader::new(child.stderr.take().expect("piped"));
    let said = line(&mut errors);
    if said.starts_with("marblecroft-quota-gateway: listening on ") {
        drop(child.kill());
    }
    let code = child.wait().expect("waited for").code();
    drop(std::fs::remove_dir_all(&dir));
    (code, said)
}

/// A key that is not read any more is passed over in silence; so each is given a value of another kind, and must be named.
#[test]
fn the_configuration_is_read_under_its_keys() {
    let good: Value = serde_json::from_str(&text("config.json")).expect("JSON");
    let gateway = Running::start(&text("config.json"));
    assert!(gateway.addr.port() > 0, "all of it is read");
    drop(gateway);
    let mut places = Vec::new();
    pointers("", &good, &mut places);
    for place in places {
        let mut spoilt = good.clone();
        let value = spoilt.pointer_mut(&place).expect("there");
        *value = if value.is_string() { 7.into() } else { "?".into() };
        let (code, said) = refused(&spoilt.to_string());
        let key = place.rsplit('/').find(|part| part.parse::<usize>().is_err()).expect("a key");
        assert_eq!(code, Some(2), "{place}: {said}");
        assert!(said.contains(key), "{place}: {said}");
    }
}

/// Where each value is; what is in single servers of the list is the list's own, where one that cannot be read is passed over.
fn pointers(at: &str, value: &Value, into: &mut Vec<String>) {
    let mut down = |name: &str, value: &Value| {
        let place = format!("{at}/{name}");
        into.push(place.clone());
        if place != "/known/servers" {
            pointers(&place, value, into);
        }
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| down(name, value)),
        Value::Array(values) => values.iter().enumerate().for_each(|(n, value)| down(&n.to_string(), value)),
        _ => {}
    }
}
