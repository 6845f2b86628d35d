//! Tests with real processes of the service and their clients. Processes are killed, suspended and resumed,
//! restarted, started without their disk, and restored from a snapshot.

use marblecroft_coordination::client::{CallError, Client};
use marblecroft_coordination::state::{Changes, Done, Op, OperationError, Owner, Token};
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
/// Time limit of every wait; it is only reached by a failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const TTL: Duration = Duration::from_millis(2000);

struct Member {
    child: Option<Child>,
    addr: String,
    folder: PathBuf,
    /// Reserves the port, because a restarted process must listen on the same address.
    _port: Port,
}

impl Member {
    fn new(root: &Path, number: usize) -> Member {
        let folder = root.join(number.to_string());
        fs::create_dir_all(&folder).expect("a folder is created");
        let port = Port::reserve();
        let addr = port.addr.to_string();
        let config = format!(
            "listen = {addr:?}\ndata = {:?}\nheartbeat_ms = 50\nelection_ms = 300\nsnapshot_every = 100\nmetrics = \"127.0.0.1:0\"\n",
            folder.join("data")
        );
        fs::write(folder.join("config.toml"), config).expect("the configuration is written");
        Member { child: None, addr, folder, _port: port }
    }

    fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log file");
        let config = self.folder.join("config.toml");
        let child = Command::new(PROGRAM).arg("run").arg(config).stderr(Stdio::from(log)).spawn();
        self.child = Some(child.expect("the process starts"));
        wait_until("the process listens", || TcpStream::connect(&self.addr).is_ok());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.as_ref().expect("a running process").id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill can be run").success());
    }

    fn status(&self) -> Option<Status> {
        let output = run(&["--at", &self.addr, "status"]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        serde_json::from_str(text.trim().split_once(' ')?.1).ok()
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).output().expect("the program can be run")
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting until {description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// An initialized cluster. Its processes are killed when it is dropped.
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
        let output = run(&["--at", &cluster.addrs().join(","), "begin"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        cluster
    }

    fn addrs(&self) -> Vec<String> {
        self.members.iter().map(|member| member.addr.clone()).collect()
    }

    /// Waits for a leader and returns its index. Processes that are not running or are suspended are skipped.
    fn leader(&self) -> usize {
        let mut leader = None;
        wait_until("there is a leader", || {
            leader = (0..self.members.len())
                .filter(|i| self.members[*i].child.is_some())
                .find(|i| self.members[*i].status().is_some_and(|status| status.leads));
            leader.is_some()
        });
        leader.expect("a leader was found")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(Member::kill);
        drop(fs::remove_dir_all(&self.root));
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(future)
}

fn put(key: &str, value: u64, expect: u64) -> Op {
    let value = value.to_le_bytes().to_vec();
    Op::Put { key: key.to_owned(), value, expect: Some(expect), owner: Owner::Nobody }
}

/// Writes increasing values to one key. Each write expects the revision of the previous write, so a write
/// that takes effect twice or is lost makes the next one fail.
async fn write_chain(client: &Client, from: (u64, u64), steps: u64) -> (u64, u64) {
    let (mut value, mut last_revision) = from;
    for _ in 0..steps {
        value += 1;
        match client.call(put("chain", value, last_revision), WAIT_TIMEOUT).await {
            Ok(Done::At(revision)) => last_revision = revision,
            other => panic!("write of value {value}: {other:?}"),
        }
    }
    (value, last_revision)
}

#[test]
fn operations_take_effect_once_when_leaders_are_killed() {
    let mut cluster = Cluster::new(3);
    let client = Client::new(cluster.addrs());
    block_on(async {
        let mut written = write_chain(&client, (0, 0), 20).await;
        for _ in 0..3 {
            let leader = cluster.leader();
            cluster.members[leader].kill();
            written = write_chain(&client, written, 20).await;
            cluster.members[leader].start();
        }
        // More entries than the log retains, so that the restarted follower must receive a snapshot.
        let leader = cluster.leader();
        let follower = (leader + 1) % 3;
        cluster.members[follower].kill();
        written = write_chain(&client, written, 400).await;
        cluster.members[follower].start();
        let (_, values) = client.read("chain", WAIT_TIMEOUT).await.expect("the values");
        assert_eq!(values, [("chain".to_owned(), written.0.to_le_bytes().to_vec(), written.1)]);
        wait_until("the follower has caught up", || {
            let (follower, leader) = (cluster.members[follower].status(), cluster.members[leader].status());
            follower
                .zip(leader)
                .is_some_and(|(follower, leader)| follower.applied >= leader.applied && follower.revision > 0)
        });
    });
    let status = cluster.members[cluster.leader()].status().expect("a response");
    assert!(status.writes > 0 && status.members.len() == 3 && status.dropped_frames == 0, "{status:?}");
}

#[test]
fn a_lock_passes_on_with_a_higher_token_only_after_the_old_lease_has_expired() {
    let cluster = Cluster::new(3);
    block_on(async {
        let (first_client, second_client) = (Client::new(cluster.addrs()), Client::new(cluster.addrs()));
        let first = first_client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        let second = second_client.session("two", TTL, WAIT_TIMEOUT).await.expect("a session");
        let held = first.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        let token = held.valid_token().expect("the lock is held");
        let waiting = second.acquire("list", TTL + TTL / 2).await;
        assert!(matches!(waiting, Err(CallError::TimedOut)), "the holder's session is renewed");
        assert!(held.valid_token().is_some());
        // The leader is suspended for longer than the time to live of a session and then resumed. The process
        // that leads by then has given all sessions their full time to live.
        let leader = cluster.leader();
        cluster.members[leader].signal("-STOP");
        tokio::time::sleep(TTL * 2).await;
        cluster.members[leader].signal("-CONT");
        let token_after_resume = held.valid_token();
        // The first session is no longer renewed. The second session gets the lock only after the first lease
        // expired.
        first.stop_renewing();
        let next = second.acquire("list", WAIT_TIMEOUT).await;
        let old_token = held.valid_token();
        let next = next.expect("a grant").valid_token().expect("the lock is held");
        assert!(next > token && old_token.is_none(), "{token} {next} {token_after_resume:?} {old_token:?}");
    });
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_after_all_members_restart() {
    let mut cluster = Cluster::new(3);
    let client = Client::new(cluster.addrs());
    let token_before = block_on(async {
        let session = client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        let lock = session.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        write_chain(&client, (0, 0), 5).await;
        lock.token()
    });
    cluster.members.iter_mut().for_each(Member::kill);
    cluster.members.iter_mut().for_each(Member::start);
    let lost = (cluster.leader() + 1) % 3;
    let old_node = cluster.members[lost].status().expect("a response").node;
    cluster.members[lost].kill();
    fs::remove_dir_all(cluster.members[lost].folder.join("data")).expect("the data folder is removed");
    cluster.members[lost].start();
    let new = cluster.members[lost].status().expect("a response");
    assert!(new.node != old_node && new.cluster == 0, "a new process that belongs to no cluster");
    let others: Vec<String> =
        (0..3).filter(|i| *i != lost).map(|i| cluster.members[i].addr.clone()).collect();
    let at = others.join(",");
    for args in [vec!["remove", &format!("{old_node:016x}")], vec!["add", &cluster.members[lost].addr]] {
        let output = run(&[vec!["--at", &at], args.clone()].concat());
        assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    }
    let status = cluster.members[lost].status().expect("a response");
    assert_eq!(status.members.iter().filter(|(_, _, votes)| *votes).count(), 3);
    block_on(async {
        let client = Client::new(others);
        let (_, values) = client.read("chain", WAIT_TIMEOUT).await.expect("the values");
        assert_eq!(values[0].1, 5u64.to_le_bytes());
        let session = client.session("two", TTL, WAIT_TIMEOUT).await.expect("a session");
        let lock =
            session.acquire("list", WAIT_TIMEOUT).await.expect("a grant after the old session has ended");
        assert!(lock.token() > token_before);
    });
}

#[test]
fn a_process_without_the_log_does_not_become_a_voter() {
    let cluster = Cluster::new(3);
    let mut joining = Member::new(&cluster.root, 3);
    joining.start();
    let node = joining.status().expect("a response").node;
    let voters = |member: &Member| {
        let members = member.status().expect("a response").members;
        members.into_iter().filter(|(_, _, votes)| *votes).count()
    };
    block_on(async {
        let client = Client::new(cluster.addrs());
        let Ok(Response::Identity { cluster: id, .. }) =
            client.send_request(|| Request::Identity, WAIT_TIMEOUT).await
        else {
            panic!("no identity");
        };
        let channel = Channel::connect(&joining.addr, 0).await.expect("a connection");
        let joined = channel.call(Request::Join { cluster: id }).await.expect("a response");
        assert!(matches!(joined, Response::Done), "{joined:?}");
        joining.signal("-STOP");
        let add = || Request::Add { node, addr: joining.addr.clone() };
        let added = client.send_request(add, TTL).await;
        assert!(matches!(added, Err(CallError::TimedOut)), "{added:?}");
        assert_eq!(voters(&cluster.members[cluster.leader()]), 3);
        joining.signal("-CONT");
        let added = client.send_request(add, WAIT_TIMEOUT).await;
        assert!(matches!(added, Ok(Response::Done)), "{added:?}");
    });
    assert_eq!(voters(&joining), 4, "the new member has the entry that makes it a voter");
    joining.kill();
}

#[test]
fn a_service_restored_from_an_older_snapshot_grants_only_higher_tokens() {
    let mut cluster = Cluster::new(3);
    let snapshot = cluster.root.join("copy");
    let highest_token: Token = block_on(async {
        let client = Client::new(cluster.addrs());
        write_chain(&client, (0, 0), 3).await;
        let output =
            run(&["--at", &cluster.addrs().join(","), "snapshot", snapshot.to_str().expect("UTF-8")]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let session = client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        let mut highest_token = 0;
        for name in ["a", "b", "c"] {
            highest_token = session.acquire(name, WAIT_TIMEOUT).await.expect("a grant").token();
        }
        highest_token
    });
    cluster.members.iter_mut().for_each(Member::kill);
    let member = &mut cluster.members[0];
    fs::remove_dir_all(member.folder.join("data")).expect("the data folder is removed");
    let data = member.folder.join("data");
    let args = [
        "restore",
        snapshot.to_str().expect("UTF-8"),
        "--data",
        data.to_str().expect("UTF-8"),
        "--addr",
        &member.addr,
    ];
    let restored = run(&args);
    assert!(restored.status.success(), "{}", String::from_utf8_lossy(&restored.stderr));
    assert_eq!(run(&args).status.code(), Some(1), "a folder that contains a log is not overwritten");
    member.start();
    block_on(async {
        let client = Client::new(vec![cluster.members[0].addr.clone()]);
        let (_, values) = client.read("chain", WAIT_TIMEOUT).await.expect("the values");
        assert_eq!(values[0].1, 3u64.to_le_bytes());
        let session = client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        assert!(session.acquire("a", WAIT_TIMEOUT).await.expect("a grant").token() > highest_token);
    });
}

#[test]
fn watches_report_each_change_once_and_in_order_across_a_change_of_leader() {
    let mut cluster = Cluster::new(3);
    block_on(async {
        let (writer, watcher) = (Client::new(cluster.addrs()), Client::new(cluster.addrs()));
        let (mut since, _) = watcher.read("chain", WAIT_TIMEOUT).await.expect("the values");
        let mut seen = Vec::new();
        let mut written = (0, 0);
        for round in 0..3 {
            written = write_chain(&writer, written, 10).await;
            if round == 1 {
                let leader = cluster.leader();
                cluster.members[leader].kill();
            }
            while seen.len() < written.0 as usize {
                match watcher.changes_since("chain", since, WAIT_TIMEOUT).await.expect("changes") {
                    Changes::Changes { last_revision, changes } => {
                        assert!(last_revision >= since);
                        seen.extend(changes.iter().map(|(revision, _)| *revision));
                        since = last_revision;
                    }
                    Changes::Lost { .. } => panic!("the changes are still retained"),
                }
            }
        }
        assert!(seen.windows(2).all(|pair| pair[0] < pair[1]) && seen.len() == 30, "{seen:?}");
        // A batch that fails reports the reason and changes nothing.
        let batch = Op::Batch(vec![put("other", 1, 0), put("chain", 1, 0)]);
        assert_eq!(
            writer.call(batch, WAIT_TIMEOUT).await,
            Err(CallError::Refused(OperationError::Conflict(written.1)))
        );
        assert!(watcher.read("other", WAIT_TIMEOUT).await.expect("the values").1.is_empty());
    });
}

/// All processes are killed as soon as a write is acknowledged, and restart before an election timeout
/// passes, so that the leader continues in its old term. It must not serve a read before it has applied the
/// acknowledged writes.
#[test]
fn a_leader_that_restarts_in_its_old_term_reads_all_acknowledged_writes() {
    for size in [1, 3] {
        let mut cluster = Cluster::new(size);
        block_on(async {
            let mut written = (0, 0);
            let writer = Client::new(cluster.addrs());
            for _ in 0..12 {
                written = write_chain(&writer, written, 3).await;
                let leader = cluster.members[cluster.leader()].addr.clone();
                cluster.members.iter_mut().for_each(Member::kill);
                // The reader calls only the old leader, and starts before the processes restart.
                let reader = Client::new(vec![leader]);
                let reading =
                    tokio::task::spawn_local(async move { reader.read("chain", WAIT_TIMEOUT).await });
                tokio::time::sleep(Duration::from_millis(10)).await;
                cluster.members.iter_mut().for_each(Member::start);
                let (_, values) = reading.await.expect("no panic").expect("the values");
                assert_eq!(
                    values,
                    [("chain".to_owned(), written.0.to_le_bytes().to_vec(), written.1)],
                    "cluster of {size}"
                );
            }
        });
    }
}

/// All five processes lose their disks, and an operator creates the cluster again. Clients that held locks
/// before open new sessions and get higher tokens without a restart of their own.
#[test]
fn a_cluster_created_again_after_total_loss_grants_higher_tokens() {
    let mut cluster = Cluster::new(5);
    block_on(async {
        let client = Client::new(cluster.addrs());
        let session = client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        let held = session.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        let token_before = held.token();
        cluster.members.iter_mut().for_each(Member::kill);
        for member in &mut cluster.members {
            fs::remove_dir_all(member.folder.join("data")).expect("the data folder is removed");
            member.start();
        }
        let output = run(&["--at", &cluster.addrs().join(","), "begin"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        // The client is not registered with the new cluster. Its first calls return
        // `OperationError::Forgotten`, and the client then registers under a new incarnation.
        let started_at = Instant::now();
        let session = loop {
            match client.session("one", TTL, WAIT_TIMEOUT).await {
                Ok(session) => break session,
                Err(CallError::Refused(OperationError::Forgotten)) => {}
                Err(e) => panic!("{e}"),
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT);
        };
        let new_lock = session.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        assert!(new_lock.token() > token_before);
        // The old holder may not have noticed the loss yet, but its lease expires after its time to live at
        // the latest.
        tokio::time::sleep(TTL).await;
        assert!(held.valid_token().is_none(), "the session belongs to a cluster that no longer exists");
        // Under load, a renewal may be late, and the lock is not valid in the meantime. The same session is
        // renewed later.
        let slept_at = Instant::now();
        while new_lock.valid_token().is_none() {
            assert!(slept_at.elapsed() < WAIT_TIMEOUT, "the session is renewed");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(held.valid_token().is_none());
    });
}

/// A cluster that is created again numbers its sessions from 1, so a number of the earlier cluster may belong
/// to another owner.
#[test]
fn a_session_is_valid_only_in_the_cluster_that_opened_it() {
    let mut cluster = Cluster::new(1);
    block_on(async {
        let (first_client, second_client) = (Client::new(cluster.addrs()), Client::new(cluster.addrs()));
        let earlier = first_client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        let held = earlier.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        let member = &mut cluster.members[0];
        member.kill();
        fs::remove_dir_all(member.folder.join("data")).expect("the data folder is removed");
        member.start();
        let output = run(&["--at", &member.addr, "begin"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let later = second_client.session("two", TTL, WAIT_TIMEOUT).await.expect("a session");
        assert_eq!(later.id(), earlier.id());
        // Renewals of the later session do not renew the earlier one.
        tokio::time::sleep(TTL).await;
        for _ in 0..20 {
            assert!(!earlier.is_alive() && held.valid_token().is_none());
            tokio::time::sleep(TTL / 20).await;
        }
        let acquired = earlier.acquire("list", WAIT_TIMEOUT).await.map(|lock| lock.token());
        assert_eq!(acquired, Err(CallError::Refused(OperationError::NoSession)));
        let closed = earlier.close(WAIT_TIMEOUT).await;
        assert_eq!(closed, Err(CallError::Refused(OperationError::NoSession)));
        assert!(later.acquire("list", WAIT_TIMEOUT).await.expect("a grant").token() > held.token());
    });
}

/// A client that sends many requests and does not read the replies uses a bounded amount of memory, and does
/// not affect other clients.
#[test]
fn a_stalled_reader_uses_bounded_memory_and_does_not_affect_others() {
    let cluster = Cluster::new(1);
    let member = &cluster.members[0];
    block_on(async {
        let client = Client::new(cluster.addrs());
        for number in 0..32 {
            let op = Op::Put {
                key: format!("big-{number}"),
                value: vec![1; 64 << 10],
                expect: None,
                owner: Owner::Nobody,
            };
            client.call(op, WAIT_TIMEOUT).await.expect("a successful write");
        }
    });
    let status = member.status().expect("a response");
    let mut stalled = TcpStream::connect(&member.addr).expect("a connection");
    for number in 0..500 {
        let read = Request::Read { prefix: "big-".to_owned(), stale: false };
        stalled
            .write_all(&encode(status.cluster, &Message::Request(number, read)).expect("a short message"))
            .expect("a successful write");
    }
    let resident_mib = || {
        let pid = member.child.as_ref().expect("a running process").id();
        let text = fs::read_to_string(format!("/proc/{pid}/status")).expect("procfs");
        let line =
            text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size").trim().to_owned();
        line.trim_end_matches(" kB").parse::<u64>().expect("a number") >> 10
    };
    block_on(async {
        let client = Client::new(cluster.addrs());
        // 500 replies of 2 MiB would take about 1 GiB.
        for _ in 0..20 {
            let (_, values) = client.read("big-1", WAIT_TIMEOUT).await.expect("other clients are served");
            assert_eq!(values.len(), 11);
            assert!(resident_mib() < 200, "{} MiB", resident_mib());
        }
    });
    // Requests of the stalled client are rejected because the response budget is exhausted.
    stalled.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout is set");
    wait_until("a request is rejected for its bytes", || metric(member, "busy_total{why=\"Bytes\"}") > 0);
}

/// Returns the value of a metric of a process, or 0 if the metric is absent.
fn metric(member: &Member, name: &str) -> u64 {
    let log = fs::read_to_string(member.folder.join("log")).expect("a log file");
    let addr =
        log.lines().rev().find_map(|line| line.split_once("metrics at http://")).expect("an address").1;
    let addr = addr.trim_end_matches("/metrics");
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").expect("a successful write");
    let mut page = String::new();
    stream.read_to_string(&mut page).expect("the metrics");
    assert!(page.starts_with("HTTP/1.1 200") && page.ends_with("# EOF\n"), "{page}");
    let line = page.lines().find_map(|line| line.strip_prefix(&format!("marblecroft_coordination_{name} ")));
    line.map_or(0, |value| value.parse().expect("a number"))
}

#[test]
fn the_metrics_show_the_state_and_the_work_of_a_process() {
    let cluster = Cluster::new(3);
    block_on(async {
        let client = Client::new(cluster.addrs());
        let session = client.session("one", TTL, WAIT_TIMEOUT).await.expect("a session");
        let _held = session.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        let leader = &cluster.members[cluster.leader()];
        for (name, minimum) in [("leads", 1), ("voters", 3), ("sessions", 1), ("locks", 1), ("term", 1)] {
            assert!(metric(leader, name) >= minimum, "{name}");
        }
        assert!(
            metric(leader, "calls_total{kind=\"Call\"}") >= 2 && metric(leader, "sync_seconds_count") >= 2
        );
    });
}

#[test]
fn invalid_frames_and_configurations_are_reported_and_change_nothing() {
    let cluster = Cluster::new(1);
    let addr = &cluster.members[0].addr;
    let headers: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n        ",
        b"MDCO\x09\x00",
        b"MDCO\x02\x00\0\0\0\0\0\0\0\0\xff\xff\xff\xff\0\0\0\0",
        b"MD",
    ];
    for header in headers {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout is set");
        stream.write_all(header).expect("a successful write");
        stream.write_all(&[0; 30]).expect("a successful write");
        let mut response = Vec::new();
        // The connection is closed without a response, with or without a reset.
        drop(stream.read_to_end(&mut response));
        assert!(response.is_empty());
    }
    wait_until("the invalid frames are counted", || {
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
        fs::write(&config, text).expect("a successful write");
        let output = run(&["run", config.to_str().expect("UTF-8")]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(2) && error.contains(field) && error.trim().lines().count() == 1,
            "{error}"
        );
    }
}
