//! A coordinator and a store restore their state from the log of an earlier version: a configuration with an
//! update applied, retired machines, the stores' view, and a partly completed batch job. The logs are stored
//! as literal bytes, and writing the same history produces the same bytes.

#[path = "../../../testing/support/golden/encoding.rs"]
mod encoding;
#[path = "../../../testing/support/golden/storage.rs"]
mod storage;

use marblecroft_batch_state::{BatchState, Item, ItemOutcome, NewJob, Operation as BatchOperation};
use marblecroft_chain_replication::{Member, Replica, View};
use marblecroft_control_plane_core::coordinator::{self, Coordinator};
use marblecroft_control_plane_core::member::{founding_view, open};
use marblecroft_control_plane_core::operator::{Call, Method};
use marblecroft_control_plane_core::store::{self, Store};
use marblecroft_control_plane_core::{Node, Time};
use marblecroft_control_state::{ControlState, Operation};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, Pull, VersionVector};
use marblecroft_protocol::store::{
    GatewayLoad, ItemId, NamedResult, ResultsPage, StoreReply, StoreRequest, WorkRequest,
};
use marblecroft_rpc::Bytes;
use marblecroft_wal::Recovered;
use std::net::SocketAddr;
use std::time::Duration;
use storage::{recovered, RecordingStorage};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

const WALL_MS: u64 = 1_700_000_000_500;

/// Passes `first` to a process, then wakes it every 10 ms until `select` returns a result for one of its
/// outputs.
fn run_until<N: Node, R>(
    node: &mut N,
    now: &mut Duration,
    first: N::Input,
    wake: impl Fn() -> N::Input,
    select: impl Fn(N::Output) -> Option<R>,
) -> R {
    let mut input = first;
    for _ in 0..500 {
        let outputs = node.handle(Time { monotonic: *now, wall_ms: WALL_MS }, input);
        if let Some(found) = outputs.into_iter().find_map(&select) {
            return found;
        }
        *now += Duration::from_millis(10);
        input = wake();
    }
    panic!("no matching output within 5 s");
}

const CONTROL_LOG: &str = include_str!("stored/control_log.hex");
const REPLACED: &str = r#"{"generation":5,"routes":[{"name":"a","hostname":"x","path_prefix":"/a/","route_type":"batch","backend":"s"}],"services":[{"name":"s"},{"name":"t"}]}"#;
const CHANGE: &str = r#"{"generation":9,"upsert":{"services":[{"name":"u","max_connections":7}]},"remove":{"services":["t"]}}"#;
const CHANGED: &str = r#"{"generation":9,"routes":[{"name":"a","hostname":"x","path_prefix":"/a/","route_type":"batch","backend":"s"}],"services":[{"name":"s"},{"name":"u","max_connections":7}]}"#;

fn founding() -> Option<(u64, View)> {
    founding_view(address(7700), &[address(7700)], |_| address(7100))
}

fn stores_view() -> View {
    let member = Member { address: address(7108), identity: 0x1122_3344, node_name: "store-1".to_owned() };
    View { number: 1, members: vec![member], voters: Vec::new() }
}

#[test]
fn the_bytes_of_a_coordinators_log_are_stable() {
    let disk = RecordingStorage::default();
    let mut replica: Replica<ControlState, _> =
        open(disk.clone(), Recovered::default(), 1, founding()).expect("the replica opens");
    let replace = Operation::ReplaceConfiguration { base: 0, generation: 5, body: Bytes(REPLACED.into()) };
    let register = Operation::RegisterStore { node: "store-7".to_owned() };
    replica.propose(&vec![replace, register]).expect("the write succeeds");
    let update = Operation::UpdateConfiguration { base: 5, generation: 9, change: Bytes(CHANGE.into()) };
    let retire = Operation::RetireStore { node: "store-7".to_owned() };
    replica.propose(&vec![Operation::InstallStoreView(stores_view()), update]).expect("the write succeeds");
    // Opening the log again writes a checkpoint.
    let recovered_log = recovered(&disk.written());
    let mut replica =
        open::<ControlState, _>(disk.clone(), recovered_log, 1, None).expect("the replica opens");
    replica.propose(&vec![retire, Operation::IssueReaderToken]).expect("the write succeeds");
    disk.check_written(CONTROL_LOG);
}

#[test]
fn a_coordinator_restores_its_state_from_a_stored_log() {
    let replica =
        open(RecordingStorage::default(), recovered(CONTROL_LOG), 2, None).expect("the replica opens");
    let settings = coordinator::Settings {
        node_name: "node-1".to_owned(),
        address: address(7100),
        seeds: vec![address(7100)],
        operator_port: None,
        tolerated_machines: 0,
        grace_period: Duration::from_secs(1),
        reads_server_list: false,
        is_durable: true,
        session: 99,
    };
    let mut now = Duration::from_secs(1);
    let mut node = Coordinator::new(settings, replica, now);
    let mut operator = |method, url: &str, base: Option<&str>, body: &str| {
        let (url, base) = (url.to_owned(), base.map(str::to_owned));
        let call = Call { method, url, base, body: body.into() };
        let input = coordinator::Input::Operator { token: 4, call };
        let reply = run_until(
            &mut node,
            &mut now,
            input,
            || coordinator::Input::Wake,
            |output| match output {
                coordinator::Output::ReplyToOperator { reply, .. } => Some(reply),
                _ => None,
            },
        );
        (reply.status, String::from_utf8(reply.body).expect("the body is text"))
    };
    assert_eq!(operator(Method::Get, "/-/Config.Read", None, ""), (200, CHANGED.to_owned()));
    let resubmitted = operator(Method::Post, "/-/Config.Update", Some("5"), CHANGE);
    assert_eq!(resubmitted, (200, String::new()));
    let conflict = operator(Method::Post, "/-/Config.Replace", Some("5"), &REPLACED.replace(":5", ":10"));
    assert_eq!(conflict, (412, "version 9 is current\n".to_owned()));
    let retired = operator(Method::Get, "/-/Retire.Read/store-7", None, "");
    assert_eq!(retired, (200, "{\"state\":\"in_progress\"}".to_owned()));
    assert_eq!(operator(Method::Get, "/-/Retire.Read/store-1", None, "").0, 404);
    let pull = Pull { known_versions: VersionVector::default(), wait_ms: 1000 };
    let input = coordinator::Input::Request { token: 5, request: CoordinatorRequest::Pull(pull) };
    let updates = run_until(
        &mut node,
        &mut now,
        input,
        || coordinator::Input::Wake,
        |output| match output {
            coordinator::Output::Reply { reply: CoordinatorReply::Updates(updates), .. } => Some(updates),
            _ => None,
        },
    );
    let configuration = updates.configuration.expect("a configuration");
    assert_eq!((configuration.sequence, &configuration.body.0[..]), (2, CHANGED.as_bytes()));
    assert_eq!(updates.stores, Some(stores_view()));
    assert_eq!(updates.coordinators, [address(7100)]);
}

const BATCH_LOG: &str = include_str!("stored/batch_log.hex");

fn item(id: &str, tokens: u64) -> Item {
    Item {
        id: id.to_owned(),
        path: format!("/batch/{id}"),
        headers: vec![("x-token-usage".to_owned(), "30,12".to_owned())],
        body: Bytes(format!("{{\"prompt\":\"{id}\"}}").into_bytes()),
        tokens,
    }
}

fn job() -> NewJob {
    NewJob {
        id: "job-1".to_owned(),
        route: "nightly".to_owned(),
        host: "x.example".to_owned(),
        items: vec![item("first", 100), item("second", 230), item("third", 310)],
        max_queued_tokens: 1000,
        accepted_at_ms: 1_700_000_000_123,
        due_after_ms: 8000,
    }
}

fn completed() -> ItemOutcome {
    ItemOutcome::Completed("{\"a\":1}\n[DONE]".to_owned())
}

#[test]
fn the_bytes_of_a_stores_log_are_stable() {
    let disk = RecordingStorage::default();
    let mut replica: Replica<BatchState, _> =
        Replica::open(disk.clone(), Recovered::default(), 0x1122_3344, None).expect("the replica opens");
    assert!(replica.install_view(&stores_view()).expect("the write succeeds"));
    replica.propose(&vec![BatchOperation::SubmitJob(job())]).expect("the write succeeds");
    let record = |item, outcome| BatchOperation::RecordResult { job: "job-1".to_owned(), item, outcome };
    replica.propose(&vec![record(2, completed())]).expect("the write succeeds");
    // Opening the log again writes a checkpoint.
    let recovered_log = recovered(&disk.written());
    let mut replica = open::<BatchState, _>(disk.clone(), recovered_log, 1, None).expect("the replica opens");
    replica.propose(&vec![record(0, ItemOutcome::DeadLettered)]).expect("the write succeeds");
    disk.check_written(BATCH_LOG);
}

#[test]
fn a_store_restores_its_state_from_a_stored_log() {
    let replica =
        open(RecordingStorage::default(), recovered(BATCH_LOG), 2, None).expect("the replica opens");
    let settings = store::Settings {
        node_name: "store-1".to_owned(),
        zone: "a".to_owned(),
        address: address(7108),
        coordinators: vec![address(7100)],
        tolerated_machines: 0,
        result_retention: Duration::from_secs(60),
        grace_period: Duration::from_secs(1),
        session: 99,
    };
    let mut now = Duration::from_secs(1);
    let mut node = Store::new(settings, replica, now);
    let mut call = |request| {
        let input = store::Input::Request { token: 6, request };
        run_until(
            &mut node,
            &mut now,
            input,
            || store::Input::Wake,
            |output| match output {
                store::Output::Reply { reply, .. } => Some(reply),
                _ => None,
            },
        )
    };
    let result = |id: &str, outcome| NamedResult { id: id.to_owned(), outcome };
    let results = vec![result("third", completed()), result("first", ItemOutcome::DeadLettered)];
    let read = |start| StoreRequest::ReadResults { job: "job-1".to_owned(), start, wait_ms: 0 };
    let page = ResultsPage { total: 3, results: results.clone() };
    assert_eq!(call(read(0)), StoreReply::Results(page));
    let page = ResultsPage { total: 3, results: results[1..].to_vec() };
    assert_eq!(call(read(1)), StoreReply::Results(page));
    let body = |item: &str| StoreRequest::ReadItemBody { job: "job-1".to_owned(), item: item.to_owned() };
    assert_eq!(call(body("second")), StoreReply::Body(b"{\"prompt\":\"second\"}".to_vec()));
    assert_eq!(call(StoreRequest::SubmitJob(job())), StoreReply::Accepted);
    let mut other = job();
    other.items[1].tokens += 1;
    assert_eq!(call(StoreRequest::SubmitJob(other)), StoreReply::Conflict);
    let mut large = job();
    (large.id, large.items[0].tokens) = ("job-2".to_owned(), 1000);
    assert_eq!(call(StoreRequest::SubmitJob(large)), StoreReply::OverQuota);
    let work = || {
        StoreRequest::Work(WorkRequest {
            gateway: "gateway-1".to_owned(),
            running: Vec::new(),
            finished: Vec::new(),
            capacity: 5,
            load: GatewayLoad { live_requests: 0.0, slots: 100 },
            zone: "a".to_owned(),
            load_address: address(7200),
            peers_digest: 0,
            zone_loads: Vec::new(),
        })
    };
    // Retries the request until an item is granted.
    let granted = (0..1000).find_map(|_| match call(work()) {
        StoreReply::Work(reply) => reply.granted.into_iter().next(),
        _ => None,
    });
    let granted = granted.expect("the item without a result");
    assert_eq!(granted.id, ItemId { job: "job-1".to_owned(), item: 1 });
    assert_eq!((granted.host.as_str(), granted.route.as_str()), ("x.example", "nightly"));
    assert_eq!((granted.item, granted.accepted_at_ms), (item("second", 230), 1_700_000_000_123));
}
