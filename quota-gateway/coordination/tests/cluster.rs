//! Real processes of the service: killed, stopped and woken, restarted, without their disk, restored; and their clients.

use marblecroft_coordination::client::{CallError, Client};
use marblecroft_coordination::state::{Changes, Done, Op, Owner, Refused, Token};
use marblecroft_coordination::wire::{encode, Channel, Message, Request, Response, Status};
use marblecroft_test_support::Port;
use std::fs;
use std::future::Future;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_marblecroft-coordination-server");
/// Bound of every wait; only a failure takes that long.
const LONG: Duration = Duration::from_secs(30);
const TTL: Duration = Duration::from_millis(2000);

struct Member {
    child: Option<Child>,
    addr: String,
    folder: PathBuf,
    /// It must come back at its address.
    _port: Port,
}

impl Member {
    fn new(root: &Path, number: usize) -> Member {
        let folder = root.join(number.to_string());
        fs::create_dir_all(&folder).expect("a folder");
        let port = Port::held();
        let addr = port.addr.to_string();
        let config = format!(
            "listen = {addr:?}\ndata = {:?}\nheartbeat_ms = 50\nelection_ms = 300\nsnapshot_every = 100\nmetrics = \"127.0.0.1:0\"\n",
            folder.join("data")
        );
        fs::write(folder.join("config.toml"), config).expect("written");
        Member { child: None, addr, folder, _port: port }
    }

    fn start(&mut self) {
        let log =
            fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).expect("a log");
        let config = self.folder.join("config.toml");
        let child = Command::new(PROGRAM).arg("run").arg(config).stderr(Stdio::from(log)).spawn();
        self.child = Some(child.expect("it starts"));
        until("it listens", || TcpStream::connect(&self.addr).is_ok());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    fn status(&self) -> Option<Status> {
        let told = run(&["--at", &self.addr, "status"]);
        let text = String::from_utf8_lossy(&told.stdout).into_owned();
        serde_json::from_str(text.trim().split_once(' ')?.1).ok()
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).output().expect("it runs")
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "waited too long until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A cluster that has begun; its processes end with it.
struct Cluster {
    root: PathBuf,
    members: Vec<Member>,
}

impl Cluster {
    fn new(size: usize) -> Cluster {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("marblecroft-coord-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let root = std::env::temp_dir().join(name);
        let mut members: Vec<Member> = (0..size).map(|number| Member::new(&root, number)).collect();
        members.iter_mut().for_each(Member::start);
        let cluster = Cluster { root, members };
        let begun = run(&["--at", &cluster.addrs().join(","), "begin"]);
        assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
        cluster
    }

    fn addrs(&self) -> Vec<String> {
        self.members.iter().map(|member| member.addr.clone()).collect()
    }

    /// Who leads, once somebody does; not one that a signal keeps from answering.
    fn leader(&self) -> usize {
        let mut leader = None;
        until("somebody leads", || {
            leader = (0..self.members.len())
                .filter(|i| self.members[*i].child.is_some())
                .find(|i| self.members[*i].status().is_some_and(|status| status.leads));
            leader.is_some()
        });
        leader.expect("just seen")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(Member::kill);
        drop(fs::remove_dir_all(&self.root));
    }
}

fn play<T>(what: impl Future<Output = T>) -> T {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(what)
}

fn put(key: &str, value: u64, expect: u64) -> Op {
    let value = value.to_le_bytes().to_vec();
    Op::Put { key: key.to_owned(), value, expect: Some(expect), owner: Owner::Nobody }
}

/// Each step names the revision of the one before, so a step that took effect twice, or was lost, breaks the chain.
async fn chain(client: &Client, from: (u64, u64), steps: u64) -> (u64, u64) {
    let (mut value, mut at) = from;
    for _ in 0..steps {
        value += 1;
        match client.call(put("chain", value, at), LONG).await {
            Ok(Done::At(revision)) => at = revision,
            other => panic!("step {value}: {other:?}"),
        }
    }
    (value, at)
}

#[test]
fn leaders_are_killed_and_everything_takes_effect_once() {
    let mut cluster = Cluster::new(3);
    let client = Client::new(cluster.addrs());
    play(async {
        let mut at = chain(&client, (0, 0), 20).await;
        for _ in 0..3 {
            let leader = cluster.leader();
            cluster.members[leader].kill();
            at = chain(&client, at, 20).await;
            cluster.members[leader].start();
        }
        // More than the log keeps: who was away learns from a snapshot.
        let leader = cluster.leader();
        let away = (leader + 1) % 3;
        cluster.members[away].kill();
        at = chain(&client, at, 400).await;
        cluster.members[away].start();
        let (_, values) = client.read("chain", LONG).await.expect("read");
        assert_eq!(values, [("chain".to_owned(), at.0.to_le_bytes().to_vec(), at.1)]);
        until("it has caught up", || {
            let (one, other) = (cluster.members[away].status(), cluster.members[leader].status());
            one.zip(other).is_some_and(|(one, other)| one.applied >= other.applied && one.revision > 0)
        });
    });
    let status = cluster.members[cluster.leader()].status().expect("answers");
    assert!(status.writes > 0 && status.members.len() == 3 && status.dropped_frames == 0, "{status:?}");
}

#[test]
fn a_lock_goes_on_under_a_higher_token_and_the_old_holder_has_stopped_before() {
    let cluster = Cluster::new(3);
    play(async {
        let (one, two) = (Client::new(cluster.addrs()), Client::new(cluster.addrs()));
        let first = one.session("one", TTL, LONG).await.expect("opens");
        let second = two.session("two", TTL, LONG).await.expect("opens");
        let held = first.acquire("list", LONG).await.expect("granted");
        let token = held.valid_token().expect("it holds it");
        let waits = second.acquire("list", TTL + TTL / 2).await;
        assert!(matches!(waits, Err(CallError::TimedOut)), "renewed for as long as it lives");
        assert!(held.valid_token().is_some());
        // The leader stands still for longer than a session, and wakes: whoever leads by then gives all sessions their time.
        let leader = cluster.leader();
        cluster.members[leader].signal("-STOP");
        tokio::time::sleep(TTL * 2).await;
        cluster.members[leader].signal("-CONT");
        let lived = held.valid_token();
        // Nothing renews it any more: the other has the lock, and only after this one has stopped.
        first.let_lapse();
        let next = second.acquire("list", LONG).await;
        let stopped = held.valid_token();
        let next = next.expect("granted").valid_token().expect("it holds it");
        assert!(next > token && stopped.is_none(), "{token} {next} {lived:?} {stopped:?}");
    });
}

#[test]
fn all_restart_at_once_one_loses_its_disk_and_is_replaced() {
    let mut cluster = Cluster::new(3);
    let client = Client::new(cluster.addrs());
    let before = play(async {
        let session = client.session("one", TTL, LONG).await.expect("opens");
        let lock = session.acquire("list", LONG).await.expect("granted");
        chain(&client, (0, 0), 5).await;
        lock.token()
    });
    cluster.members.iter_mut().for_each(Member::kill);
    cluster.members.iter_mut().for_each(Member::start);
    let lost = (cluster.leader() + 1) % 3;
    let old = cluster.members[lost].status().expect("answers").node;
    cluster.members[lost].kill();
    fs::remove_dir_all(cluster.members[lost].folder.join("data")).expect("its disk");
    cluster.members[lost].start();
    let anew = cluster.members[lost].status().expect("answers");
    assert!(anew.node != old && anew.cluster == 0, "somebody else, who votes for nobody");
    let others: Vec<String> =
        (0..3).filter(|i| *i != lost).map(|i| cluster.members[i].addr.clone()).collect();
    let at = others.join(",");
    for args in [vec!["remove", &format!("{old:016x}")], vec!["add", &cluster.members[lost].addr]] {
        let done = run(&[vec!["--at", &at], args.clone()].concat());
        assert!(done.status.success(), "{args:?}: {}", String::from_utf8_lossy(&done.stderr));
    }
    let status = cluster.members[lost].status().expect("answers");
    assert_eq!(status.members.iter().filter(|(_, _, votes)| *votes).count(), 3);
    play(async {
        let client = Client::new(others);
        let (_, values) = client.read("chain", LONG).await.expect("read");
        assert_eq!(values[0].1, 5u64.to_le_bytes());
        let session = client.session("two", TTL, LONG).await.expect("opens");
        let lock = session.acquire("list", LONG).await.expect("granted, once the old session is over");
        assert!(lock.token() > before);
    });
}

#[test]
fn a_process_that_has_not_got_the_log_is_no_voter() {
    let cluster = Cluster::new(3);
    let mut joining = Member::new(&cluster.root, 3);
    joining.start();
    let node = joining.status().expect("answers").node;
    let voters = |member: &Member| {
        let members = member.status().expect("answers").members;
        members.into_iter().filter(|(_, _, votes)| *votes).count()
    };
    play(async {
        let client = Client::new(cluster.addrs());
        let Ok(Response::Identity { cluster: id, .. }) =
            client.send_request(|| Request::Identity, LONG).await
        else {
            panic!("no identity");
        };
        let channel = Channel::connect(&joining.addr, 0).await.expect("connects");
        let joined = channel.call(Request::Join { cluster: id }).await.expect("answers");
        assert!(matches!(joined, Response::Done), "{joined:?}");
        joining.signal("-STOP");
        let add = || Request::Add { node, addr: joining.addr.clone() };
        let added = client.send_request(add, TTL).await;
        assert!(matches!(added, Err(CallError::TimedOut)), "{added:?}");
        assert_eq!(voters(&cluster.members[cluster.leader()]), 3);
        joining.signal("-CONT");
        let added = client.send_request(add, LONG).await;
        assert!(matches!(added, Ok(Response::Done)), "{added:?}");
    });
    assert_eq!(voters(&joining), 4, "it knows by now that it votes");
    joining.kill();
}

#[test]
fn a_service_restored_from_an_older_copy_goes_on_above_the_tokens_that_were_given() {
    let mut cluster = Cluster::new(3);
    let copy = cluster.root.join("copy");
    let newest: Token = play(async {
        let client = Client::new(cluster.addrs());
        chain(&client, (0, 0), 3).await;
        let taken = run(&["--at", &cluster.addrs().join(","), "snapshot", copy.to_str().expect("UTF-8")]);
        assert!(taken.status.success(), "{}", String::from_utf8_lossy(&taken.stderr));
        let session = client.session("one", TTL, LONG).await.expect("opens");
        let mut newest = 0;
        for name in ["a", "b", "c"] {
            newest = session.acquire(name, LONG).await.expect("granted").token();
        }
        newest
    });
    cluster.members.iter_mut().for_each(Member::kill);
    let member = &mut cluster.members[0];
    fs::remove_dir_all(member.folder.join("data")).expect("all lost");
    let data = member.folder.join("data");
    let args = [
        "restore",
        copy.to_str().expect("UTF-8"),
        "--data",
        data.to_str().expect("UTF-8"),
        "--addr",
        &member.addr,
    ];
    let restored = run(&args);
    assert!(restored.status.success(), "{}", String::from_utf8_lossy(&restored.stderr));
    assert_eq!(run(&args).status.code(), Some(1), "a folder that holds a log is not touched");
    member.start();
    play(async {
        let client = Client::new(vec![cluster.members[0].addr.clone()]);
        let (_, values) = client.read("chain", LONG).await.expect("read");
        assert_eq!(values[0].1, 3u64.to_le_bytes());
        let session = client.session("one", TTL, LONG).await.expect("opens");
        assert!(session.acquire("a", LONG).await.expect("granted").token() > newest);
    });
}

#[test]
fn watches_miss_nothing_and_never_go_back_over_a_change_of_leader() {
    let mut cluster = Cluster::new(3);
    play(async {
        let (writer, watcher) = (Client::new(cluster.addrs()), Client::new(cluster.addrs()));
        let (mut since, _) = watcher.read("chain", LONG).await.expect("read");
        let mut seen = Vec::new();
        let mut at = (0, 0);
        for round in 0..3 {
            at = chain(&writer, at, 10).await;
            if round == 1 {
                let leader = cluster.leader();
                cluster.members[leader].kill();
            }
            while seen.len() < at.0 as usize {
                match watcher.changes_since("chain", since, LONG).await.expect("news") {
                    Changes::Changes { upto, changes } => {
                        assert!(upto >= since);
                        seen.extend(changes.iter().map(|(revision, _)| *revision));
                        since = upto;
                    }
                    Changes::Lost { .. } => panic!("not that long ago"),
                }
            }
        }
        assert!(seen.windows(2).all(|pair| pair[0] < pair[1]) && seen.len() == 30, "{seen:?}");
        // What is refused says why, and a batch that fails leaves nothing.
        let both = Op::Batch(vec![put("other", 1, 0), put("chain", 1, 0)]);
        assert_eq!(writer.call(both, LONG).await, Err(CallError::Refused(Refused::Conflict(at.1))));
        assert!(watcher.read("other", LONG).await.expect("read").1.is_empty());
    });
}

/// All are killed as soon as a write is acknowledged, and are back sooner than anybody misses a heartbeat, so that the leader goes
/// on in its old term: what is read then is what was written, as soon as anything is read at all.
#[test]
fn a_leader_that_is_back_in_its_old_term_forgets_nothing_meanwhile() {
    for size in [1, 3] {
        let mut cluster = Cluster::new(size);
        play(async {
            let mut at = (0, 0);
            let writer = Client::new(cluster.addrs());
            for _ in 0..12 {
                at = chain(&writer, at, 3).await;
                let leader = cluster.members[cluster.leader()].addr.clone();
                cluster.members.iter_mut().for_each(Member::kill);
                // Only one is asked, by somebody who waits for it already.
                let reader = Client::new(vec![leader]);
                let reading = tokio::task::spawn_local(async move { reader.read("chain", LONG).await });
                tokio::time::sleep(Duration::from_millis(10)).await;
                cluster.members.iter_mut().for_each(Member::start);
                let (_, values) = reading.await.expect("no panic").expect("read");
                assert_eq!(values, [("chain".to_owned(), at.0.to_le_bytes().to_vec(), at.1)], "of {size}");
            }
        });
    }
}

/// Five of five lost with all that they had: the service begins anew, by the operator's word, and clients that held locks before
/// open new sessions and get higher tokens, without being started again.
#[test]
fn five_of_five_lost_and_begun_anew_go_on_above_all_tokens() {
    let mut cluster = Cluster::new(5);
    play(async {
        let client = Client::new(cluster.addrs());
        let session = client.session("one", TTL, LONG).await.expect("opens");
        let held = session.acquire("list", LONG).await.expect("granted");
        let before = held.token();
        cluster.members.iter_mut().for_each(Member::kill);
        for member in &mut cluster.members {
            fs::remove_dir_all(member.folder.join("data")).expect("its disk");
            member.start();
        }
        let begun = run(&["--at", &cluster.addrs().join(","), "begin"]);
        assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
        // The service has never heard of this client; its first calls tell it so, and the next ones are a new client's.
        let begun = Instant::now();
        let session = loop {
            match client.session("one", TTL, LONG).await {
                Ok(session) => break session,
                Err(CallError::Refused(Refused::Forgotten)) => {}
                Err(e) => panic!("{e}"),
            }
            assert!(begun.elapsed() < LONG);
        };
        let again = session.acquire("list", LONG).await.expect("granted");
        assert!(again.token() > before);
        // The old holder may not have heard of it yet; its session's time is all that is left to it.
        tokio::time::sleep(TTL).await;
        assert!(held.valid_token().is_none(), "its session is of a service that is gone");
        // A renewal may be late beside load, and the holder stops acting meanwhile; the service renews the same session.
        let slept = Instant::now();
        while again.valid_token().is_none() {
            assert!(slept.elapsed() < LONG, "its session is renewed");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(held.valid_token().is_none());
    });
}

/// The service numbers sessions from 1 again where it begins anew: the number of a session from before is another owner's.
#[test]
fn a_session_counts_only_in_the_cluster_that_opened_it() {
    let mut cluster = Cluster::new(1);
    play(async {
        let (one, two) = (Client::new(cluster.addrs()), Client::new(cluster.addrs()));
        let earlier = one.session("one", TTL, LONG).await.expect("opens");
        let held = earlier.acquire("list", LONG).await.expect("granted");
        let member = &mut cluster.members[0];
        member.kill();
        fs::remove_dir_all(member.folder.join("data")).expect("its disk");
        member.start();
        let begun = run(&["--at", &member.addr, "begin"]);
        assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
        let later = two.session("two", TTL, LONG).await.expect("opens");
        assert_eq!(later.id(), earlier.id());
        // Renewals of the later session do not renew the earlier one.
        tokio::time::sleep(TTL).await;
        for _ in 0..20 {
            assert!(!earlier.is_alive() && held.valid_token().is_none());
            tokio::time::sleep(TTL / 20).await;
        }
        let refused = earlier.acquire("list", LONG).await.map(|lock| lock.token());
        assert_eq!(refused, Err(CallError::Refused(Refused::NoSession)));
        let closed = earlier.close(LONG).await;
        assert_eq!(closed, Err(CallError::Refused(Refused::NoSession)));
        assert!(later.acquire("list", LONG).await.expect("granted").token() > held.token());
    });
}

/// A reader that asks for much and takes nothing costs a bounded part of the service, and nobody else notices.
#[test]
fn a_reader_that_reads_nothing_is_bounded_and_hurts_nobody() {
    let cluster = Cluster::new(1);
    let member = &cluster.members[0];
    play(async {
        let client = Client::new(cluster.addrs());
        for number in 0..32 {
            let op = Op::Put {
                key: format!("big-{number}"),
                value: vec![1; 64 << 10],
                expect: None,
                owner: Owner::Nobody,
            };
            client.call(op, LONG).await.expect("written");
        }
    });
    let status = member.status().expect("answers");
    let mut deaf = TcpStream::connect(&member.addr).expect("it listens");
    for number in 0..500 {
        let read = Request::Read { prefix: "big-".to_owned(), stale: false };
        deaf.write_all(&encode(status.cluster, &Message::Request(number, read)).expect("short"))
            .expect("written");
    }
    let resident = || {
        let pid = member.child.as_ref().expect("it runs").id();
        let text = fs::read_to_string(format!("/proc/{pid}/status")).expect("Linux");
        let line =
            text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size").trim().to_owned();
        line.trim_end_matches(" kB").parse::<u64>().expect("a number") >> 10
    };
    play(async {
        let client = Client::new(cluster.addrs());
        // 500 answers of 2 MiB would be a gigabyte.
        for _ in 0..20 {
            let (_, values) = client.read("big-1", LONG).await.expect("others are served");
            assert_eq!(values.len(), 11);
            assert!(resident() < 200, "{} MiB", resident());
        }
    });
    // It is cut off in the end, and what was kept for it is free.
    deaf.set_read_timeout(Some(LONG)).expect("set");
    until("its place is free", || metric(member, "busy_total{why=\"Bytes\"}") > 0);
}

/// A figure of the page of metrics.
fn metric(member: &Member, name: &str) -> u64 {
    let told = fs::read_to_string(member.folder.join("log")).expect("a log");
    let addr = told.lines().rev().find_map(|line| line.split_once("metrics at http://")).expect("told").1;
    let addr = addr.trim_end_matches("/metrics");
    let mut stream = TcpStream::connect(addr).expect("it listens");
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
    let mut page = String::new();
    stream.read_to_string(&mut page).expect("a page");
    assert!(page.starts_with("HTTP/1.1 200") && page.ends_with("# EOF\n"), "{page}");
    let line = page.lines().find_map(|line| line.strip_prefix(&format!("marblecroft_coordination_{name} ")));
    line.map_or(0, |value| value.parse().expect("a number"))
}

#[test]
fn the_page_of_metrics_tells_what_the_process_does() {
    let cluster = Cluster::new(3);
    play(async {
        let client = Client::new(cluster.addrs());
        let session = client.session("one", TTL, LONG).await.expect("opens");
        let _held = session.acquire("list", LONG).await.expect("granted");
        let leader = &cluster.members[cluster.leader()];
        for (name, least) in [("leads", 1), ("voters", 3), ("sessions", 1), ("locks", 1), ("term", 1)] {
            assert!(metric(leader, name) >= least, "{name}");
        }
        assert!(
            metric(leader, "calls_total{kind=\"Call\"}") >= 2 && metric(leader, "sync_seconds_count") >= 2
        );
    });
}

#[test]
fn strange_frames_and_configurations_are_told_and_change_nothing() {
    let cluster = Cluster::new(1);
    let addr = &cluster.members[0].addr;
    let heads: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n        ",
        b"MDCO\x09\x00",
        b"MDCO\x02\x00\0\0\0\0\0\0\0\0\xff\xff\xff\xff\0\0\0\0",
        b"MD",
    ];
    for head in heads {
        let mut stream = TcpStream::connect(addr).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream.write_all(head).expect("written");
        stream.write_all(&[0; 30]).expect("written");
        let mut rest = Vec::new();
        // Closed without a word; with or without a reset.
        drop(stream.read_to_end(&mut rest));
        assert!(rest.is_empty());
    }
    until("they are counted", || {
        cluster.members[0].status().is_some_and(|status| status.dropped_frames == 4)
    });
    let config = cluster.root.join("config.toml");
    for (text, field) in [
        ("data = \"x\"", "listen"),
        ("listen = \"0.0.0.0:1\"\ndata = \"x\"", "listen"),
        ("listen = \"127.0.0.1:0\"\ndata = \"x\"\nelection_ms = 1", "election_ms"),
        ("listen = \"127.0.0.1:0\"\ndata = \"x\"\nleader = true", "leader"),
        ("listen = \"127.0.0.1:0\"\ndata = \"x\"\nmetrics = \"0.0.0.0:1\"", "metrics"),
        ("listen = \"127.0.0.1:0\"\ndata = \"x\"\n[trial]\nsync_delay_ms = 90000", "trial.sync_delay_ms"),
    ] {
        fs::write(&config, text).expect("written");
        let ran = run(&["run", config.to_str().expect("UTF-8")]);
        let said = String::from_utf8_lossy(&ran.stderr).into_owned();
        assert!(
            ran.status.code() == Some(2) && said.contains(field) && said.trim().lines().count() == 1,
            "{said}"
        );
    }
}
