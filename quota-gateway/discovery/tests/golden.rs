//! Golden tests of the bytes that this crate stores and sends: the journal's files, the list, and the JSON of
//! its HTTP API.
//!
//! The fixtures were written by one run of the code at the time of their recording. Each test encodes fixed
//! values and compares the result with the fixture, decodes the fixture, and encodes the decoded value to the
//! same bytes. If a type or field is renamed, the code here that constructs it changes, and the fixtures do
//! not.

mod common;
#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use common::*;
use golden::{bytes, same_bytes, same_text, text};
use marblecroft_discovery::format::{Entry, Host, HostList, HostListRef, ListRequest, State};
use marblecroft_discovery::http::{self, ApiRequest, HttpRequest, ReplicationRequest, ReplicationResponse};
use marblecroft_discovery::journal::{Journal, Storage};
use marblecroft_discovery::store::{Command, Record, Registration, Snapshot, Store};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Storage in memory, shared with the journal that writes to it.
#[derive(Clone, Default)]
struct Files(Rc<RefCell<BTreeMap<String, Vec<u8>>>>);

impl Files {
    fn with(files: [(&str, Vec<u8>); 2]) -> Files {
        Files(Rc::new(RefCell::new(
            files.into_iter().map(|(name, bytes)| (name.to_owned(), bytes)).collect(),
        )))
    }
    fn get(&self, name: &str) -> Vec<u8> {
        self.0.borrow().get(name).cloned().unwrap_or_else(|| panic!("no file {name}"))
    }
}

impl Storage for Files {
    fn file_names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.get(name))
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().entry(name.to_owned()).or_default().extend_from_slice(bytes);
        Ok(())
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.borrow_mut().entry(name.to_owned()).or_default().truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let bytes = self.0.borrow_mut().remove(from).expect("a file");
        self.0.borrow_mut().insert(to.to_owned(), bytes);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(name);
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn host(id: &str, port: u16, state: State) -> Host {
    Host {
        id: id.to_owned(),
        addr: format!("10.1.2.3:{port}").parse().expect("an address"),
        zone: format!("zone-of-{id}"),
        kind: format!("kind-of-{id}"),
        cell: u32::from(port) + 11,
        state,
        weight: f64::from(port) + 0.25,
        started_ms: 1_700_000_000_000 + u64::from(port),
    }
}

/// Returns each kind of record, with several servers, one of which is deleted.
fn records() -> Vec<Record> {
    vec![
        Record::Opened { version: 1001 },
        Record::Promoted { version: 1010, epoch: 7 },
        Record::Put { version: 1012, host: host("s-1", 81, State::Serving), lease_ms: Some(61_000) },
        Record::Put { version: 1013, host: host("s-2", 82, State::Draining), lease_ms: None },
        Record::Put { version: 1014, host: host("s-3", 83, State::Serving), lease_ms: Some(63_000) },
        Record::Deleted { version: 1015, id: "s-3".to_owned() },
    ]
}

fn store() -> Store {
    Store::restore(Snapshot::default(), records(), Duration::ZERO)
}

#[test]
fn the_journal_log_matches_its_fixtures() {
    let files = Files::default();
    let (mut journal, _) = Journal::open(files.clone()).expect("opened");
    journal.append(&records()).expect("written");
    same_bytes("log.hex", &files.get("log.1"));
    same_bytes("snapshot-empty.hex", &files.get("snap.1"));

    let recorded = Files::with([("log.1", bytes("log.hex")), ("snap.1", bytes("snapshot-empty.hex"))]);
    let (_, recovered) = Journal::open(recorded).expect("opened");
    assert_eq!((recovered.records.as_slice(), recovered.torn_bytes), (records().as_slice(), 0));
    assert_eq!(recovered.snapshot, Snapshot::default());
    let rewritten = Files::default();
    let (mut journal, _) = Journal::open(rewritten.clone()).expect("opened");
    journal.append(&recovered.records).expect("written");
    same_bytes("log.hex", &rewritten.get("log.1"));
}

#[test]
fn the_journal_snapshot_matches_its_fixtures() {
    let files = Files::default();
    let (mut journal, _) = Journal::open(files.clone()).expect("opened");
    journal.compact(&store().snapshot()).expect("written");
    same_bytes("snapshot.hex", &files.get("snap.2"));
    same_bytes("log-empty.hex", &files.get("log.2"));

    let recorded = Files::with([("log.9", bytes("log-empty.hex")), ("snap.9", bytes("snapshot.hex"))]);
    let (mut journal, recovered) = Journal::open(recorded.clone()).expect("opened");
    assert_eq!(recovered.snapshot, store().snapshot());
    let restored = Store::restore(recovered.snapshot, [], Duration::ZERO);
    journal.compact(&restored.snapshot()).expect("written");
    same_bytes("snapshot.hex", &recorded.get("snap.10"));
}

#[test]
fn the_list_matches_its_fixture() {
    let servers =
        [host("s-1", 81, State::Serving), host("s-2", 82, State::Draining), host("s-3", 83, State::Deleted)];
    let encode = |servers: &[Host]| {
        let servers = servers.iter().collect();
        serde_json::to_string(&HostListRef { version: 1015, full: true, store: 1001, epoch: 7, servers })
            .expect("text")
    };
    same_text("list.json", &encode(&servers));

    let list: HostList = serde_json::from_str(&text("list.json")).expect("a list");
    let expected = HostList {
        version: 1015,
        full: true,
        store: Some(1001),
        epoch: 7,
        servers: servers.iter().cloned().map(Entry::Readable).collect(),
    };
    assert_eq!(list, expected);
    let read: Vec<Host> = list
        .servers
        .into_iter()
        .map(|entry| match entry {
            Entry::Readable(host) => host,
            Entry::Malformed(id) => panic!("{id:?} cannot be read"),
        })
        .collect();
    same_text("list.json", &encode(&read));
}

#[test]
fn the_responses_of_the_store_match_their_fixtures() {
    let store = store();
    let text = |bytes: Option<Vec<u8>>| String::from_utf8(bytes.expect("a response")).expect("UTF-8");
    same_text("told-whole.json", &text(store.encode_list(None)));
    same_text("told-changes.json", &text(store.encode_list(Some(1012))));
    same_text("told-nothing.json", &text(Some(store.encode_unchanged())));
    let details =
        |id| serde_json::to_string(&store.entry_details(id, Duration::from_millis(1500))).expect("text");
    same_text("shown-leased.json", &details("s-1"));
    same_text("shown-unleased.json", &details("s-2"));
}

#[test]
fn replication_messages_match_their_fixtures() {
    let replica = ReplicationRequest { store: 1001, epoch: 7, version: 1013, wait_ms: 2500 };
    same_text("replica.json", &serde_json::to_string(&replica).expect("text"));
    let read: ReplicationRequest =
        serde_json::from_str(&text("replica.json")).expect("a replication request");
    assert_eq!(read, replica);
    same_text("replica.json", &serde_json::to_string(&read).expect("text"));

    let changes = ReplicationResponse { epoch: 7, records: records(), snapshot: None };
    let full = ReplicationResponse { epoch: 8, records: Vec::new(), snapshot: Some(store().snapshot()) };
    for (name, replicated) in [("replicated-changes.json", changes), ("replicated-whole.json", full)] {
        same_text(name, &serde_json::to_string(&replicated).expect("text"));
        let read: ReplicationResponse = serde_json::from_str(&text(name)).expect("a replication response");
        assert_eq!(
            (read.epoch, &read.records, &read.snapshot),
            (replicated.epoch, &replicated.records, &replicated.snapshot)
        );
        same_text(name, &serde_json::to_string(&read).expect("text"));
    }
}

/// The literal bodies are those that operators and servers send.
#[test]
fn requests_are_parsed_from_their_paths_and_fields() {
    let route = |method: &str, path: &str, query: &str, body: &str| {
        let request = HttpRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            body: body.as_bytes().to_vec(),
            keep_alive: true,
        };
        http::route(&request).expect("a request")
    };
    let post = |path: &str, body: &str| route("POST", path, "", body);
    let server = Registration {
        id: "s-1".to_owned(),
        addr: "10.1.2.3:81".parse().expect("an address"),
        zone: "a".to_owned(),
        kind: "b".to_owned(),
        cell: 3,
        weight: 1.5,
    };
    let lease = Some(Duration::from_millis(61_000));
    assert_eq!(
        post(
            "/discovery/register",
            r#"{"id":"s-1","addr":"10.1.2.3:81","zone":"a","kind":"b","cell":3,"weight":1.5,"lease_ms":61000,"revision":9}"#
        ),
        ApiRequest::Command(Command::Register { server, lease, revision: Some(9) })
    );
    let id = || "s-1".to_owned();
    let revision = Some(9);
    for (path, command) in [
        ("/discovery/renew", Command::Renew { id: id() }),
        ("/discovery/drain", Command::Drain { id: id(), revision }),
        ("/discovery/undrain", Command::Undrain { id: id(), revision }),
        ("/discovery/deregister", Command::Deregister { id: id(), revision }),
    ] {
        assert_eq!(post(path, r#"{"id":"s-1","revision":9}"#), ApiRequest::Command(command), "{path}");
    }
    assert_eq!(post("/discovery/show", r#"{"id":"s-1"}"#), ApiRequest::Show { id: id() });
    assert_eq!(post("/discovery/promote", r#"{"epoch":7}"#), ApiRequest::Promote { epoch: 7 });
    let replica = ReplicationRequest { store: 1001, epoch: 7, version: 1013, wait_ms: 2500 };
    assert_eq!(post("/discovery/records", &text("replica.json")), ApiRequest::Replicate(replica));
    let watch = ListRequest::Watch { since: 1013, wait: Duration::from_millis(2500) };
    assert_eq!(watch.target(), "/discovery/hosts?since=1013&timeout_ms=2500");
    assert_eq!(route("GET", "/discovery/hosts", "since=1013&timeout_ms=2500", ""), ApiRequest::List(watch));
    assert_eq!(route("GET", "/discovery/status", "", ""), ApiRequest::Status);
}

/// The values of fields differ from run to run, so only the names and JSON types are compared.
#[test]
fn the_responses_of_the_service_match_their_fixtures() {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut client = service.client();
    assert_eq!(client.register("s-1", 81, r#","lease_ms":61000"#).status, 200);
    let kinds = |response: Response| {
        let serde_json::Value::Object(fields) = response.json() else { panic!("{response:?}") };
        let kind = |value: &serde_json::Value| match value {
            serde_json::Value::Number(_) => "number",
            serde_json::Value::String(_) => "string",
            serde_json::Value::Null => "null",
            _ => "other",
        };
        let line = |(name, value): (&String, &serde_json::Value)| format!("{name} {}", kind(value));
        fields.iter().map(line).collect::<Vec<_>>().join("\n")
    };
    same_text("status-fields.txt", &kinds(client.get("/discovery/status")));
    same_text("shown-fields.txt", &kinds(client.post("/discovery/show", r#"{"id":"s-1"}"#)));
    let deletion = client.post("/discovery/deregister", r#"{"id":"s-1"}"#);
    assert_eq!(deletion.body, r#"{"id":"s-1","state":"DELETED"}"#);
    remove_folder(folder);
}
