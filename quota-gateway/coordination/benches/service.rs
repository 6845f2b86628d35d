//! What the service costs and how fast it is: `cargo bench -p marblecroft-coordination --bench service`. Three real processes on
//! this machine and its disk, clients in this process; bounded. Each figure is a median with the least and the most of the plays.

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
const LONG: Duration = Duration::from_secs(30);
const PLAYS: usize = 5;
const GRANTS: usize = 400;
const CALLERS: usize = 64;
const BUSY: Duration = Duration::from_secs(2);
const RENEWING: Duration = Duration::from_secs(4);
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
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("a log");
        let mut command = Command::new(PROGRAM);
        command.arg("run").arg(self.folder.join("config.toml")).stderr(Stdio::from(log));
        self.child = Some(command.spawn().expect("it starts"));
        let begun = Instant::now();
        while TcpStream::connect(&self.addr).is_err() {
            assert!(begun.elapsed() < LONG, "it listens");
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
        self.child.as_ref().expect("it runs").id()
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.pid().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn leads(&self) -> bool {
        let told = Command::new(PROGRAM).args(["--at", &self.addr, "status"]).output().expect("it runs");
        String::from_utf8_lossy(&told.stdout).contains("\"leads\":true")
    }

    fn bytes(&self) -> u64 {
        let data = fs::read_dir(self.folder.join("data")).expect("a folder");
        data.filter_map(|entry| entry.ok()?.metadata().ok()).map(|meta| meta.len()).sum()
    }
}

struct Cluster {
    root: PathBuf,
    members: Vec<Member>,
}

impl Cluster {
    fn new(name: &str, more: &str) -> Cluster {
        let root =
            std::env::temp_dir().join(format!("marblecroft-coord-bench-{}-{name}", std::process::id()));
        let mut members = Vec::new();
        for i in 0..3 {
            let folder = root.join(i.to_string());
            fs::create_dir_all(&folder).expect("a folder");
            let port = Port::held();
            let addr = port.addr.to_string();
            let data = folder.join("data");
            let config = format!("listen = {addr:?}\ndata = {data:?}\n{more}");
            fs::write(folder.join("config.toml"), config).expect("written");
            let mut member = Member { child: None, addr, folder, _port: port };
            member.start();
            members.push(member);
        }
        let cluster = Cluster { root, members };
        let begun = Command::new(PROGRAM).args(["--at", &cluster.addrs().join(","), "begin"]).output();
        assert!(begun.expect("it runs").status.success());
        cluster
    }

    fn addrs(&self) -> Vec<String> {
        self.members.iter().map(|member| member.addr.clone()).collect()
    }

    fn others(&self, than: usize) -> Vec<String> {
        (0..3).filter(|i| *i != than).map(|i| self.members[i].addr.clone()).collect()
    }

    fn leader(&self) -> usize {
        let begun = Instant::now();
        loop {
            let up = |i: &usize| self.members[*i].child.is_some() && self.members[*i].leads();
            match (0..self.members.len()).find(up) {
                Some(leader) => return leader,
                None => assert!(begun.elapsed() < LONG, "somebody leads"),
            }
        }
    }

    /// Processor time of all members so far, in seconds.
    fn on_core(&self) -> f64 {
        let of = |pid: u32| {
            let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("Linux");
            let each = tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("schedstat")).ok());
            each.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok()).sum::<u64>()
        };
        self.members.iter().map(|member| of(member.pid())).sum::<u64>() as f64 / 1e9
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(Member::kill);
        drop(fs::remove_dir_all(&self.root));
    }
}

fn play<T>(what: impl std::future::Future<Output = T>) -> T {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(what)
}

fn put(key: String, value: u64) -> Op {
    Op::Put { key, value: value.to_le_bytes().to_vec(), expect: None, owner: Owner::Nobody }
}

fn spread(name: &str, unit: &str, mut all: Vec<f64>) {
    all.sort_by(f64::total_cmp);
    let (least, most) = (all[0], all[all.len() - 1]);
    println!("{name}: {:.2} {unit} ({least:.2} to {most:.2})", all[all.len() / 2]);
}

fn quantiles(all: &[Duration]) -> [f64; 3] {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that it takes");
    all.iter().for_each(|took| histogram.saturating_record(took.as_micros().max(1) as u64));
    [0.5, 0.99, 0.999].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}

/// A write of 4 KiB with its sync, on the same disk.
fn syncs(folder: &Path) -> Vec<Duration> {
    let mut file = File::create(folder.join("sync")).expect("a file");
    let each = (0..GRANTS).map(|_| {
        let begun = Instant::now();
        file.write_all(&[7; 4096]).expect("written");
        file.sync_data().expect("synced");
        begun.elapsed()
    });
    each.collect()
}

/// A lock taken and given back, again and again: how long each grant took.
async fn grants(client: &Client) -> Vec<Duration> {
    let session = client.session("bench", Duration::from_secs(5), LONG).await.expect("opens");
    let mut all = Vec::new();
    for _ in 0..GRANTS {
        let begun = Instant::now();
        let lock = session.acquire("list", LONG).await.expect("granted");
        all.push(begun.elapsed());
        lock.release(LONG).await.expect("released");
    }
    all
}

/// Commands a second by many callers on one connection.
async fn commands(client: &Client) -> f64 {
    let done = Rc::new(Cell::new(0u64));
    let until = Instant::now() + BUSY;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (client, done) = (client.clone(), done.clone());
            spawn_local(async move {
                while Instant::now() < until {
                    let written = client.call(put(format!("key-{caller}"), done.get()), LONG).await;
                    assert!(matches!(written, Ok(Done::At(_))), "{written:?}");
                    done.set(done.get() + 1);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("no panic");
    }
    done.get() as f64 / BUSY.as_secs_f64()
}

/// How long until a call is answered again, counted from now, in ms.
async fn answered(addrs: &[String]) -> f64 {
    let client = Client::new(addrs.to_vec());
    let begun = Instant::now();
    client.call(put("again".to_owned(), 1), LONG).await.expect("answered");
    begun.elapsed().as_secs_f64() * 1000.0
}

fn latency_and_rate() {
    let (mut sync, mut grant) = (Vec::new(), Vec::new());
    for _ in 0..PLAYS {
        let cluster = Cluster::new("group", "");
        sync.push(quantiles(&syncs(&cluster.root)));
        play(async {
            let client = Client::new(cluster.addrs());
            grant.push(quantiles(&grants(&client).await));
        });
    }
    for (q, name) in ["median", "99%", "99.9%"].into_iter().enumerate() {
        spread(&format!("one sync of the disk, {name}"), "ms", sync.iter().map(|all| all[q]).collect());
        spread(&format!("a grant, {name}"), "ms", grant.iter().map(|all| all[q]).collect());
    }
}

/// The same commands with what waits written together and with a sync for each, on this disk and on one that is slower.
fn group_commit(delay_ms: u64) {
    let (mut grouped, mut alone) = (Vec::new(), Vec::new());
    for _ in 0..PLAYS {
        for (group, rates) in [(true, &mut grouped), (false, &mut alone)] {
            let trial = format!("[trial]\ngroup_commit = {group}\nsync_delay_ms = {delay_ms}\n");
            let cluster = Cluster::new("group", &trial);
            play(async { rates.push(commands(&Client::new(cluster.addrs())).await) });
        }
    }
    let ratio = grouped.iter().zip(&alone).map(|(grouped, alone)| grouped / alone).collect();
    let of = format!("syncs {delay_ms} ms longer, 64 callers");
    spread(&format!("{of}: commands with group commit"), "/s", grouped);
    spread(&format!("{of}: commands with a sync for each"), "/s", alone);
    spread(&format!("{of}: ratio"), "times", ratio);
}

fn without_a_leader() {
    let (mut killed, mut stopped) = (Vec::new(), Vec::new());
    for _ in 0..PLAYS {
        let mut cluster = Cluster::new("leader", "");
        let leader = cluster.leader();
        play(async { answered(&cluster.addrs()).await });
        cluster.members[leader].kill();
        killed.push(play(async { answered(&cluster.others(leader)).await }));
        cluster.members[leader].start();
        let leader = cluster.leader();
        play(async { answered(&cluster.addrs()).await });
        cluster.members[leader].signal("-STOP");
        stopped.push(play(async { answered(&cluster.others(leader)).await }));
        cluster.members[leader].signal("-CONT");
    }
    spread("without a leader after a kill (elections of 500 to 1000 ms)", "ms", killed);
    spread("without a leader after a stop", "ms", stopped);
}

/// Sessions of 10 s, spread over clients: processor time of all three processes for their renewals.
fn renewals(clients: usize, each: usize) {
    let mut shares = Vec::new();
    for _ in 0..PLAYS {
        let cluster = Cluster::new("renew", "");
        play(async {
            let mut kept = Vec::new();
            for number in 0..clients {
                let client = Client::new(cluster.addrs());
                let opening = (0..each).map(|session| {
                    let (client, name) = (client.clone(), format!("{number}-{session}"));
                    spawn_local(async move { client.session(&name, Duration::from_secs(10), LONG).await })
                });
                for opened in opening.collect::<Vec<_>>() {
                    kept.push(opened.await.expect("no panic").expect("opens"));
                }
            }
            let before = cluster.on_core();
            sleep(RENEWING).await;
            shares.push((cluster.on_core() - before) / RENEWING.as_secs_f64() * 100.0);
            let lives = kept.iter().filter(|session| session.is_alive()).count();
            assert_eq!(lives, clients * each, "all live on");
        });
    }
    let name = format!("renewals of {} sessions of 10 s by {clients} clients, all processes", clients * each);
    spread(&name, "% of a core", shares);
}

fn recovery() {
    let (mut wrote, mut took, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..PLAYS {
        // No snapshot in between: all of the log is read again.
        let mut cluster = Cluster::new("recover", "snapshot_every = 1000000\n");
        let begun = Instant::now();
        play(async {
            let client = Client::new(cluster.addrs());
            let writers: Vec<_> = (0..WRITERS)
                .map(|writer| {
                    let client = client.clone();
                    spawn_local(async move {
                        for number in 0..COMMANDS.div_ceil(WRITERS) {
                            client.call(put(format!("key-{writer}"), number), LONG).await.expect("written");
                        }
                    })
                })
                .collect();
            for writer in writers {
                writer.await.expect("no panic");
            }
        });
        wrote.push(begun.elapsed().as_secs_f64());
        cluster.members.iter_mut().for_each(Member::kill);
        bytes.push(cluster.members[0].bytes() as f64 / COMMANDS as f64);
        let begun = Instant::now();
        cluster.members.iter_mut().for_each(Member::start);
        play(async { answered(&cluster.addrs()).await });
        took.push(begun.elapsed().as_secs_f64() * 1000.0);
    }
    spread("100,000 commands by 512 callers", "s", wrote);
    spread("three killed and started behind 100,000 commands, until a call is answered", "ms", took);
    spread("bytes on disk for each command", "bytes", bytes);
}

fn main() {
    // One of them alone, where it is named.
    if std::env::args().any(|arg| arg == "group") {
        group_commit(0);
        group_commit(5);
        return;
    }
    without_a_leader();
    latency_and_rate();
    group_commit(0);
    group_commit(5);
    renewals(300, 1);
    renewals(100, 100);
    recovery();
}
