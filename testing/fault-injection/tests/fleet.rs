//! End-to-end tests of the program: real gateways, output and exit codes.

use marblecroft_fault_injection::endpoint::Endpoint;
use marblecroft_fault_injection::history::{Event, Reader};
use serde_json::Value;
use std::fs;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const HARNESS: &str = env!("CARGO_BIN_EXE_marblecroft-fault-injection");

/// A temporary folder of a test, which is removed at its end.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> TempDir {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("marblecroft-lab-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the folder can be created");
        TempDir(path)
    }

    fn scenario(&self, text: &str) -> PathBuf {
        let path = self.0.join("scenario.toml");
        fs::write(&path, text).expect("the file is written");
        path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn harness(args: &[&str]) -> Output {
    Command::new(HARNESS).args(args).output().expect("the harness runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs a scenario. Returns the exit code, the summary in the last line of the output, and the folder of the
/// run.
fn run_scenario(dir: &TempDir, scenario: &str, seed: u64) -> (i32, Value, PathBuf) {
    let (file, out) = (dir.scenario(scenario), dir.0.join(format!("run-{seed}")));
    let finished =
        harness(&["run", &path(&file), "--seed", &seed.to_string(), "--out", &path(&out), "--json"]);
    let summary = text(&finished.stdout);
    let last = summary.lines().last().unwrap_or_default();
    let json =
        serde_json::from_str(last).unwrap_or_else(|e| panic!("{e}: {summary}{}", text(&finished.stderr)));
    (finished.status.code().expect("the process has exited by itself"), json, out)
}

fn path(path: &Path) -> String {
    path.to_str().expect("UTF-8").to_owned()
}

/// The test checks no figure that depends on the speed of the machine, only which outcomes are recorded.
const KILL_ONE_GATEWAY: &str = "[load]\nrate = 40.0\nduration_ms = 4000\n\
                    [[fault]]\nat_ms = 1500\nkind = \"kill\"\ntarget = \"gateways[1]\"\nfor_ms = 500\n";

#[test]
fn a_run_with_a_killed_gateway_can_be_checked_again_and_reported() {
    let dir = TempDir::new();
    let (code, summary, out) = run_scenario(&dir, KILL_ONE_GATEWAY, 1);
    assert_eq!(code, 0, "{summary}");
    let count = |name: &str| summary[name].as_u64().unwrap_or_else(|| panic!("{name}: {summary}"));
    let ends: u64 = ["served", "refused", "failed", "unknown", "lost"].map(count).iter().sum();
    assert_eq!((count("requests"), ends, count("ran_twice")), (160, 160, 0));
    assert!(
        count("served") > 0
            && summary["time_to_full_service_ms"].is_null() | summary["time_to_full_service_ms"].is_u64()
    );
    for name in ["connections", "list_calls", "probes", "renewals", "claims", "attempts"] {
        assert!(summary["peaks"].get(name).is_some(), "{name}");
    }
    let all = marblecroft_fault_injection::checker::INVARIANTS.len()
        + marblecroft_fault_injection::decisions::INVARIANTS.len();
    assert_eq!(summary["invariants"].as_object().map(|results| results.len()), Some(all));

    let again = harness(&["check", &path(&out), "--json"]);
    assert_eq!(again.status.code(), Some(0));
    let checked_again: Value =
        serde_json::from_str(text(&again.stdout).lines().last().unwrap_or_default()).expect("JSON");
    assert_eq!(checked_again, summary, "checking the history again gives the same summary");

    assert_eq!(harness(&["report", &path(&out)]).status.code(), Some(0));
    let page = fs::read_to_string(out.join("report.html")).expect("the report exists");
    assert!(
        page.matches("<svg").count() == 3 && page.contains("never_ran_twice") && !page.contains("http-equiv")
    );
    let compared = harness(&["compare", &path(&out), &path(&dir.0)]);
    assert!(text(&compared.stdout).contains("served_share"), "{compared:?}");

    // With one damaged byte in the history, its position is reported and nothing is checked.
    let mut history = fs::OpenOptions::new()
        .read(true)
        .write(true)
        .open(out.join("history.bin"))
        .expect("the history exists");
    let mut byte = [0];
    history.seek(SeekFrom::Start(5000)).expect("the history is long enough");
    history.read_exact(&mut byte).expect("the history is long enough");
    history.seek(SeekFrom::Start(5000)).expect("the history is long enough");
    history.write_all(&[byte[0] ^ 1]).expect("the file is written");
    let damaged = harness(&["check", &path(&out)]);
    assert_eq!(damaged.status.code(), Some(2));
    assert!(text(&damaged.stderr).contains("byte "), "{damaged:?}");
}

/// A client that retries with the same id has its request run twice if no gateway takes over the work of
/// another one. The harness must detect that. Cuts reset the connections between the clients and two gateways
/// while pay servers work.
#[test]
fn work_that_runs_twice_is_detected() {
    let dir = TempDir::new();
    let scenario = "[load]\nrate = 100.0\nduration_ms = 4000\nunsafe_share = 1.0\ncome_back = true\n\
                    [[fault]]\nat_ms = 1000\nkind = \"cut\"\ntarget = \"gateways[0]\"\nfrom = \"clients\"\n\
                    reset = true\nfor_ms = 300\n\
                    [[fault]]\nat_ms = 2000\nkind = \"cut\"\ntarget = \"gateways[1]\"\nfrom = \"clients\"\n\
                    reset = true\nfor_ms = 300\n";
    let (code, summary, _) = run_scenario(&dir, scenario, 1);
    assert_eq!((code, &summary["invariants"]["never_ran_twice"]), (1, &Value::Bool(false)), "{summary}");
    assert!(summary["ran_twice"].as_u64() > Some(0));
}

#[test]
fn links_are_cut_in_one_direction_and_processes_are_suspended() {
    let dir = TempDir::new();
    let scenario = "[fleet]\npay_servers = 4\n[load]\nrate = 40.0\nduration_ms = 6000\n\
                    [[fault]]\nat_ms = 1000\nkind = \"cut\"\ntarget = \"gateways[1]\"\nfrom = \"pay_servers\"\n\
                    one_way = true\nfor_ms = 1000\n\
                    [[fault]]\nat_ms = 2500\nkind = \"stop\"\ntarget = \"gateways[2]\"\nfor_ms = 3400\n\
                    [[fault]]\nat_ms = 2500\nkind = \"stop\"\ntarget = \"pay_servers[0]\"\nfor_ms = 500\n\
                    [[fault]]\nat_ms = 4000\nkind = \"delay\"\ntarget = \"pay_servers\"\ndelay_ms = 20\nfor_ms = 500\n\
                    [[fault]]\nat_ms = 4700\nkind = \"kill\"\ntarget = \"pay_servers[1]\"\nfor_ms = 500\n\
                    [[fault]]\nat_ms = 5000\nkind = \"wipe\"\ntarget = \"counter\"\n";
    let (code, summary, out) = run_scenario(&dir, scenario, 2);
    assert_eq!(code, 0, "{summary}");
    assert_eq!(
        summary["invariants"]["ceilings_kept"],
        Value::Null,
        "an invariant that cannot be checked is reported as null"
    );
    assert!(summary["failed"].as_u64() > Some(0), "requests to the suspended gateway fail");
    let log = fs::read_to_string(out.join("lab.log")).expect("the log exists");
    assert_eq!(log.matches("a fault begins").count(), 6);
    // Each line of the structured log is a JSON object.
    assert!(log.lines().all(|line| serde_json::from_str::<Value>(line).is_ok()));
}

/// With JSON logs of requests in the gateways' configuration, `check --trace` shows all events and log lines
/// of one request in order.
#[test]
fn a_request_is_followed_by_its_id_through_all_processes() {
    let dir = TempDir::new();
    let scenario = "[fleet]\npay_servers = 2\n[fleet.gateway_config.log]\nform = \"json\"\nrequests = true\n\
                    [load]\nrate = 10.0\nduration_ms = 1000\n";
    let (code, summary, out) = run_scenario(&dir, scenario, 4);
    assert_eq!(code, 0, "{summary}");
    let logs: String = (0..3)
        .map(|i| fs::read_to_string(out.join(format!("logs/gateways[{i}].log"))).expect("the log exists"))
        .collect();
    let served =
        logs.lines().find(|line| line.contains("\"response\":\"served\"")).expect("a request was served");
    let line: Value = serde_json::from_str(served).expect("the line is JSON");
    let followed = text(
        &harness(&[
            "check",
            &path(&out),
            "--trace",
            line["trace"].as_str().expect("the line has a trace id"),
        ])
        .stdout,
    );
    let mut rest = followed.as_str();
    for step in [
        "client: request",
        "request admitted",
        "attempt started",
        "arrived from",
        "runs",
        "Served",
        "request answered",
        "attempt ended",
        "client: Served",
    ] {
        let at = rest.find(step).unwrap_or_else(|| panic!("no {step} in order in\n{followed}"));
        rest = &rest[at + step.len()..];
    }
}

/// A discovery agent that stops responding never answers the requests that reached it meanwhile. If the
/// stand-in answered them after the fault, a gateway would get the servers at once instead of having to
/// request them again.
#[test]
fn requests_to_suspended_discovery_are_never_answered() {
    let dir = TempDir::new();
    let scenario = "[fleet]\ngateways = 2\npay_servers = 3\n[load]\nrate = 20.0\nduration_ms = 5000\n\
                    [[fault]]\nat_ms = 1500\nkind = \"stop\"\ntarget = \"list_service\"\nfor_ms = 1500\n";
    let (code, summary, out) = run_scenario(&dir, scenario, 4);
    assert_eq!(code, 0, "{summary}");
    let mut events = Vec::new();
    let history = Reader::open(&out.join("history.bin"));
    history
        .expect("the history is readable")
        .each(|at| events.push(at.event))
        .expect("the history is complete");
    let fault_end =
        events.iter().position(|e| matches!(e, Event::FaultEnded { .. })).expect("the fault ends");
    for gateway in 0..2 {
        let endpoint = Endpoint::Gateway(gateway);
        let mut after = events[fault_end..].iter();
        let received =
            after.position(|e| matches!(e, Event::DiscoveryReceived { gateway: to, .. } if *to == gateway));
        let received = fault_end + received.expect("the gateway receives the servers again");
        let opened = |e: &Event| matches!(e, Event::Opened { from, to, .. } if *from == endpoint && *to == Endpoint::DiscoveryService(0));
        assert!(
            events[fault_end..received].iter().any(opened),
            "gateway {gateway} received the servers on a connection from before the fault"
        );
    }
}

/// Gateways reach the processes of the discovery service over links too, and the processes lose no
/// acknowledged registration in a restart.
#[test]
fn the_discovery_service_keeps_acknowledged_registrations_across_a_restart() {
    let dir = TempDir::new();
    let scenario = "[fleet]\nlist_service = 2\npay_servers = 4\n[load]\nrate = 30.0\nduration_ms = 5000\n\
                    [[fault]]\nat_ms = 1500\nkind = \"restart\"\ntarget = \"list_service[0]\"\nfor_ms = 300\n";
    let (code, summary, _) = run_scenario(&dir, scenario, 3);
    assert_eq!(
        (code, &summary["invariants"]["nothing_acknowledged_lost"]),
        (0, &Value::Bool(true)),
        "{summary}"
    );
    assert!(summary["served"].as_u64() > Some(0) && summary["peaks"]["renewals"].is_f64(), "{summary}");
}

#[test]
fn missed_expectations_invalid_input_and_failures_have_their_own_exit_codes() {
    let dir = TempDir::new();
    let out = dir.0.join("out");
    let run = |scenario: &str| {
        let finished = harness(&["run", &path(&dir.scenario(scenario)), "--out", &path(&out)]);
        (finished.status.code(), text(&finished.stdout) + &text(&finished.stderr))
    };
    let (code, output) =
        run("[load]\nduration_ms = 1000\n[expect]\nserved_share = 1.0\nfull_service_within_ms = 1\n");
    assert!(code == Some(1) && output.contains("expect.full_service_within_ms"), "{output}");
    let (code, output) = run("[fleet]\nnodes = 3\n");
    assert!(
        code == Some(2) && output.contains("nodes") && output.trim_end().lines().count() == 1,
        "{output}"
    );
    let (code, output) = run("[fleet]\nprogram = \"/bin/does-not-exist\"\n");
    assert!(code == Some(3) && output.contains("fleet.program"), "{output}");
    // A process that ends before it listens is reported with the file that holds its last log lines.
    let (code, output) = run("[fleet]\nprogram = \"/bin/false\"\n");
    assert!(code == Some(3) && output.contains("gateways[") && output.contains(".log"), "{output}");
    let (code, output) = run("[fleet.gateway_config.settings]\nDiscovery = \"never\"\n");
    assert!(code == Some(3) && output.contains("gateways["), "{output}");
    assert_eq!(harness(&["check", &path(&dir.0)]).status.code(), Some(2));
}

/// With a full disk, the discovery service refuses what it cannot write and logs that. It accepts writes
/// again once there is space.
#[test]
fn the_discovery_service_survives_a_full_disk() {
    let dir = TempDir::new();
    let scenario = "[fleet]\nlist_service = 1\npay_servers = 3\n[load]\nrate = 10.0\nduration_ms = 5000\n\
                    [[fault]]\nat_ms = 500\nkind = \"full_disk\"\ntarget = \"list_service\"\nfor_ms = 2000\n\
                    [[fault]]\nat_ms = 1000\nkind = \"restart\"\ntarget = \"pay_servers[0]\"\n";
    let (code, summary, out) = run_scenario(&dir, scenario, 5);
    let log = fs::read_to_string(out.join("logs/list_service[0].log")).expect("the log exists");
    assert!(code == 0 && log.contains("not written"), "{summary}\n{log}");
}

/// No invariant covers a process that exits unexpectedly, but the summary counts it and the exit code is 1.
#[test]
fn an_unexpected_process_exit_is_reported() {
    let dir = TempDir::new();
    let file = dir.scenario("[load]\nrate = 10.0\nduration_ms = 3000\n");
    let out = dir.0.join("out");
    let running = Command::new(HARNESS)
        .args(["run", &path(&file), "--out", &path(&out), "--json"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the harness starts");
    let log = out.join("logs/gateways[0].log");
    wait_until("a gateway listens", &|| {
        fs::read_to_string(&log).is_ok_and(|log| log.contains("listening on"))
    });
    let one = children(running.id())[0].to_string();
    assert!(Command::new("kill").args(["-KILL", &one]).status().expect("kill is installed").success());
    let finished = running.wait_with_output().expect("the process ends");
    let output = text(&finished.stdout);
    // If the process is killed while others still start, the run fails; later, it continues without the
    // process.
    let is_reported = finished.status.code() == Some(3)
        || output.contains("\"crashes\":1") && finished.status.code() == Some(1);
    assert!(is_reported, "{:?} {output}", finished.status);
}

#[test]
fn too_few_file_descriptors_are_reported_before_anything_starts() {
    let dir = TempDir::new();
    let file = dir.scenario("[fleet]\ngateways = 100\n");
    let out = dir.0.join("out");
    let script = "ulimit -n 200; exec \"$0\" run \"$1\" --out \"$2\"";
    let finished = Command::new("sh")
        .args(["-c", script, HARNESS, &path(&file), &path(&out)])
        .output()
        .expect("sh is installed");
    let output = text(&finished.stderr);
    assert!(
        finished.status.code() == Some(3) && output.contains("descriptors, and the limit is 200"),
        "{output}"
    );
    assert!(!out.join("logs").exists());
}

/// Waits until a condition holds.
fn wait_until(what: &str, condition: &dyn Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(30), "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the child processes of a process.
fn children(parent_pid: u32) -> Vec<u32> {
    let listed = fs::read_dir("/proc").expect("/proc is readable").flatten();
    let numbers = listed.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let parent = |pid: u32| -> Option<u32> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse().ok()
    };
    numbers.filter(|pid| parent(*pid) == Some(parent_pid)).collect()
}

#[test]
fn the_processes_end_when_the_harness_is_killed() {
    let dir = TempDir::new();
    let file = dir.scenario("[load]\nrate = 10.0\nduration_ms = 60000\n");
    let out = dir.0.join("out");
    let mut running = Command::new(HARNESS)
        .args(["run", &path(&file), "--out", &path(&out)])
        .spawn()
        .expect("the harness starts");
    let listens = |i: usize| {
        let log = fs::read_to_string(out.join("logs").join(format!("gateways[{i}].log")));
        log.is_ok_and(|log| log.contains("listening on"))
    };
    wait_until("all gateways listen", &|| (0..3).all(listens));
    let gateways = children(running.id());
    assert_eq!(gateways.len(), 3);
    running.kill().expect("the process is running");
    running.wait().expect("the process can be waited for");
    wait_until("the gateways have ended", &|| {
        gateways.iter().all(|pid| {
            let stat = fs::read_to_string(format!("/proc/{pid}/stat"));
            // A zombie has ended, although it has not been waited for yet.
            stat.map_or(true, |stat| stat.contains(") Z "))
        })
    });
}
