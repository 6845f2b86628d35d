//! Several processes of one store: replicas follow, state their lag, and are promoted; the former writer returns.

mod common;

use common::*;
use marblecroft_test_support::Port;
use std::net::SocketAddr;
use std::path::PathBuf;

struct Member {
    folder: PathBuf,
    addr: SocketAddr,
    /// Reserved before the start, since the processes are configured with each other's addresses.
    _port: Port,
}

impl Member {
    fn new() -> Member {
        let port = Port::held();
        Member { folder: folder(), addr: port.addr, _port: port }
    }

    fn start(&self, more: &str) -> ServiceProcess {
        ServiceProcess::start(
            &self.folder,
            &config(&self.addr.to_string(), &self.folder, &format!(r#","stale_ms":1000{more}"#)),
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
fn a_replica_serves_with_its_lag_until_it_is_stale() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let writer = first.start("");
    let mut operator = writer.client();
    assert_eq!(operator.register("s-1", 80, r#","lease_ms":3000"#).status, 200);
    let replica = second.start(&format!(r#","follow":"{}""#, first.addr));
    let mut reader = replica.client();
    wait_until("it has the list", || list(&mut reader).status == 200);
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
    // It writes nothing itself, and records no expiry.
    let rejected = reader.register("s-3", 82, "");
    assert_eq!(rejected.status, 503);
    assert!(rejected.body.contains("follows another"), "{rejected:?}");
    // Without the writer it serves until it is stale.
    writer.kill();
    wait_until("it is stale", || list(&mut reader).status == 503);
    assert_eq!(status(&mut reader, "role"), "follows");
    // The writer returns with its state, and the replica continues from its own version.
    let writer = first.start("");
    wait_until("it follows again", || list(&mut reader).status == 200);
    assert_eq!(list(&mut reader).json()["version"], status(&mut writer.client(), "version"));
    // A restarted replica has its state, but serves it only once it is in sync.
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
    let (as_first, as_second) = (peers(&second), format!(r#"{},"follow":"{}""#, peers(&first), first.addr));
    let replica = second.start(&as_second);
    let writer = first.start(&as_first);
    let (mut old, mut new) = (writer.client(), replica.client());
    wait_until("its peer has answered", || old.register("s-1", 80, "").status == 200);
    wait_until("it is replicated", || ids_of(&mut new) == ["s-1"]);
    let before = list(&mut old).json()["version"].as_u64().expect("a version");
    writer.kill();
    // An epoch that is not higher is rejected.
    assert_eq!(new.post("/discovery/promote", r#"{"epoch":0}"#).status, 409);
    assert_eq!(new.post("/discovery/promote", r#"{"epoch":"x"}"#).status, 400);
    let promoted = new.post("/discovery/promote", r#"{"epoch":1}"#);
    assert_eq!((promoted.status, promoted.json()["role"].as_str()), (200, Some("writes")));
    assert_eq!(new.register("s-2", 81, "").status, 200);
    // A reader with a version of the former writer gets the full list.
    let full_list = new.get(&format!("/discovery/hosts?since={before}&timeout_ms=0")).json();
    assert_eq!((full_list["full"].as_bool(), full_list["epoch"].as_u64()), (Some(true), Some(1)));
    assert!(full_list["version"].as_u64() > Some(before));

    // The former writer returns: it polls its peer first, and neither writes nor serves.
    let writer = first.start(&as_first);
    let mut old = writer.client();
    assert_eq!(old.register("s-9", 99, "").status, 503);
    wait_until("it is superseded", || status(&mut old, "role") == "superseded");
    assert_eq!((old.register("s-9", 99, "").status, list(&mut old).status), (503, 503));
    // Configured to follow, it takes over the new writer's state.
    drop(writer);
    let writer = first.start(&format!(r#"{as_first},"follow":"{}""#, second.addr));
    let mut old = writer.client();
    wait_until("it is in sync", || ids_of(&mut old) == ["s-1", "s-2"]);
    assert_eq!(status(&mut old, "epoch"), 1);
    // The promotion outlasts a restart, whatever the configuration says.
    drop(replica);
    let replica = second.start(&as_second);
    let mut new = replica.client();
    wait_until("its peer has answered", || new.register("s-3", 82, "").status == 200);
    wait_until("the other has it", || ids_of(&mut old) == ["s-1", "s-2", "s-3"]);
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
fn a_writer_without_peers_stops_and_learns_of_a_promotion_after_the_partition() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let as_first = format!(r#","peers":["{}"]"#, second.addr);
    let as_second = format!(r#","peers":["{}"],"follow":"{0}""#, first.addr);
    let writer = first.start(&as_first);
    let mut old = writer.client();
    assert_eq!(old.register("s-1", 80, "").status, 503, "its peer has not confirmed that it may write");
    assert_eq!(list(&mut old).status, 503, "and its state may be stale");
    let replica = second.start(&as_second);
    wait_until("its peer has answered", || old.register("s-1", 80, "").status == 200);
    wait_until("it is replicated", || ids_of(&mut replica.client()) == ["s-1"]);
    replica.kill();
    wait_until("its peer has been silent for too long", || {
        old.post("/discovery/renew", r#"{"id":"s-1"}"#).status == 503
    });
    assert_eq!(ids_of(&mut old), ["s-1"], "it still serves");
    // Meanwhile the other side of the partition has been promoted.
    let apart = second.start("");
    let mut new = apart.client();
    assert_eq!(new.post("/discovery/promote", r#"{"epoch":7}"#).status, 200);
    wait_until("it is superseded", || status(&mut old, "role") == "superseded");
    let rejected = old.register("s-9", 99, "");
    assert_eq!(rejected.status, 503);
    assert!(rejected.body.contains("epoch 7"), "{rejected:?}");
    for member in [first, second] {
        remove_folder(member.folder);
    }
}
