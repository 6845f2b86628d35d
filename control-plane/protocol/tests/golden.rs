//! The encodings of messages do not change: each value is encoded and compared with the fixture, and the
//! fixture is decoded and encoded again. Members of a chain that run different releases depend on the stable
//! encodings.

#[path = "../../../testing/support/golden/encoding.rs"]
mod encoding;

use encoding::check;
use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_chain_replication::agreement::{VoteReply, VoteRequest};
use marblecroft_chain_replication::storage::Accepted;
use marblecroft_chain_replication::{Append, AppendReply, Install, Member, Position, Round, Status, View};
use marblecroft_protocol::coordinator::{
    ConfigurationUpdate, ConfigurationUpdates, CoordinatorReply, CoordinatorRequest, Pull, StoreDirective,
    StoreReport, VersionVector,
};
use marblecroft_protocol::load::{LoadUpdate, ServerLoad, ZoneLoad};
use marblecroft_protocol::servers::{Page, Server, ServerList, ServerListVersion};
use marblecroft_protocol::store::{
    FinishedItem, GatewayLoad, GrantedItem, ItemId, NamedResult, Peers, ResultsPage, StoreReply,
    StoreRequest, WorkReply, WorkRequest,
};
use marblecroft_rpc::Bytes;
use std::net::SocketAddr;

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}

fn member(last: u8) -> Member {
    let identity = 0x1122_3344_5566_7700 + u64::from(last);
    Member { address: address(last, 7100), identity, node_name: format!("node-{last}") }
}

fn view() -> View {
    View { number: 300, members: vec![member(3), member(4)], voters: vec![member(4), member(5), member(6)] }
}

fn append() -> Append {
    Append {
        view: view(),
        round: Round { session: 0xa1b2_c3d4_e5f6, number: 77, confirmed: 76 },
        previous: Position { index: 1000, hash: 0xfeed_0001 },
        entries: vec![Bytes(vec![1, 2, 3]), Bytes(Vec::new()), Bytes(vec![0xff; 5])],
        last: Position { index: 1003, hash: 0xfeed_0002 },
        broadcast: Bytes(vec![9, 8]),
    }
}

fn install() -> Install {
    let position = Position { index: 55, hash: 0xabcd_ef01 };
    Install { view: view(), position, machine: Bytes(vec![7, 6, 5, 4]) }
}

fn status() -> Status {
    Status {
        identity: 0x0102_0304_0506,
        view: view(),
        complete: true,
        position: Position { index: 21, hash: 0x9999_8888 },
        committed: false,
        suspect: Some(address(9, 7109)),
        draining: true,
    }
}

fn server(id: &str, last: u8, draining: bool) -> Server {
    Server {
        id: id.to_owned(),
        backend: "chat".to_owned(),
        address: address(last, 8000),
        zone: "zone-b".to_owned(),
        slots: 24,
        draining,
        warmup_left_ms: 1500,
    }
}

fn server_list() -> ServerList {
    let version = ServerListVersion { epoch: 6, sequence: 410 };
    ServerList { version, servers: vec![server("s-1", 20, false), server("s-2", 21, true)] }
}

fn item(id: &str) -> Item {
    Item {
        id: id.to_owned(),
        path: "/batch/p".to_owned(),
        headers: vec![("x-token-usage".to_owned(), "30,12".to_owned()), ("b".to_owned(), "c".to_owned())],
        body: Bytes(b"{\"prompt\":1}".to_vec()),
        tokens: 420,
    }
}

fn job() -> NewJob {
    NewJob {
        id: "job-1".to_owned(),
        route: "nightly".to_owned(),
        host: "x.example".to_owned(),
        items: vec![item("first"), item("second")],
        max_queued_tokens: 670_000,
        accepted_at_ms: 1_700_000_000_123,
        due_after_ms: 8000,
    }
}

fn item_id(job: &str, item: u32) -> ItemId {
    ItemId { job: job.to_owned(), item }
}

fn zone_loads() -> Vec<ZoneLoad> {
    let zone = |zone: &str, in_flight| ZoneLoad { zone: zone.to_owned(), in_flight };
    vec![zone("zone-a", 1.25), zone("zone-b", 17.5)]
}

#[test]
fn requests_to_coordinators_keep_their_bytes() {
    let known_versions = VersionVector {
        configuration_sequence: 12,
        server_list_version: ServerListVersion { epoch: 3, sequence: 45 },
        store_view_number: 6,
    };
    let report = StoreReport {
        node_name: "store-1".to_owned(),
        zone: "zone-c".to_owned(),
        address: address(8, 7108),
        status: status(),
    };
    let prepare = VoteRequest::Prepare { instance: 301, proposal_number: 9 };
    let accept = VoteRequest::Accept { instance: 302, proposal_number: 10, view: view() };
    let values = [
        ("append", CoordinatorRequest::Append(append())),
        ("install", CoordinatorRequest::Install(install())),
        ("prepare", CoordinatorRequest::Vote(prepare)),
        ("accept", CoordinatorRequest::Vote(accept)),
        ("decided", CoordinatorRequest::Vote(VoteRequest::Decided { view: view() })),
        ("status", CoordinatorRequest::Status),
        (
            "join",
            CoordinatorRequest::Join { member: member(7), position: Position { index: 4, hash: 0xbeef } },
        ),
        ("leave", CoordinatorRequest::Leave(0x7766_5544_3322)),
        ("pull", CoordinatorRequest::Pull(Pull { known_versions, wait_ms: 2500 })),
        ("report", CoordinatorRequest::Report(report)),
    ];
    check(include_str!("golden/coordinator_requests.hex"), &values);
}

#[test]
fn replies_of_coordinators_keep_their_bytes() {
    let updates = ConfigurationUpdates {
        fresh: true,
        configuration: Some(ConfigurationUpdate { sequence: 13, body: Bytes(b"{}".to_vec()) }),
        servers: Some(server_list()),
        stores: Some(view()),
        coordinators: vec![address(3, 7103), address(4, 7104)],
    };
    let directive = StoreDirective {
        view: view(),
        fetch_from: Some(address(6, 7106)),
        coordinators: vec![address(1, 7101), address(2, 7102)],
    };
    let accepted = Accepted { proposal_number: 8, view: view() };
    let v6: SocketAddr = "[2001:db8::5]:7100".parse().expect("an address");
    let values = [
        ("held", CoordinatorReply::Append(AppendReply::Accepted { durable_replicas: 3 })),
        ("mismatch", CoordinatorReply::Append(AppendReply::Mismatch(Position { index: 5, hash: 0xaa }))),
        ("stale", CoordinatorReply::Append(AppendReply::StaleView(view()))),
        ("not_member", CoordinatorReply::Append(AppendReply::NotMember)),
        ("storage", CoordinatorReply::Append(AppendReply::StorageError)),
        ("failed", CoordinatorReply::Append(AppendReply::DownstreamFailed(address(5, 7105)))),
        ("promised_none", CoordinatorReply::Vote(VoteReply::Promised(None))),
        ("promised", CoordinatorReply::Vote(VoteReply::Promised(Some(accepted)))),
        ("accepted", CoordinatorReply::Vote(VoteReply::Accepted)),
        ("outbid", CoordinatorReply::Vote(VoteReply::Preempted(400))),
        ("known", CoordinatorReply::Vote(VoteReply::CurrentView(view()))),
        ("unable", CoordinatorReply::Vote(VoteReply::Rejected)),
        ("status", CoordinatorReply::Status(status())),
        ("updates", CoordinatorReply::Updates(updates)),
        ("updates_none", CoordinatorReply::Updates(ConfigurationUpdates::default())),
        ("stores", CoordinatorReply::Stores(directive)),
        ("noted", CoordinatorReply::Acknowledged),
        ("learn", CoordinatorReply::InstallFirst(install())),
        ("not_head", CoordinatorReply::NotHead(Some(v6))),
        ("not_head_none", CoordinatorReply::NotHead(None)),
    ];
    check(include_str!("golden/coordinator_replies.hex"), &values);
}

#[test]
fn requests_to_stores_keep_their_bytes() {
    let completed = FinishedItem {
        id: item_id("job-2", 5),
        outcome: ItemOutcome::Completed("{\"a\":1}\n[DONE]".to_owned()),
    };
    let dead_lettered = FinishedItem { id: item_id("job-3", 6), outcome: ItemOutcome::DeadLettered };
    let work = WorkRequest {
        gateway: "gateway-4".to_owned(),
        running: vec![item_id("job-1", 2), item_id("job-1", 300)],
        finished: vec![completed, dead_lettered],
        capacity: 11,
        load: GatewayLoad { live_requests: 3.75, slots: 96 },
        zone: "zone-a".to_owned(),
        load_address: address(14, 7200),
        peers_digest: 0x1234_5678_9abc_def0,
        zone_loads: zone_loads(),
    };
    let (job_id, item) = ("job-4".to_owned(), "third".to_owned());
    let values = [
        ("append", StoreRequest::Append(append())),
        ("install", StoreRequest::Install(install())),
        ("status", StoreRequest::Status),
        ("fetch", StoreRequest::Fetch),
        ("submit", StoreRequest::SubmitJob(job())),
        ("read", StoreRequest::ReadResults { job: job_id.clone(), start: 17, wait_ms: 900 }),
        ("body", StoreRequest::ReadItemBody { job: job_id.clone(), item }),
        ("end", StoreRequest::EndJob { job: job_id }),
        ("work", StoreRequest::Work(work)),
    ];
    check(include_str!("golden/store_requests.hex"), &values);
}

#[test]
fn replies_of_stores_keep_their_bytes() {
    let result = |id: &str, outcome| NamedResult { id: id.to_owned(), outcome };
    let page = ResultsPage {
        total: 40,
        results: vec![
            result("first", ItemOutcome::Completed("text".to_owned())),
            result("second", ItemOutcome::DeadLettered),
        ],
    };
    let granted = GrantedItem {
        id: item_id("job-1", 1),
        host: "x.example".to_owned(),
        route: "nightly".to_owned(),
        item: item("second"),
        accepted_at_ms: 1_700_000_000_456,
    };
    let work = WorkReply {
        granted: vec![granted],
        stop: vec![item_id("job-2", 8)],
        lease_ms: 2200,
        peers: Some(Peers { digest: 0xd1e5, addresses: vec![address(14, 7200), address(15, 7201)] }),
        zone_loads: zone_loads(),
        gateway_count: 5,
        live_requests: 21.5,
    };
    let values = [
        ("append", StoreReply::Append(AppendReply::Accepted { durable_replicas: 2 })),
        ("status", StoreReply::Status(status())),
        ("state", StoreReply::State(install())),
        ("accepted", StoreReply::Accepted),
        ("over_quota", StoreReply::OverQuota),
        ("conflict", StoreReply::Conflict),
        ("results", StoreReply::Results(page)),
        ("body", StoreReply::Body(vec![1, 2, 0xfe])),
        ("ended", StoreReply::Ended),
        ("not_found", StoreReply::NotFound),
        ("work", StoreReply::Work(work)),
        ("work_none", StoreReply::Work(WorkReply::default())),
        ("not_head", StoreReply::NotHead(Some(address(2, 7102)))),
        ("unavailable", StoreReply::Unavailable),
        ("unknown", StoreReply::OutcomeUnknown),
    ];
    check(include_str!("golden/store_replies.hex"), &values);
}

#[test]
fn load_datagrams_keep_their_bytes() {
    let one = ServerLoad { server_hash: 0x5151_6262, in_flight: 19, prompt_tokens: 4100, failure_share: 31 };
    let other = ServerLoad { server_hash: 0x7373, in_flight: 0, prompt_tokens: 1, failure_share: 255 };
    let update = LoadUpdate { gateway_hash: 0x0a0b_0c0d_0e0f, sequence: 888, servers: vec![one, other] };
    check(include_str!("golden/load.hex"), &[("notice", update)]);
    let [a, b] = <[ZoneLoad; 2]>::try_from(zone_loads()).expect("two zones");
    check(include_str!("golden/zone_out.hex"), &[("a", a), ("b", b)]);
}

#[test]
fn server_lists_keep_their_bytes() {
    check(
        include_str!("golden/server_list.hex"),
        &[("list", server_list()), ("none", ServerList::default())],
    );
}

#[test]
fn pages_of_the_platform_are_parsed_by_their_member_names() {
    let page = Page::parse(include_str!("golden/page.json")).expect("a page");
    let expected = Page {
        servers: vec![server("s-1", 20, false), server("s-2", 21, true)],
        next: Some("token-2".to_owned()),
    };
    assert_eq!(page, expected);
    let minimal =
        r#"{"instances":[{"id":"i","backend":"b","address":"10.1.2.3:4","zone":"z","state":"ready"}]}"#;
    let page = Page::parse(minimal).expect("a page");
    assert_eq!((page.servers[0].slots, page.servers[0].warmup_left_ms, page.next), (0, 0, None));
    for name in ["id", "backend", "address", "zone", "state", "instances"] {
        let without = minimal.replacen(&format!("\"{name}\":"), "\"other\":", 1);
        assert_eq!(Page::parse(&without), None, "{name}");
    }
}
