//! Several processes of one store: replicas follow, state how far behind they are, and are promoted; the old writer returns.

mod common;

use common::*;
use marblecroft_test_support::Port;
use std::net::SocketAddr;
use std::path::PathBuf;

struct Member {
    folder: PathBuf,
    addr: SocketAddr,
    /// The processes are told of each other's addresses before they start.
    _port: Port,
}

impl Member {
    fn new() -> Member {
        let port = Port::held();
        Member { folder: folder(), addr: port.addr, _port: port }
    }

    fn start(&self, more: &str) -> Running {
        Running::start(
            &self.folder,
            &config(&self.addr.to_string(), &self.folder, &format!(r#","stale_ms":1000{more}"#)),
        )
    }
}

fn list(client: &mut Client) -> Answer {
    client.get("/discovery/hosts")
}

fn ids(answer: &Answer) -> Vec<String> {
    let json = answer.json();
    let servers = json["servers"].as_array().expect("servers");
    servers.iter().map(|server| server["id"].as_str().expect("an id").to_owned()).collect()
}

fn status(client: &mut Client, field: &str) -> serde_json::Value {
    client.get("/discovery/status").json()[field].clone()
}

#[test]
fn a_replica_serves_what_the_writer_has_says_how_far_behind_it_is_and_stops_beyond_its_bound() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let writer = first.start("");
    let mut operator = writer.client();
    assert_eq!(operator.register("s-1", 80, r#","lease_ms":3000"#).status, 200);
    let replica = second.start(&format!(r#","follow":"{}""#, first.addr));
    let mut reader = replica.client();
    until("it has the list", || list(&mut reader).status == 200);
    let told = list(&mut reader);
    assert_eq!(
        (ids(&told), told.json()["version"].clone()),
        (vec!["s-1".to_owned()], status(&mut operator, "version"))
    );
    assert!(told.head.contains("X-List-Lag-Ms: "), "{told:?}");
    assert!(!list(&mut operator).head.contains("X-List-Lag-Ms"), "the writer has no lag");
    // A watch at the replica is told of a change at the writer.
    let held = told.json()["version"].as_u64().expect("a version");
    reader.write(&format!("GET /discovery/hosts?since={held}&timeout_ms=20000 HTTP/1.1\r\n\r\n"));
    assert_eq!(operator.register("s-2", 81, "").status, 200);
    assert_eq!(ids(&reader.answer().expect("news")), ["s-2"]);
    // It writes nothing itself, and ends no lease.
    let refused = reader.register("s-3", 82, "");
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("follows another"), "{refused:?}");
    // With the writer gone it serves until its bound, and then no more.
    writer.kill();
    until("it is too far behind", || list(&mut reader).status == 503);
    assert_eq!(status(&mut reader, "role"), "follows");
    // The writer returns with what it had, and the replica follows on from its own version.
    let writer = first.start("");
    until("it follows again", || list(&mut reader).status == 200);
    assert_eq!(list(&mut reader).json()["version"], status(&mut writer.client(), "version"));
    // A replica that starts anew has what it had, but tells it only once it is in step.
    drop(writer);
    drop(replica);
    let replica = second.start(&format!(r#","follow":"{}""#, first.addr));
    assert_eq!(list(&mut replica.client()).status, 503);
    assert_eq!(status(&mut replica.client(), "servers"), 2);
    for member in [first, second] {
        drop(std::fs::remove_dir_all(member.folder));
    }
}

#[test]
fn a_promoted_replica_writes_and_the_old_writer_that_returns_does_not() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let peers = |other: &Member| format!(r#","peers":["{}"]"#, other.addr);
    let (as_first, as_second) = (peers(&second), format!(r#"{},"follow":"{}""#, peers(&first), first.addr));
    let replica = second.start(&as_second);
    let writer = first.start(&as_first);
    let (mut old, mut new) = (writer.client(), replica.client());
    until("its peer has been heard of", || old.register("s-1", 80, "").status == 200);
    until("it is replicated", || ids_of(&mut new) == ["s-1"]);
    let before = list(&mut old).json()["version"].as_u64().expect("a version");
    writer.kill();
    // What is no higher epoch is none.
    assert_eq!(new.post("/discovery/promote", r#"{"epoch":0}"#).status, 409);
    assert_eq!(new.post("/discovery/promote", r#"{"epoch":"x"}"#).status, 400);
    let promoted = new.post("/discovery/promote", r#"{"epoch":1}"#);
    assert_eq!((promoted.status, promoted.json()["role"].as_str()), (200, Some("writes")));
    assert_eq!(new.register("s-2", 81, "").status, 200);
    // Whoever holds a version of the old writer is told everything.
    let whole = new.get(&format!("/discovery/hosts?since={before}&timeout_ms=0")).json();
    assert_eq!((whole["full"].as_bool(), whole["epoch"].as_u64()), (Some(true), Some(1)));
    assert!(whole["version"].as_u64() > Some(before));

    // The old one returns as it was: it asks its peer first, and neither writes nor tells.
    let writer = first.start(&as_first);
    let mut old = writer.client();
    assert_eq!(old.register("s-9", 99, "").status, 503);
    until("it knows", || status(&mut old, "role") == "superseded");
    assert_eq!((old.register("s-9", 99, "").status, list(&mut old).status), (503, 503));
    // Told to follow, it takes over what the new one has.
    drop(writer);
    let writer = first.start(&format!(r#"{as_first},"follow":"{}""#, second.addr));
    let mut old = writer.client();
    until("it is in step", || ids_of(&mut old) == ["s-1", "s-2"]);
    assert_eq!(status(&mut old, "epoch"), 1);
    // The promoted one keeps its part across a restart, whatever its file says it follows.
    drop(replica);
    let replica = second.start(&as_second);
    let mut new = replica.client();
    until("its peer has been heard of", || new.register("s-3", 82, "").status == 200);
    until("the other has it", || ids_of(&mut old) == ["s-1", "s-2", "s-3"]);
    for member in [first, second] {
        drop(std::fs::remove_dir_all(member.folder));
    }
}

fn ids_of(client: &mut Client) -> Vec<String> {
    let answer = list(client);
    if answer.status == 200 {
        ids(&answer)
    } else {
        Vec::new()
    }
}

#[test]
fn a_writer_that_hears_of_no_peer_writes_no_more_and_a_cut_one_learns_of_the_new_one() {
    let [first, second] = [(); 2].map(|()| Member::new());
    let as_first = format!(r#","peers":["{}"]"#, second.addr);
    let as_second = format!(r#","peers":["{}"],"follow":"{0}""#, first.addr);
    let writer = first.start(&as_first);
    let mut old = writer.client();
    assert_eq!(old.register("s-1", 80, "").status, 503, "nobody has said that none writes");
    assert_eq!(list(&mut old).status, 503, "and what it has may be old");
    let replica = second.start(&as_second);
    until("its peer has been heard of", || old.register("s-1", 80, "").status == 200);
    until("it is replicated", || ids_of(&mut replica.client()) == ["s-1"]);
    replica.kill();
    until("it has heard of none for too long", || {
        old.post("/discovery/renew", r#"{"id":"s-1"}"#).status == 503
    });
    assert_eq!(ids_of(&mut old), ["s-1"], "it tells what it has all the same");
    // The other side of the cut has been promoted meanwhile.
    let apart = second.start("");
    let mut new = apart.client();
    assert_eq!(new.post("/discovery/promote", r#"{"epoch":7}"#).status, 200);
    until("the old one hears of it", || status(&mut old, "role") == "superseded");
    let refused = old.register("s-9", 99, "");
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("epoch 7"), "{refused:?}");
    for member in [first, second] {
        drop(std::fs::remove_dir_all(member.folder));
    }
}
