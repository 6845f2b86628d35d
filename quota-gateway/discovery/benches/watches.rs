//! Measures the cost of a change with 300 watchers and 200 entries, and the duration of a start with a long
//! log. Run with `cargo bench -p marblecroft-discovery --bench watches`. The watchers and the service run on
//! the same machine, and every wait is bounded.

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

/// Returns the CPU time of a single-threaded process, in nanoseconds.
fn cpu_time_ns(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("/proc of Linux");
    text.split(' ').next().and_then(|word| word.parse().ok()).expect("a number")
}

fn resident_memory_kb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).expect("/proc of Linux");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn status(client: &mut Client, field: &str) -> u64 {
    client.get("/discovery/status").json()[field].as_u64().expect("a number")
}

/// Returns the median and the 99th percentile.
fn median_and_p99(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[(values.len() * 99 / 100).min(values.len() - 1)])
}

fn print_median_and_range(name: &str, unit: &str, values: &[f64]) {
    let (min, max) = values.iter().fold((f64::MAX, f64::MIN), |(l, m), &x| (l.min(x), m.max(x)));
    println!("{name}: {:.2} {unit} ({min:.2} to {max:.2})", median_and_p99(values.to_vec()).0);
}

/// Watches the list, and reports the time at which each change arrives.
fn run_watcher(addr: std::net::SocketAddr, mut version: u64, changes: mpsc::Sender<(u64, Instant)>) {
    let mut client = Client::connect(addr);
    loop {
        let request = format!("GET /discovery/hosts?since={version}&timeout_ms=60000 HTTP/1.1\r\n\r\n");
        if client.0.get_mut().write_all(request.as_bytes()).is_err() {
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
    let memory_without_watchers = resident_memory_kb(pid);
    let (sender, receiver) = mpsc::channel();
    for _ in 0..WATCHERS {
        let (addr, sender) = (service.addr, sender.clone());
        thread::Builder::new()
            .stack_size(256 << 10)
            .spawn(move || run_watcher(addr, since, sender))
            .expect("a thread");
    }
    wait_until("all watches wait", || status(&mut operator, "watches") == WATCHERS as u64);
    let memory = (resident_memory_kb(pid) - memory_without_watchers) as f64 / WATCHERS as f64;
    let (cpu_time, bytes, encodings) =
        (cpu_time_ns(pid), status(&mut operator, "bytes_written"), status(&mut operator, "encodings"));
    let (mut delays_of_each, mut delays_of_last) = (Vec::new(), Vec::new());
    for n in 0..CHANGES {
        let (path, id) =
            (if n % 2 == 0 { "drain" } else { "undrain" }, format!(r#"{{"id":"s-{:08x}"}}"#, n / 2));
        let requested_at = Instant::now();
        let response = operator.post(&format!("/discovery/{path}"), &id);
        let revision = response.json()["revision"].as_u64().expect("a revision");
        let mut last_delay = Duration::ZERO;
        for _ in 0..WATCHERS {
            let (version, at) = receiver.recv_timeout(MAX_WAIT).expect("a response to each watch");
            assert!(version >= revision);
            delays_of_each.push((at - requested_at).as_secs_f64() * 1e3);
            last_delay = last_delay.max(at - requested_at);
        }
        delays_of_last.push(last_delay.as_secs_f64() * 1e3);
        wait_until("all watches wait again", || status(&mut operator, "watches") == WATCHERS as u64);
    }
    let delivered = (CHANGES * WATCHERS) as f64;
    let cpu_time = (cpu_time_ns(pid) - cpu_time) as f64 / delivered / 1e3;
    let bytes = (status(&mut operator, "bytes_written") - bytes) as f64 / delivered;
    let encodings = (status(&mut operator, "encodings") - encodings) as f64 / CHANGES as f64;
    println!(
        "  per change: {:.1} encodings; delay until received in ms: median {:.1}, 99th percentile {:.1}; until received by all: median {:.1}, 99th percentile {:.1}",
        encodings, median_and_p99(delays_of_each.clone()).0, median_and_p99(delays_of_each.clone()).1, median_and_p99(delays_of_last.clone()).0, median_and_p99(delays_of_last.clone()).1
    );
    remove_folder(folder);
    [
        cpu_time,
        bytes,
        memory,
        median_and_p99(delays_of_each.clone()).0,
        median_and_p99(delays_of_each).1,
        median_and_p99(delays_of_last).1,
    ]
}

/// Returns the time to restore a store from a long log, in milliseconds.
fn measure_recovery() -> f64 {
    let path = folder().join("data");
    let lock_folder = || Folder::lock(&path).expect("a folder").expect("not locked");
    let (mut journal, _) = Journal::open(lock_folder()).expect("new");
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
    // Several records per write, since each write takes a sync.
    for batch in 0..RECORDS / 100 {
        let records: Vec<Record> = (batch * 100..(batch + 1) * 100).map(record).collect();
        journal.append(&records).expect("written");
    }
    drop(journal);
    let started_at = Instant::now();
    let (journal, recovered) = Journal::open(lock_folder()).expect("intact");
    let store = Store::restore(recovered.snapshot, recovered.records, Duration::ZERO);
    let recovery_ms = started_at.elapsed().as_secs_f64() * 1e3;
    assert_eq!((store.version(), store.len()), (RECORDS, 200));
    drop(journal);
    remove_folder(path);
    recovery_ms
}

fn main() {
    let runs: Vec<[f64; 6]> = (0..RUNS).map(|_| run_once()).collect();
    let figures = [
        ("CPU time per delivered change", "us"),
        ("bytes per delivered change", "bytes"),
        ("memory per waiting watch", "kB"),
        ("delay until received, median", "ms"),
        ("delay until received, 99th percentile", "ms"),
        ("delay until received by all, 99th percentile of the changes", "ms"),
    ];
    println!("{WATCHERS} watchers, {ENTRIES} entries, {CHANGES} changes, median and range of {RUNS} runs:");
    for (n, (name, unit)) in figures.into_iter().enumerate() {
        print_median_and_range(name, unit, &runs.iter().map(|run| run[n]).collect::<Vec<_>>());
    }
    let starts: Vec<f64> = (0..RUNS).map(|_| measure_recovery()).collect();
    print_median_and_range(&format!("start with {RECORDS} records"), "ms", &starts);
}
