//! Golden tests of the encodings of this crate: frames between processes and with clients, the tables of the
//! store, and the snapshot of the state.
//!
//! The fixtures were recorded from an earlier version of the code. Each test encodes fixed values and
//! compares them with the fixture, decodes the fixture, and encodes the decoded values to the same bytes
//! again. If a type or field is renamed in the program, only the code here changes, never the fixtures.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, from_hex, hex, same_bytes, same_text, text};
use marblecroft_coordination::raft::{NodeId, Types};
use marblecroft_coordination::state::{
    Change, Changes, ClientId, Command, Done, Op, OperationError, Owner, SessionId, State,
};
use marblecroft_coordination::storage::{LogStore, StoredSnapshot};
use marblecroft_coordination::wire::{
    encode, read, LockStatus, Message, Request, Response, SessionStatus, Status,
};
use openraft::error::{Fatal, InstallSnapshotError, RaftError, SnapshotMismatch};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::{
    BasicNode, CommittedLeaderId, Entry, EntryPayload, LogId, Membership, RaftLogReader, SnapshotMeta,
    SnapshotSegmentId, StoredMembership, Vote,
};
use redb::{Database, ReadOnlyDatabase, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

fn runtime() -> LocalRuntime {
    Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).expect("a runtime")
}

const CLUSTER: u64 = 0x0102_0304_0506_0708;
const SESSION: SessionId = SessionId(7001);

fn log_id(index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(31, 41), index)
}

fn membership() -> Membership<NodeId, BasicNode> {
    let node = |number: u64| (number, BasicNode::new(format!("10.1.2.{number}:7400")));
    Membership::new(vec![BTreeSet::from([41, 42])], BTreeMap::from([node(41), node(42), node(43)]))
}

fn meta() -> SnapshotMeta<NodeId, BasicNode> {
    SnapshotMeta {
        last_log_id: Some(log_id(202)),
        last_membership: StoredMembership::new(Some(log_id(201)), membership()),
        snapshot_id: "202-77".to_owned(),
    }
}

/// One operation of each kind, with each kind of owner.
fn ops() -> Vec<(&'static str, Op)> {
    let lock = || "lock-a".to_owned();
    let key = || "key-b".to_owned();
    let lock_owner = || Owner::Lock { name: lock(), token: 502 };
    let put = |expect, owner| Op::Put { key: key(), value: vec![1, 2, 250], expect, owner };
    vec![
        ("open", Op::Open { ttl_ms: 5100, name: "who".to_owned() }),
        ("close", Op::Close { session: SESSION }),
        ("acquire", Op::Acquire { session: SESSION, lock: lock(), wait: true }),
        ("release", Op::Release { session: SESSION, lock: lock() }),
        ("revoke", Op::Revoke { lock: lock() }),
        ("put-nobody", put(None, Owner::Nobody)),
        ("put-lock", put(Some(901), lock_owner())),
        ("put-session", put(Some(0), Owner::Session(SESSION))),
        ("delete", Op::Delete { key: key(), expect: Some(902), owner: lock_owner() }),
        ("check", Op::Check { lock: lock(), token: 503 }),
        ("batch", Op::Batch(vec![Op::Check { lock: lock(), token: 504 }, put(None, Owner::Nobody)])),
    ]
}

/// One command of each kind, with a call for each operation.
fn commands() -> Vec<Command> {
    let call =
        |(number, (_, op))| Command::Call { client: ClientId(801), number, acknowledged: number / 2, op };
    let mut commands: Vec<Command> = (11..).zip(ops()).map(call).collect();
    commands.push(Command::ExpireSessions { sessions: vec![SESSION, SessionId(7002)] });
    commands.push(Command::RaiseTokenFloor { token: 505 });
    commands.push(Command::ExpireClients { clients: vec![ClientId(802), ClientId(803)] });
    commands
}

/// One entry of each kind, with consecutive indexes.
fn entries() -> Vec<Entry<Types>> {
    let entry = |index, payload| Entry { log_id: log_id(index), payload };
    vec![
        entry(203, EntryPayload::Blank),
        entry(204, EntryPayload::Normal(commands())),
        entry(205, EntryPayload::Membership(membership())),
    ]
}

fn vote() -> Vote<NodeId> {
    Vote::new_committed(32, 42)
}

fn requests() -> Vec<(String, Request)> {
    let append = AppendEntriesRequest {
        vote: vote(),
        prev_log_id: Some(log_id(202)),
        entries: entries(),
        leader_commit: Some(log_id(199)),
    };
    let install =
        InstallSnapshotRequest { vote: vote(), meta: meta(), offset: 4096, data: vec![9, 8, 7], done: true };
    let prefix = || "key-".to_owned();
    let mut requests: Vec<(String, Request)> = [
        ("append", Request::Append(append)),
        ("vote", Request::Vote(VoteRequest { vote: Vote::new(33, 43), last_log_id: Some(log_id(198)) })),
        ("install", Request::Install(install)),
        ("identity", Request::Identity),
        ("join", Request::Join { cluster: CLUSTER }),
        (
            "begin",
            Request::Begin { members: BTreeMap::from([(41, "a:1".to_owned()), (42, "b:2".to_owned())]) },
        ),
        ("add", Request::Add { node: 44, addr: "c:3".to_owned() }),
        ("remove", Request::Remove { node: 45 }),
        ("renew", Request::Renew { sessions: vec![SESSION, SessionId(7002)] }),
        ("read", Request::Read { prefix: prefix(), stale: true }),
        ("watch", Request::Watch { prefix: prefix(), since: 903, wait_ms: 2500 }),
        ("status", Request::Status),
        ("locks", Request::Locks),
        ("sessions", Request::Sessions),
        ("snapshot", Request::Snapshot { from: 8192 }),
    ]
    .into_iter()
    .map(|(name, request)| (name.to_owned(), request))
    .collect();
    let call = |(name, op)| {
        (format!("call-{name}"), Request::Call { client: ClientId(801), number: 12, acknowledged: 10, op })
    };
    requests.extend(ops().into_iter().map(call));
    requests
}

fn status() -> Status {
    Status {
        node: 41,
        cluster: CLUSTER,
        leads: true,
        leader: Some("10.1.2.41:7400".to_owned()),
        term: 31,
        last_log: Some(205),
        applied: Some(204),
        members: vec![(41, "10.1.2.41:7400".to_owned(), true), (43, "10.1.2.43:7400".to_owned(), false)],
        revision: 904,
        token: 505,
        sessions: 61,
        locks: 62,
        writes: 63,
        syncs: 64,
        dropped_frames: 65,
    }
}

fn responses() -> Vec<(&'static str, Response)> {
    let granted =
        VoteResponse { vote: Vote::new(34, 44), vote_granted: true, last_log_id: Some(log_id(197)) };
    let segment = |id: &str, offset| SnapshotSegmentId { id: id.to_owned(), offset };
    let mismatch = SnapshotMismatch { expect: segment("202-77", 4096), got: segment("199-66", 1024) };
    let mismatch = InstallSnapshotError::SnapshotMismatch(mismatch);
    let done = vec![
        Done::Opened(SESSION),
        Done::Granted(506),
        Done::Waiting(3),
        Done::At(905),
        Done::Nothing,
        Done::All(vec![Done::At(906), Done::Nothing]),
    ];
    let changes = vec![
        (907, Change::Value { key: "key-b".to_owned(), value: vec![4, 5] }),
        (908, Change::Deleted { key: "key-c".to_owned() }),
        (909, Change::Lock { name: "lock-a".to_owned(), holder: Some((SESSION, 507)) }),
        (910, Change::Lock { name: "lock-d".to_owned(), holder: None }),
        (911, Change::Session { id: SessionId(7003), open: true }),
    ];
    let lock = LockStatus {
        name: "lock-a".to_owned(),
        holder: SESSION,
        owner_name: "who".to_owned(),
        token: 508,
        waiting: 4,
    };
    let session = SessionStatus { id: SESSION, owner_name: "who".to_owned(), ttl_ms: 5100, locks: 5 };
    let value = |key: &str, revision| (key.to_owned(), vec![6, 7], revision);
    vec![
        ("append-success", Response::Append(Ok(AppendEntriesResponse::Success))),
        ("append-partial", Response::Append(Ok(AppendEntriesResponse::PartialSuccess(Some(log_id(196)))))),
        ("append-conflict", Response::Append(Ok(AppendEntriesResponse::Conflict))),
        ("append-higher", Response::Append(Ok(AppendEntriesResponse::HigherVote(vote())))),
        ("append-failed", Response::Append(Err(RaftError::Fatal(Fatal::Stopped)))),
        ("vote", Response::Vote(Ok(granted))),
        ("install", Response::Install(Ok(InstallSnapshotResponse { vote: vote() }))),
        ("install-failed", Response::Install(Err(RaftError::APIError(mismatch)))),
        ("identity", Response::Identity { node: 41, cluster: CLUSTER }),
        ("done", Response::Done),
        ("outcome-done", Response::Outcome(Ok(Done::All(done)))),
        ("refused-no-session", Response::Outcome(Err(OperationError::NoSession))),
        ("refused-held", Response::Outcome(Err(OperationError::Held(509)))),
        ("refused-fenced", Response::Outcome(Err(OperationError::Fenced(510)))),
        ("refused-conflict", Response::Outcome(Err(OperationError::Conflict(912)))),
        ("refused-busy", Response::Outcome(Err(OperationError::Busy(500)))),
        ("refused-bad", Response::Outcome(Err(OperationError::Bad("field".to_owned())))),
        ("refused-forgotten", Response::Outcome(Err(OperationError::Forgotten))),
        ("refused-exhausted", Response::Outcome(Err(OperationError::Exhausted))),
        ("renewed", Response::Renewed(vec![SESSION])),
        (
            "values",
            Response::Values {
                revision: 913,
                values: vec![value("key-b", 901), value("key-c", 902)],
                age_ms: Some(17),
            },
        ),
        ("news-changes", Response::Changes(Changes::Changes { last_revision: 914, changes })),
        ("news-lost", Response::Changes(Changes::Lost { now: 915 })),
        ("status", Response::Status(status())),
        ("locks", Response::Locks(vec![lock])),
        ("sessions", Response::Sessions(vec![session])),
        ("part", Response::SnapshotChunk { total: 9000, bytes: vec![3, 2, 1] }),
        ("not-leader", Response::NotLeader { leader: Some("10.1.2.42:7400".to_owned()) }),
        ("busy", Response::Busy { after_ms: 250 }),
        ("no", Response::Rejected("a reason".to_owned())),
        ("unknown", Response::Unknown("another reason".to_owned())),
    ]
}

/// Checks the encoding of messages against a fixture. Each line of the fixture has the name of a message and
/// its frame.
fn check_frames(fixture: &str, messages: Vec<(String, Message)>) {
    let line = |name: &str, message: &Message| {
        let frame = encode(CLUSTER, message).expect("a frame");
        format!("{name} {}", hex(&frame).replace('\n', ""))
    };
    let encoded: Vec<String> = messages.iter().map(|(name, message)| line(name, message)).collect();
    same_text(fixture, &encoded.join("\n"));

    let runtime = runtime();
    let recorded = text(fixture);
    let mut reencoded = Vec::new();
    for ((name, expected), recorded) in messages.iter().zip(recorded.lines()) {
        let (_, frame) = recorded.split_once(' ').expect("a name and a frame");
        let frame = from_hex(frame);
        let (cluster, message) =
            runtime.block_on(read(&mut frame.as_slice())).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(cluster, CLUSTER);
        assert_eq!(format!("{message:?}"), format!("{expected:?}"), "{name}");
        reencoded.push(line(name, &message));
    }
    same_text(fixture, &reencoded.join("\n"));
}

#[test]
fn requests_keep_their_encoding() {
    let requests = (301..).zip(requests());
    check_frames(
        "requests.txt",
        requests.map(|(number, (name, request))| (name, Message::Request(number, request))).collect(),
    );
}

#[test]
fn responses_keep_their_encoding() {
    let responses = (401..).zip(responses());
    check_frames(
        "responses.txt",
        responses
            .map(|(number, (name, response))| (name.to_owned(), Message::Response(number, response)))
            .collect(),
    );
}

/// The status as `marblecroft-coordination-server status` prints it.
#[test]
fn the_status_keeps_its_json_fields() {
    same_text("status.json", &serde_json::to_string(&status()).expect("JSON text"));
    let decoded: Status = serde_json::from_str(&text("status.json")).expect("a status");
    assert_eq!(decoded, status());
}

/// A state in which no table is empty. Numbers with different meanings have different values, so that swapped
/// fields are detected.
fn state() -> State {
    let mut state = State::default();
    let mut numbers = BTreeMap::<u64, u64>::new();
    let mut call = |state: &mut State, client: u64, op: Op| {
        let number = numbers.entry(client).or_default();
        *number += 1;
        state.apply(&Command::Call {
            client: ClientId(client),
            number: *number,
            acknowledged: *number / 3,
            op,
        })
    };
    state.apply(&Command::RaiseTokenFloor { token: 500 });
    for (name, ttl_ms) in [("one", 5100), ("two", 5200), ("three", 5300)] {
        call(&mut state, 801, Op::Open { ttl_ms, name: name.to_owned() })
            .expect("an outcome")
            .expect("a session");
    }
    let (one, two, three) = (SessionId(1), SessionId(2), SessionId(3));
    let acquire = |session, lock: &str, wait| Op::Acquire { session, lock: lock.to_owned(), wait };
    let put = |key: &str, length: usize, owner| Op::Put {
        key: key.to_owned(),
        value: vec![length as u8; length],
        expect: None,
        owner,
    };
    let mut outcomes = Vec::new();
    for op in [
        acquire(one, "lock-a", false),
        acquire(three, "lock-a", true),
        acquire(two, "lock-a", true),
        acquire(two, "lock-b", false),
        put("key-a", 3, Owner::Nobody),
        put("key-b", 4, Owner::Lock { name: "lock-a".to_owned(), token: 501 }),
        put("key-c", 5, Owner::Session(two)),
        Op::Batch(vec![put("key-d", 6, Owner::Nobody), put("key-e", 7, Owner::Nobody)]),
        Op::Delete { key: "key-d".to_owned(), expect: None, owner: Owner::Nobody },
        acquire(three, "lock-b", false),
        Op::Close { session: SessionId(99) },
    ] {
        outcomes.push(call(&mut state, 802, op).expect("an outcome"));
    }
    assert_eq!(outcomes[0], Ok(Done::Granted(501)));
    assert_eq!(outcomes[9], Err(OperationError::Held(502)));
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_err()).count(), 2, "{outcomes:?}");
    state
}

#[test]
fn snapshots_keep_their_encoding() {
    same_bytes("state.hex", &state().snapshot().expect("a snapshot"));
    let restored = State::restore(&bytes("state.hex")).expect("a state");
    assert_eq!(restored, state());
    same_bytes("state.hex", &restored.snapshot().expect("a snapshot"));
}

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("mapledeck-golden-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// Creates a store from the recorded lines of its tables, with the database crate instead of this crate's
/// code.
fn write_tables(folder: &Path, lines: &str) {
    let database = Database::create(folder.join("log.redb")).expect("a database");
    let transaction = database.begin_write().expect("a transaction");
    {
        let mut log = transaction.open_table(LOG).expect("a table");
        let mut meta = transaction.open_table(META).expect("a table");
        for line in lines.lines() {
            let parts: Vec<&str> = line.split(' ').collect();
            let value = from_hex(parts[2]);
            match parts[0] {
                "log" => drop(log.insert(parts[1].parse::<u64>().expect("an index"), value.as_slice())),
                _ => drop(meta.insert(parts[1], value.as_slice())),
            }
        }
    }
    transaction.commit().expect("the transaction is committed");
}

/// Waits until a dropped store has closed its file, and returns its tables as lines.
fn read_tables(folder: &Path) -> String {
    let started_at = Instant::now();
    let database = loop {
        match ReadOnlyDatabase::open(folder.join("log.redb")) {
            Ok(database) => break database,
            Err(e) => {
                assert!(started_at.elapsed() < Duration::from_secs(30), "the database is not closed: {e}")
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let transaction = database.begin_read().expect("a transaction");
    let line =
        |table: &str, key: String, value: &[u8]| format!("{table} {key} {}", hex(value).replace('\n', ""));
    let mut lines = Vec::new();
    for entry in transaction.open_table(META).expect("a table").iter().expect("entries") {
        let (key, value) = entry.expect("an entry");
        lines.push(line("meta", key.value().to_owned(), value.value()));
    }
    for entry in transaction.open_table(LOG).expect("a table").iter().expect("entries") {
        let (key, value) = entry.expect("an entry");
        lines.push(line("log", key.value().to_string(), value.value()));
    }
    lines.join("\n")
}

fn stored_snapshot() -> StoredSnapshot {
    StoredSnapshot { meta: meta(), state: vec![2, 0, 11, 12, 13] }
}

/// Writes each part of a store with this crate's code, starting from a recorded store with a known node
/// number and without a cluster.
fn write_store(
    folder: &Path,
    vote: &Vote<NodeId>,
    committed: LogId<NodeId>,
    purged: LogId<NodeId>,
    entries: Vec<Entry<Types>>,
    snapshot: StoredSnapshot,
) {
    write_tables(folder, &text("store-new.txt"));
    let runtime = runtime();
    let mut store = LogStore::open(folder).expect("a store");
    assert_eq!((store.identity().node, store.identity().cluster), (0xa1b2_c3d4_e5f6_0701, 0));
    runtime.block_on(async {
        store.join(CLUSTER).await.expect("the cluster is written");
        store.save_vote(vote).await.expect("the vote is written");
        store.save_committed(Some(committed)).await.expect("the committed log id is kept");
        store.write_snapshot(snapshot).await.expect("the snapshot is written");
        store.purge(purged).await.expect("the entries are purged");
        store.blocking_append(entries).await.expect("the entries are appended");
    });
}

#[test]
fn the_store_keeps_its_encoding() {
    let (first, second, third) = (folder("first"), folder("second"), folder("third"));
    write_store(&first, &vote(), log_id(204), log_id(202), entries(), stored_snapshot());
    same_text("store.txt", &read_tables(&first));

    write_tables(&second, &text("store.txt"));
    let mut store = LogStore::open(&second).expect("a store");
    assert_eq!((store.identity().node, store.identity().cluster), (0xa1b2_c3d4_e5f6_0701, CLUSTER));
    let (read_vote, read_committed, log_state, read_entries) = runtime().block_on(async {
        (
            store.read_vote().await.expect("in memory").expect("a vote"),
            store.read_committed().await.expect("in memory").expect("a log id"),
            store.get_log_state().await.expect("in memory"),
            store.try_get_log_entries(..).await.expect("in memory"),
        )
    });
    let purged = log_state.last_purged_log_id.expect("a log id");
    let read_snapshot = store.snapshot().expect("a snapshot");
    assert_eq!((read_vote, read_committed, purged), (vote(), log_id(204), log_id(202)));
    assert_eq!(format!("{read_entries:?}"), format!("{:?}", entries()));
    assert_eq!(read_snapshot, stored_snapshot());
    drop(store);

    write_store(&third, &read_vote, read_committed, purged, read_entries, read_snapshot);
    same_text("store.txt", &read_tables(&third));
    for folder in [first, second, third] {
        drop(std::fs::remove_dir_all(folder));
    }
}
