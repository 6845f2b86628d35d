//! Tests with several processes of one store: replicas follow the writer, report their lag and are promoted,
//! and a former writer returns.

mod common;

use common::*;
use marblecroft_test_support::Port;
use std::net::SocketAddr;
use std::path::PathBuf;

struct Member {
    folder: PathBuf,
    addr: SocketAddr,
    /// Reserved before the process starts, since the processes are configured with each other's addresses.
    _port: Port,
}

impl Member {
    fn new() -> Member {
        let port = Port::reserve();
        Member { folder: folder(), addr: port.addr, _port: port }
    }

    fn start(&self, extra_fields: &str) -> ServiceProcess {
        ServiceProcess::start(
            &self.folder,
            &config(&self.addr.to_string(), &self.folder, &format!(r#","stale_ms":1000{extra_fields}"#)),
        )
    }
}

fn list(client: &mut Client) -> Response {
    client.get("/discovery/hosts")
}

fn ids(response: &Response) -> Vec<String> {
    let json = response.json();
    let servers = json["servers"].as_array().expect("servers");
    servers.iter().map(|server| server["id"].as_str().expect("an id").to_owned()).collect()
}

fn status(client: &mut Client, field: &str) -> serde_json::Value {
    client.get("/discovery/status").json()[field].clone()
}

#[test]
fn a_replica_reports_its_lag_and_serves_until_it_is_stale() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let writer = first.start("");
    let mut operator = writer.client();
    assert_eq!(operator.register("s-1", 80, r#","lease_ms":3000"#).status, 200);
    let replica = second.start(&format!(r#","follow":"{}""#, first.addr));
    let mut reader = replica.client();
    wait_until("the replica has the list", || list(&mut reader).status == 200);
    let response = list(&mut reader);
    assert_eq!(
        (ids(&response), response.json()["version"].clone()),
        (vec!["s-1".to_owned()], status(&mut operator, "version"))
    );
    assert!(response.head.contains("X-List-Lag-Ms: "), "{response:?}");
    assert!(!list(&mut operator).head.contains("X-List-Lag-Ms"), "the writer has no lag");
    // A watch at the replica reports a change at the writer.
    let since = response.json()["version"].as_u64().expect("a version");
    reader.write(&format!("GET /discovery/hosts?since={since}&timeout_ms=20000 HTTP/1.1\r\n\r\n"));
    assert_eq!(operator.register("s-2", 81, "").status, 200);
    assert_eq!(ids(&reader.response().expect("a change")), ["s-2"]);
    // The replica rejects changes, and does not record expiries itself.
    let rejected = reader.register("s-3", 82, "");
    assert_eq!(rejected.status, 503);
    assert!(rejected.body.contains("follows another"), "{rejected:?}");
    // Without the writer, the replica serves until it is stale.
    writer.kill();
    wait_until("the replica is stale", || list(&mut reader).status == 503);
    assert_eq!(status(&mut reader, "role"), "follows");
    // The writer restarts with its state, and the replica continues from its own version.
    let writer = first.start("");
    wait_until("the replica follows again", || list(&mut reader).status == 200);
    assert_eq!(list(&mut reader).json()["version"], status(&mut writer.client(), "version"));
    // A restarted replica has its state, but serves lists only once it is in sync.
    drop(writer);
    drop(replica);
    let replica = second.start(&format!(r#","follow":"{}""#, first.addr));
    assert_eq!(list(&mut replica.client()).status, 503);
    assert_eq!(status(&mut replica.client(), "servers"), 2);
    for member in [first, second] {
        remove_folder(member.folder);
    }
}

#[test]
fn after_a_promotion_the_former_writer_does_not_write() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let peers = |other: &Member| format!(r#","peers":["{}"]"#, other.addr);
    let (first_config, second_config) =
        (peers(&second), format!(r#"{},"follow":"{}""#, peers(&first), first.addr));
    let replica = second.start(&second_config);
    let writer = first.start(&first_config);
    let (mut old_writer, mut new_writer) = (writer.client(), replica.client());
    wait_until("the peer has responded", || old_writer.register("s-1", 80, "").status == 200);
    wait_until("the change is replicated", || ids_of(&mut new_writer) == ["s-1"]);
    let before = list(&mut old_writer).json()["version"].as_u64().expect("a version");
    writer.kill();
    // An epoch that is not higher is rejected.
    assert_eq!(new_writer.post("/discovery/promote", r#"{"epoch":0}"#).status, 409);
    assert_eq!(new_writer.post("/discovery/promote", r#"{"epoch":"x"}"#).status, 400);
    let promoted = new_writer.post("/discovery/promote", r#"{"epoch":1}"#);
    assert_eq!((promoted.status, promoted.json()["role"].as_str()), (200, Some("writes")));
    assert_eq!(new_writer.register("s-2", 81, "").status, 200);
    // A reader with a version of the former writer gets the full list.
    let full_list = new_writer.get(&format!("/discovery/hosts?since={before}&timeout_ms=0")).json();
    assert_eq!((full_list["full"].as_bool(), full_list["epoch"].as_u64()), (Some(true), Some(1)));
    assert!(full_list["version"].as_u64() > Some(before));

    // The former writer restarts and polls its peer first. It rejects changes and list requests.
    let writer = first.start(&first_config);
    let mut old_writer = writer.client();
    assert_eq!(old_writer.register("s-9", 99, "").status, 503);
    wait_until("the former writer is superseded", || status(&mut old_writer, "role") == "superseded");
    assert_eq!((old_writer.register("s-9", 99, "").status, list(&mut old_writer).status), (503, 503));
    // Configured to follow, the former writer replicates the new writer's state.
    drop(writer);
    let writer = first.start(&format!(r#"{first_config},"follow":"{}""#, second.addr));
    let mut old_writer = writer.client();
    wait_until("the former writer is in sync", || ids_of(&mut old_writer) == ["s-1", "s-2"]);
    assert_eq!(status(&mut old_writer, "epoch"), 1);
    // The promotion survives a restart and overrides the configuration.
    drop(replica);
    let replica = second.start(&second_config);
    let mut new_writer = replica.client();
    wait_until("the peer has responded", || new_writer.register("s-3", 82, "").status == 200);
    wait_until("the other process has the change", || ids_of(&mut old_writer) == ["s-1", "s-2", "s-3"]);
    for member in [first, second] {
        remove_folder(member.folder);
    }
}

fn ids_of(client: &mut Client) -> Vec<String> {
    let response = list(client);
    if response.status == 200 {
        ids(&response)
    } else {
        Vec::new()
    }
}

#[test]
fn a_writer_without_reachable_peers_rejects_changes_and_is_superseded_after_the_partition() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let first_config = format!(r#","peers":["{}"]"#, second.addr);
    let second_config = format!(r#","peers":["{}"],"follow":"{0}""#, first.addr);
    let writer = first.start(&first_config);
    let mut old_writer = writer.client();
    assert_eq!(
        old_writer.register("s-1", 80, "").status,
        503,
        "the peer has not confirmed that this process may write"
    );
    assert_eq!(list(&mut old_writer).status, 503, "its state may be stale");
    let replica = second.start(&second_config);
    wait_until("the peer has responded", || old_writer.register("s-1", 80, "").status == 200);
    wait_until("the change is replicated", || ids_of(&mut replica.client()) == ["s-1"]);
    replica.kill();
    wait_until("the peer has not responded for too long", || {
        old_writer.post("/discovery/renew", r#"{"id":"s-1"}"#).status == 503
    });
    assert_eq!(ids_of(&mut old_writer), ["s-1"], "the writer still serves lists");
    // Meanwhile, the process on the other side of the partition has been promoted.
    let isolated = second.start("");
    let mut new_writer = isolated.client();
    assert_eq!(new_writer.post("/discovery/promote", r#"{"epoch":7}"#).status, 200);
    wait_until("the former writer is superseded", || status(&mut old_writer, "role") == "superseded");
    let rejected = old_writer.register("s-9", 99, "");
    assert_eq!(rejected.status, 503);
    assert!(rejected.body.contains("epoch 7"), "{rejected:?}");
    for member in [first, second] {
        remove_folder(member.folder);
    }
}
