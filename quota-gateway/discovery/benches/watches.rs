//! What a change costs with 300 watchers and 200 entries, and how long a start takes behind a long log:
//! `cargo bench -p marblecroft-discovery --bench watches`. On one machine, watchers and service together; bounded.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use marblecroft_discovery::format::{Host, State};
use marblecroft_discovery::journal::{Folder, Journal};
use marblecroft_discovery::store::{Record, Store};
use std::fs;
use std::io::Write;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const WATCHERS: usize = 300;
const ENTRIES: u16 = 200;
const CHANGES: usize = 40;
const RUNS: usize = 5;
const RECORDS: u64 = 100_000;

/// Returns the processor time of a single-threaded process, in nanoseconds.
fn cpu_time_ns(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("Linux");
    text.split(' ').next().and_then(|word| word.parse().ok()).expect("a number")
}

fn resident_kb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).expect("Linux");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn status(client: &mut Client, field: &str) -> u64 {
    client.get("/discovery/status").json()[field].as_u64().expect("a number")
}

/// Returns the median and the 99th percentile.
fn median_and_p99(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    (all[all.len() / 2], all[(all.len() * 99 / 100).min(all.len() - 1)])
}

fn print_spread(name: &str, unit: &str, all: &[f64]) {
    let (min, max) = all.iter().fold((f64::MAX, f64::MIN), |(l, m), &x| (l.min(x), m.max(x)));
    println!("{name}: {:.2} {unit} ({min:.2} to {max:.2})", median_and_p99(all.to_vec()).0);
}

/// Watches, and reports when each change arrives.
fn watcher(addr: std::net::SocketAddr, mut version: u64, changes: mpsc::Sender<(u64, Instant)>) {
    let mut client = Client::connect(addr);
    loop {
        let call = format!("GET /discovery/hosts?since={version}&timeout_ms=60000 HTTP/1.1\r\n\r\n");
        if client.0.get_mut().write_all(call.as_bytes()).is_err() {
            return;
        }
        let Some(response) = client.response() else { return };
        let now = Instant::now();
        version = response.json()["version"].as_u64().expect("a version");
        if changes.send((version, now)).is_err() {
            return;
        }
    }
}

fn run_once() -> [f64; 6] {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let pid = service.child.id();
    let mut operator = service.client();
    for n in 0..ENTRIES {
        assert_eq!(
            operator
                .register(&format!("s-{n:08x}"), 1000 + n, r#","zone":"hall-a","kind":"std-2core""#)
                .status,
            200
        );
    }
    let since = operator.get("/discovery/hosts").json()["version"].as_u64().expect("a version");
    let alone = resident_kb(pid);
    let (sender, receiver) = mpsc::channel();
    for _ in 0..WATCHERS {
        let (addr, sender) = (service.addr, sender.clone());
        thread::Builder::new()
            .stack_size(256 << 10)
            .spawn(move || watcher(addr, since, sender))
            .expect("a thread");
    }
    wait_until("all wait", || status(&mut operator, "watches") == WATCHERS as u64);
    let memory = (resident_kb(pid) - alone) as f64 / WATCHERS as f64;
    let (core, bytes, encodings) =
        (cpu_time_ns(pid), status(&mut operator, "bytes_written"), status(&mut operator, "encodings"));
    let (mut each, mut all) = (Vec::new(), Vec::new());
    for n in 0..CHANGES {
        let (path, id) =
            (if n % 2 == 0 { "drain" } else { "undrain" }, format!(r#"{{"id":"s-{:08x}"}}"#, n / 2));
        let asked = Instant::now();
        let answer = operator.post(&format!("/discovery/{path}"), &id);
        let revision = answer.json()["revision"].as_u64().expect("a revision");
        let mut last = Duration::ZERO;
        for _ in 0..WATCHERS {
            let (version, at) = receiver.recv_timeout(MAX_WAIT).expect("each watch is answered");
            assert!(version >= revision);
            each.push((at - asked).as_secs_f64() * 1e3);
            last = last.max(at - asked);
        }
        all.push(last.as_secs_f64() * 1e3);
        wait_until("all wait again", || status(&mut operator, "watches") == WATCHERS as u64);
    }
    let delivered = (CHANGES * WATCHERS) as f64;
    let core = (cpu_time_ns(pid) - core) as f64 / delivered / 1e3;
    let bytes = (status(&mut operator, "bytes_written") - bytes) as f64 / delivered;
    let encodings = (status(&mut operator, "encodings") - encodings) as f64 / CHANGES as f64;
    println!(
        "  a change: {:.1} encodings; received after {:.1} ms in the median, {:.1} at the 99th percentile; by all after {:.1}, {:.1}",
        encodings, median_and_p99(each.clone()).0, median_and_p99(each.clone()).1, median_and_p99(all.clone()).0, median_and_p99(all.clone()).1
    );
    remove_folder(folder);
    [core, bytes, memory, median_and_p99(each.clone()).0, median_and_p99(each).1, median_and_p99(all).1]
}

/// Returns the time to restore a store from a long log, in milliseconds.
fn recovery() -> f64 {
    let path = folder().join("data");
    let take = || Folder::lock(&path).expect("a folder").expect("nobody's");
    let (mut journal, _) = Journal::open(take()).expect("new");
    let host = |n: u64| Host {
        id: format!("s-{:08x}", n % 200),
        addr: ([127, 0, 0, 1], (n % 60_000) as u16).into(),
        zone: "hall-a".into(),
        kind: "std-2core".into(),
        cell: 3,
        state: State::Serving,
        weight: 1.0,
        started_ms: n,
    };
    let record = |n: u64| Record::Put { version: n + 1, host: host(n), lease_ms: Some(10_000) };
    // Several to a write, as one by one would take as many syncs.
    for batch in 0..RECORDS / 100 {
        let records: Vec<Record> = (batch * 100..(batch + 1) * 100).map(record).collect();
        journal.append(&records).expect("written");
    }
    drop(journal);
    let begun = Instant::now();
    let (journal, recovered) = Journal::open(take()).expect("intact");
    let store = Store::restore(recovered.snapshot, recovered.records, Duration::ZERO);
    let took = begun.elapsed().as_secs_f64() * 1e3;
    assert_eq!((store.version(), store.len()), (RECORDS, 200));
    drop(journal);
    remove_folder(path);
    took
}

fn main() {
    let runs: Vec<[f64; 6]> = (0..RUNS).map(|_| run_once()).collect();
    let figures = [
        ("processor time for a change delivered", "us"),
        ("bytes for a change delivered", "bytes"),
        ("memory for a watch that waits", "kB"),
        ("received, median", "ms"),
        ("received, 99th percentile", "ms"),
        ("received by all, 99th percentile of the changes", "ms"),
    ];
    println!("{WATCHERS} watchers, {ENTRIES} entries, {CHANGES} changes, median and spread of {RUNS} runs:");
    for (n, (name, unit)) in figures.into_iter().enumerate() {
        print_spread(name, unit, &runs.iter().map(|run| run[n]).collect::<Vec<_>>());
    }
    let starts: Vec<f64> = (0..RUNS).map(|_| recovery()).collect();
    print_spread(&format!("start behind {RECORDS} records"), "ms", &starts);
}
