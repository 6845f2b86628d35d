//! Benchmark of the latency, throughput and cost of the service:
//! `cargo bench -p marblecroft-coordination --bench service`.
//!
//! Three real processes of the service run on this machine and its disk; the clients run in this process. All
//! loads are bounded. Each result is the median of the runs, with the minimum and the maximum.

use hdrhistogram::Histogram;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::state::{Done, Op, Owner};
use marblecroft_test_support::Port;
use std::cell::Cell;
use std::fs::{self, File};
use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_marblecroft-coordination-server");
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const RUNS: usize = 5;
const GRANTS: usize = 400;
const CALLERS: usize = 64;
const LOAD_DURATION: Duration = Duration::from_secs(2);
const RENEWAL_DURATION: Duration = Duration::from_secs(4);
const COMMANDS: u64 = 100_000;
const WRITERS: u64 = 512;

struct Member {
    child: Option<Child>,
    addr: String,
    folder: PathBuf,
    _port: Port,
}

impl Member {
    fn start(&mut self) {
        let log =
            File::options().create(true).append(true).open(self.folder.join("log")).expect("a log file");
        let mut command = Command::new(PROGRAM);
        command.arg("run").arg(self.folder.join("config.toml")).stderr(Stdio::from(log));
        self.child = Some(command.spawn().expect("the process starts"));
        let started_at = Instant::now();
        while TcpStream::connect(&self.addr).is_err() {
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "the process does not listen");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    fn pid(&self) -> u32 {
        self.child.as_ref().expect("a running process").id()
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.pid().to_string()]).status();
        assert!(sent.expect("kill can be run").success());
    }

    fn is_leader(&self) -> bool {
        let output = Command::new(PROGRAM)
            .args(["--at", &self.addr, "status"])
            .output()
            .expect("the program can be run");
        String::from_utf8_lossy(&output.stdout).contains("\"leads\":true")
    }

    fn data_bytes(&self) -> u64 {
        let data = fs::read_dir(self.folder.join("data")).expect("a folder");
        data.filter_map(|entry| entry.ok()?.metadata().ok()).map(|meta| meta.len()).sum()
    }
}

struct Cluster {
    root: PathBuf,
    members: Vec<Member>,
}

impl Cluster {
    fn new(name: &str, extra_config: &str) -> Cluster {
        let root =
            std::env::temp_dir().join(format!("marblecroft-coord-bench-{}-{name}", std::process::id()));
        let mut members = Vec::new();
        for i in 0..3 {
            let folder = root.join(i.to_string());
            fs::create_dir_all(&folder).expect("a folder is created");
            let port = Port::reserve();
            let addr = port.addr.to_string();
            let data = folder.join("data");
            let config = format!("listen = {addr:?}\ndata = {data:?}\n{extra_config}");
            fs::write(folder.join("config.toml"), config).expect("the configuration is written");
            let mut member = Member { child: None, addr, folder, _port: port };
            member.start();
            members.push(member);
        }
        let cluster = Cluster { root, members };
        let output = Command::new(PROGRAM).args(["--at", &cluster.addrs().join(","), "begin"]).output();
        assert!(output.expect("the program can be run").status.success());
        cluster
    }

    fn addrs(&self) -> Vec<String> {
        self.members.iter().map(|member| member.addr.clone()).collect()
    }

    fn other_addrs(&self, excluded: usize) -> Vec<String> {
        (0..3).filter(|i| *i != excluded).map(|i| self.members[i].addr.clone()).collect()
    }

    fn leader(&self) -> usize {
        let started_at = Instant::now();
        loop {
            let is_leader = |i: &usize| self.members[*i].child.is_some() && self.members[*i].is_leader();
            match (0..self.members.len()).find(is_leader) {
                Some(leader) => return leader,
                None => assert!(started_at.elapsed() < WAIT_TIMEOUT, "there is no leader"),
            }
        }
    }

    /// Returns the CPU time of all members so far, in seconds.
    fn cpu_secs(&self) -> f64 {
        let cpu_nanos = |pid: u32| {
            let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("procfs");
            let schedstats =
                tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("schedstat")).ok());
            schedstats.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok()).sum::<u64>()
        };
        self.members.iter().map(|member| cpu_nanos(member.pid())).sum::<u64>() as f64 / 1e9
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(Member::kill);
        drop(fs::remove_dir_all(&self.root));
    }
}

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(future)
}

fn put(key: String, value: u64) -> Op {
    Op::Put { key, value: value.to_le_bytes().to_vec(), expect: None, owner: Owner::Nobody }
}

/// Prints the median, the minimum and the maximum of the values.
fn print_spread(name: &str, unit: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (min, max) = (values[0], values[values.len() - 1]);
    println!("{name}: {:.2} {unit} ({min:.2} to {max:.2})", values[values.len() / 2]);
}

/// Returns the median, the 99th and the 99.9th percentile, in milliseconds.
fn quantiles(latencies: &[Duration]) -> [f64; 3] {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    latencies.iter().for_each(|latency| histogram.saturating_record(latency.as_micros().max(1) as u64));
    [0.5, 0.99, 0.999].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}

/// Measures writes of 4 KiB, each with its sync, on the same disk.
fn sync_latencies(folder: &Path) -> Vec<Duration> {
    let mut file = File::create(folder.join("sync")).expect("a file");
    let latencies = (0..GRANTS).map(|_| {
        let started_at = Instant::now();
        file.write_all(&[7; 4096]).expect("a successful write");
        file.sync_data().expect("a successful sync");
        started_at.elapsed()
    });
    latencies.collect()
}

/// Acquires and releases a lock repeatedly, and returns the latency of each grant.
async fn grant_latencies(client: &Client) -> Vec<Duration> {
    let session = client.session("bench", Duration::from_secs(5), WAIT_TIMEOUT).await.expect("a session");
    let mut latencies = Vec::new();
    for _ in 0..GRANTS {
        let started_at = Instant::now();
        let lock = session.acquire("list", WAIT_TIMEOUT).await.expect("a grant");
        latencies.push(started_at.elapsed());
        lock.release(WAIT_TIMEOUT).await.expect("the lock is released");
    }
    latencies
}

/// Returns the number of commands per second of many callers on one connection.
async fn commands_per_s(client: &Client) -> f64 {
    let completed = Rc::new(Cell::new(0u64));
    let deadline = Instant::now() + LOAD_DURATION;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (client, completed) = (client.clone(), completed.clone());
            spawn_local(async move {
                while Instant::now() < deadline {
                    let written =
                        client.call(put(format!("key-{caller}"), completed.get()), WAIT_TIMEOUT).await;
                    assert!(matches!(written, Ok(Done::At(_))), "{written:?}");
                    completed.set(completed.get() + 1);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("no panic");
    }
    completed.get() as f64 / LOAD_DURATION.as_secs_f64()
}

/// Returns the time from now until a call of a new client has a reply, in milliseconds.
async fn time_to_reply_ms(addrs: &[String]) -> f64 {
    let client = Client::new(addrs.to_vec());
    let started_at = Instant::now();
    client.call(put("again".to_owned(), 1), WAIT_TIMEOUT).await.expect("a reply");
    started_at.elapsed().as_secs_f64() * 1000.0
}

fn latency_and_rate() {
    let (mut sync_quantiles, mut grant_quantiles) = (Vec::new(), Vec::new());
    for _ in 0..RUNS {
        let cluster = Cluster::new("group", "");
        sync_quantiles.push(quantiles(&sync_latencies(&cluster.root)));
        block_on(async {
            let client = Client::new(cluster.addrs());
            grant_quantiles.push(quantiles(&grant_latencies(&client).await));
        });
    }
    for (q, name) in ["median", "99%", "99.9%"].into_iter().enumerate() {
        print_spread(&format!("disk sync, {name}"), "ms", sync_quantiles.iter().map(|run| run[q]).collect());
        print_spread(
            &format!("lock grant, {name}"),
            "ms",
            grant_quantiles.iter().map(|run| run[q]).collect(),
        );
    }
}

/// Compares the rate of commands with group commit and with one sync per write. Each sync takes `delay_ms`
/// longer than the disk needs.
fn group_commit(delay_ms: u64) {
    let (mut grouped, mut ungrouped) = (Vec::new(), Vec::new());
    for _ in 0..RUNS {
        for (group, rates) in [(true, &mut grouped), (false, &mut ungrouped)] {
            let trial = format!("[trial]\ngroup_commit = {group}\nsync_delay_ms = {delay_ms}\n");
            let cluster = Cluster::new("group", &trial);
            block_on(async { rates.push(commands_per_s(&Client::new(cluster.addrs())).await) });
        }
    }
    let ratio = grouped.iter().zip(&ungrouped).map(|(grouped, ungrouped)| grouped / ungrouped).collect();
    let setup = format!("sync delay {delay_ms} ms, 64 callers");
    print_spread(&format!("{setup}: commands with group commit"), "/s", grouped);
    print_spread(&format!("{setup}: commands with one sync per write"), "/s", ungrouped);
    print_spread(&format!("{setup}: ratio"), "times", ratio);
}

fn time_without_leader() {
    let (mut after_kill, mut after_suspension) = (Vec::new(), Vec::new());
    for _ in 0..RUNS {
        let mut cluster = Cluster::new("leader", "");
        let leader = cluster.leader();
        block_on(async { time_to_reply_ms(&cluster.addrs()).await });
        cluster.members[leader].kill();
        after_kill.push(block_on(async { time_to_reply_ms(&cluster.other_addrs(leader)).await }));
        cluster.members[leader].start();
        let leader = cluster.leader();
        block_on(async { time_to_reply_ms(&cluster.addrs()).await });
        cluster.members[leader].signal("-STOP");
        after_suspension.push(block_on(async { time_to_reply_ms(&cluster.other_addrs(leader)).await }));
        cluster.members[leader].signal("-CONT");
    }
    print_spread("no leader after a kill (election timeout 500 to 1000 ms)", "ms", after_kill);
    print_spread("no leader after a suspension", "ms", after_suspension);
}

/// Measures the CPU time of all three processes for the renewals of sessions of 10 s that are spread over
/// clients.
fn renewal_cost(clients: usize, sessions_per_client: usize) {
    let mut shares = Vec::new();
    for _ in 0..RUNS {
        let cluster = Cluster::new("renew", "");
        block_on(async {
            let mut sessions = Vec::new();
            for number in 0..clients {
                let client = Client::new(cluster.addrs());
                let opening = (0..sessions_per_client).map(|session| {
                    let (client, name) = (client.clone(), format!("{number}-{session}"));
                    spawn_local(
                        async move { client.session(&name, Duration::from_secs(10), WAIT_TIMEOUT).await },
                    )
                });
                for opened in opening.collect::<Vec<_>>() {
                    sessions.push(opened.await.expect("no panic").expect("a session"));
                }
            }
            let before = cluster.cpu_secs();
            sleep(RENEWAL_DURATION).await;
            shares.push((cluster.cpu_secs() - before) / RENEWAL_DURATION.as_secs_f64() * 100.0);
            let alive = sessions.iter().filter(|session| session.is_alive()).count();
            assert_eq!(alive, clients * sessions_per_client, "all sessions are still open");
        });
    }
    let name = format!(
        "renewals of {} sessions of 10 s by {clients} clients, all processes",
        clients * sessions_per_client
    );
    print_spread(&name, "% of a core", shares);
}

fn recovery() {
    let (mut write_secs, mut recovery_ms, mut bytes_per_command) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..RUNS {
        // No snapshot is built, so the complete log is read at the restart.
        let mut cluster = Cluster::new("recover", "snapshot_every = 1000000\n");
        let started_at = Instant::now();
        block_on(async {
            let client = Client::new(cluster.addrs());
            let writers: Vec<_> = (0..WRITERS)
                .map(|writer| {
                    let client = client.clone();
                    spawn_local(async move {
                        for number in 0..COMMANDS.div_ceil(WRITERS) {
                            client
                                .call(put(format!("key-{writer}"), number), WAIT_TIMEOUT)
                                .await
                                .expect("a successful write");
                        }
                    })
                })
                .collect();
            for writer in writers {
                writer.await.expect("no panic");
            }
        });
        write_secs.push(started_at.elapsed().as_secs_f64());
        cluster.members.iter_mut().for_each(Member::kill);
        bytes_per_command.push(cluster.members[0].data_bytes() as f64 / COMMANDS as f64);
        let started_at = Instant::now();
        cluster.members.iter_mut().for_each(Member::start);
        block_on(async { time_to_reply_ms(&cluster.addrs()).await });
        recovery_ms.push(started_at.elapsed().as_secs_f64() * 1000.0);
    }
    print_spread("100,000 commands by 512 callers", "s", write_secs);
    print_spread("restart of all three processes after 100,000 commands, until a reply", "ms", recovery_ms);
    print_spread("bytes on disk per command", "bytes", bytes_per_command);
}

fn main() {
    // With the argument `group`, only the benchmark of group commit runs.
    if std::env::args().any(|arg| arg == "group") {
        group_commit(0);
        group_commit(5);
        return;
    }
    time_without_leader();
    latency_and_rate();
    group_commit(0);
    group_commit(5);
    renewal_cost(300, 1);
    renewal_cost(100, 100);
    recovery();
}
