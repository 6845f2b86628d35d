//! The lab as people use it: the built program, real gateways, exit codes.

use marblecroft_fault_injection::endpoint::End;
use marblecroft_fault_injection::history::{Event, Reader};
use serde_json::Value;
use std::fs;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_marblecroft-fault-injection");

/// A folder of this test's own, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("marblecroft-lab-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn scenario(&self, text: &str) -> PathBuf {
        let path = self.0.join("scenario.toml");
        fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn lab(args: &[&str]) -> Output {
    Command::new(LAB).args(args).output().expect("the lab runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Plays a scenario; its exit code, the object of the last line, and the folder that keeps it.
fn play(folder: &Folder, scenario: &str, seed: u64) -> (i32, Value, PathBuf) {
    let (file, out) = (folder.scenario(scenario), folder.0.join(format!("run-{seed}")));
    let ran = lab(&["run", &path(&file), "--seed", &seed.to_string(), "--out", &path(&out), "--json"]);
    let told = text(&ran.stdout);
    let last = told.lines().last().unwrap_or_default();
    let json = serde_json::from_str(last).unwrap_or_else(|e| panic!("{e}: {told}{}", text(&ran.stderr)));
    (ran.status.code().expect("an exit code"), json, out)
}

fn path(path: &Path) -> String {
    path.to_str().expect("UTF-8").to_owned()
}

/// No figure here depends on the machine's speed: what is asked is who was told what, and by whom.
const KILL: &str = "[load]\nrate = 40.0\nduration_ms = 4000\n\
                    [[fault]]\nat_ms = 1500\nkind = \"kill\"\ntarget = \"gateways[1]\"\nfor_ms = 500\n";

#[test]
fn a_killed_gateway_is_played_judged_again_and_reported() {
    let folder = Folder::new();
    let (code, told, out) = play(&folder, KILL, 1);
    assert_eq!(code, 0, "{told}");
    let count = |name: &str| told[name].as_u64().unwrap_or_else(|| panic!("{name}: {told}"));
    let ends: u64 = ["served", "refused", "failed", "unknown", "lost"].map(count).iter().sum();
    assert_eq!((count("requests"), ends, count("ran_twice")), (160, 160, 0));
    assert!(
        count("served") > 0
            && told["time_to_full_service_ms"].is_null() | told["time_to_full_service_ms"].is_u64()
    );
    for name in ["connections", "list_calls", "probes", "renewals", "claims", "attempts"] {
        assert!(told["peaks"].get(name).is_some(), "{name}");
    }
    let all = marblecroft_fault_injection::checker::INVARIANTS.len()
        + marblecroft_fault_injection::decisions::INVARIANTS.len();
    assert_eq!(told["invariants"].as_object().map(|told| told.len()), Some(all));

    let again = lab(&["check", &path(&out), "--json"]);
    assert_eq!(again.status.code(), Some(0));
    let judged: Value =
        serde_json::from_str(text(&again.stdout).lines().last().unwrap_or_default()).expect("JSON");
    assert_eq!(judged, told, "the history alone says the same");

    assert_eq!(lab(&["report", &path(&out)]).status.code(), Some(0));
    let page = fs::read_to_string(out.join("report.html")).expect("a page");
    assert!(
        page.matches("<svg").count() == 3 && page.contains("never_ran_twice") && !page.contains("http-equiv")
    );
    let compared = lab(&["compare", &path(&out), &path(&folder.0)]);
    assert!(text(&compared.stdout).contains("served_share"), "{compared:?}");

    // One byte of the history is spoilt: its place is named, and nothing is judged.
    let mut history =
        fs::OpenOptions::new().read(true).write(true).open(out.join("history.bin")).expect("there");
    let mut byte = [0];
    history.seek(SeekFrom::Start(5000)).expect("long enough");
    history.read_exact(&mut byte).expect("long enough");
    history.seek(SeekFrom::Start(5000)).expect("long enough");
    history.write_all(&[byte[0] ^ 1]).expect("written");
    let spoilt = lab(&["check", &path(&out)]);
    assert_eq!(spoilt.status.code(), Some(2));
    assert!(text(&spoilt.stderr).contains("byte "), "{spoilt:?}");
}

/// A client that returns with its id to a program that has no takeover has its pay run run twice: the lab must see it. One
/// gateway stands still while pay servers do their work, and its clients are reset by a cut.
#[test]
fn work_that_runs_twice_is_seen() {
    let folder = Folder::new();
    let scenario = "[load]\nrate = 100.0\nduration_ms = 4000\nunsafe_share = 1.0\ncome_back = true\n\
                    [[fault]]\nat_ms = 1000\nkind = \"cut\"\ntarget = \"gateways[0]\"\nfrom = \"clients\"\n\
                    reset = true\nfor_ms = 300\n\
                    [[fault]]\nat_ms = 2000\nkind = \"cut\"\ntarget = \"gateways[1]\"\nfrom = \"clients\"\n\
                    reset = true\nfor_ms = 300\n";
    let (code, told, _) = play(&folder, scenario, 1);
    assert_eq!((code, &told["invariants"]["never_ran_twice"]), (1, &Value::Bool(false)), "{told}");
    assert!(told["ran_twice"].as_u64() > Some(0));
}

#[test]
fn links_are_cut_in_one_direction_and_processes_stand_still() {
    let folder = Folder::new();
    let scenario = "[fleet]\npay_servers = 4\n[load]\nrate = 40.0\nduration_ms = 6000\n\
                    [[fault]]\nat_ms = 1000\nkind = \"cut\"\ntarget = \"gateways[1]\"\nfrom = \"pay_servers\"\n\
                    one_way = true\nfor_ms = 1000\n\
                    [[fault]]\nat_ms = 2500\nkind = \"stop\"\ntarget = \"gateways[2]\"\nfor_ms = 3400\n\
                    [[fault]]\nat_ms = 2500\nkind = \"stop\"\ntarget = \"pay_servers[0]\"\nfor_ms = 500\n\
                    [[fault]]\nat_ms = 4000\nkind = \"delay\"\ntarget = \"pay_servers\"\ndelay_ms = 20\nfor_ms = 500\n\
                    [[fault]]\nat_ms = 4700\nkind = \"kill\"\ntarget = \"pay_servers[1]\"\nfor_ms = 500\n\
                    [[fault]]\nat_ms = 5000\nkind = \"wipe\"\ntarget = \"counter\"\n";
    let (code, told, out) = play(&folder, scenario, 2);
    assert_eq!(code, 0, "{told}");
    assert_eq!(told["invariants"]["ceilings_kept"], Value::Null, "said, not passed");
    assert!(told["failed"].as_u64() > Some(0), "clients of one that stands still wait in vain");
    let log = fs::read_to_string(out.join("lab.log")).expect("a log");
    assert_eq!(log.matches("a fault begins").count(), 6);
    // Structured: each line is an object.
    assert!(log.lines().all(|line| serde_json::from_str::<Value>(line).is_ok()));
}

/// With JSON and requests in the gateways' configuration one request is followed by its id through all that had to do with it.
#[test]
fn a_request_is_followed_by_its_id_through_all_processes() {
    let folder = Folder::new();
    let scenario = "[fleet]\npay_servers = 2\n[fleet.gateway_config.log]\nform = \"json\"\nrequests = true\n\
                    [load]\nrate = 10.0\nduration_ms = 1000\n";
    let (code, told, out) = play(&folder, scenario, 4);
    assert_eq!(code, 0, "{told}");
    let logs: String = (0..3)
        .map(|i| fs::read_to_string(out.join(format!("logs/gateways[{i}].log"))).expect("a log"))
        .collect();
    let served = logs.lines().find(|line| line.contains("\"response\":\"served\"")).expect("one was served");
    let line: Value = serde_json::from_str(served).expect("an object");
    let followed =
        text(&lab(&["check", &path(&out), "--trace", line["trace"].as_str().expect("an id")]).stdout);
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

/// An agent's answers to calls that met its silence would tell a gateway at once what it has to ask for anew.
#[test]
fn what_discovery_is_asked_while_it_is_silent_is_never_answered() {
    let folder = Folder::new();
    let scenario = "[fleet]\ngateways = 2\npay_servers = 3\n[load]\nrate = 20.0\nduration_ms = 5000\n\
                    [[fault]]\nat_ms = 1500\nkind = \"stop\"\ntarget = \"list_service\"\nfor_ms = 1500\n";
    let (code, told, out) = play(&folder, scenario, 4);
    assert_eq!(code, 0, "{told}");
    let mut events = Vec::new();
    let history = Reader::open(&out.join("history.bin"));
    history.expect("a history").each(|at| events.push(at.event)).expect("whole");
    let over = events.iter().position(|e| matches!(e, Event::FaultEnded { .. })).expect("it speaks again");
    for gateway in 0..2 {
        let end = End::Gateway(gateway);
        let mut after = events[over..].iter();
        let told = after.position(|e| matches!(e, Event::ListReceived { gateway: to, .. } if *to == gateway));
        let told = over + told.expect("it is told again");
        let opened = |e: &Event| matches!(e, Event::Opened { from, to, .. } if *from == end && *to == End::ListService(0));
        assert!(
            events[over..told].iter().any(opened),
            "gateway {gateway} is told on a connection from before"
        );
    }
}

/// The list service's processes are followed through links as well, and lose nothing that they acknowledged.
#[test]
fn the_list_service_is_part_of_the_fleet() {
    let folder = Folder::new();
    let scenario = "[fleet]\nlist_service = 2\npay_servers = 4\n[load]\nrate = 30.0\nduration_ms = 5000\n\
                    [[fault]]\nat_ms = 1500\nkind = \"restart\"\ntarget = \"list_service[0]\"\nfor_ms = 300\n";
    let (code, told, _) = play(&folder, scenario, 3);
    assert_eq!((code, &told["invariants"]["nothing_acknowledged_lost"]), (0, &Value::Bool(true)), "{told}");
    assert!(told["served"].as_u64() > Some(0) && told["peaks"]["renewals"].is_f64(), "{told}");
}

#[test]
fn what_is_missed_or_unusable_or_broken_has_its_own_exit_code() {
    let folder = Folder::new();
    let out = folder.0.join("out");
    let run = |scenario: &str| {
        let ran = lab(&["run", &path(&folder.scenario(scenario)), "--out", &path(&out)]);
        (ran.status.code(), text(&ran.stdout) + &text(&ran.stderr))
    };
    let (code, said) =
        run("[load]\nduration_ms = 1000\n[expect]\nserved_share = 1.0\nfull_service_within_ms = 1\n");
    assert!(code == Some(1) && said.contains("expect.full_service_within_ms"), "{said}");
    let (code, said) = run("[fleet]\nnodes = 3\n");
    assert!(code == Some(2) && said.contains("nodes") && said.trim_end().lines().count() == 1, "{said}");
    let (code, said) = run("[fleet]\nprogram = \"/bin/does-not-exist\"\n");
    assert!(code == Some(3) && said.contains("fleet.program"), "{said}");
    // One that ends before it listens, and the file that holds its last lines.
    let (code, said) = run("[fleet]\nprogram = \"/bin/false\"\n");
    assert!(code == Some(3) && said.contains("gateways[") && said.contains(".log"), "{said}");
    let (code, said) = run("[fleet.gateway_config.settings]\nDiscovery = \"never\"\n");
    assert!(code == Some(3) && said.contains("gateways["), "{said}");
    assert_eq!(lab(&["check", &path(&folder.0)]).status.code(), Some(2));
}

/// A full disk: what cannot be written is refused and said, and taken again once there is room.
#[test]
fn a_full_disk_is_a_fault_that_the_list_service_survives() {
    let folder = Folder::new();
    let scenario = "[fleet]\nlist_service = 1\npay_servers = 3\n[load]\nrate = 10.0\nduration_ms = 5000\n\
                    [[fault]]\nat_ms = 500\nkind = \"full_disk\"\ntarget = \"list_service\"\nfor_ms = 2000\n\
                    [[fault]]\nat_ms = 1000\nkind = \"restart\"\ntarget = \"pay_servers[0]\"\n";
    let (code, told, out) = play(&folder, scenario, 5);
    let log = fs::read_to_string(out.join("logs/list_service[0].log")).expect("a log");
    assert!(code == 0 && log.contains("not written"), "{told}\n{log}");
}

/// One that ends by itself is no verdict's business but everybody's: it is counted, and the exit code says so.
#[test]
fn a_process_that_ends_by_itself_is_told() {
    let folder = Folder::new();
    let file = folder.scenario("[load]\nrate = 10.0\nduration_ms = 3000\n");
    let out = folder.0.join("out");
    let running = Command::new(LAB)
        .args(["run", &path(&file), "--out", &path(&out), "--json"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("it starts");
    let log = out.join("logs/gateways[0].log");
    until("a gateway listens", &|| fs::read_to_string(&log).is_ok_and(|log| log.contains("listening on")));
    let one = children(running.id())[0].to_string();
    assert!(Command::new("kill").args(["-KILL", &one]).status().expect("kill runs").success());
    let ran = running.wait_with_output().expect("it ends");
    let said = text(&ran.stdout);
    // Killed while the others still start, the run does not begin; later it goes on without.
    let told = ran.status.code() == Some(3) || said.contains("\"crashes\":1") && ran.status.code() == Some(1);
    assert!(told, "{:?} {said}", ran.status);
}

#[test]
fn want_of_descriptors_is_told_before_anything_starts() {
    let folder = Folder::new();
    let file = folder.scenario("[fleet]\ngateways = 100\n");
    let out = folder.0.join("out");
    let script = "ulimit -n 200; exec \"$0\" run \"$1\" --out \"$2\"";
    let ran =
        Command::new("sh").args(["-c", script, LAB, &path(&file), &path(&out)]).output().expect("it runs");
    let said = text(&ran.stderr);
    assert!(ran.status.code() == Some(3) && said.contains("descriptors, and the limit is 200"), "{said}");
    assert!(!out.join("logs").exists());
}

/// Waits until something holds.
fn until(what: &str, holds: &dyn Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < Duration::from_secs(30), "waited too long until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Processes that live under this one's, by their parents.
fn children(of: u32) -> Vec<u32> {
    let listed = fs::read_dir("/proc").expect("there").flatten();
    let numbers = listed.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let parent = |pid: u32| -> Option<u32> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse().ok()
    };
    numbers.filter(|pid| parent(*pid) == Some(of)).collect()
}

#[test]
fn a_lab_that_is_killed_takes_its_children_with_it() {
    let folder = Folder::new();
    let file = folder.scenario("[load]\nrate = 10.0\nduration_ms = 60000\n");
    let out = folder.0.join("out");
    let mut running =
        Command::new(LAB).args(["run", &path(&file), "--out", &path(&out)]).spawn().expect("it starts");
    let listens = |i: usize| {
        let log = fs::read_to_string(out.join("logs").join(format!("gateways[{i}].log")));
        log.is_ok_and(|log| log.contains("listening on"))
    };
    until("all gateways listen", &|| (0..3).all(listens));
    let gateways = children(running.id());
    assert_eq!(gateways.len(), 3);
    running.kill().expect("it ran");
    running.wait().expect("waited for");
    until("they have ended", &|| {
        gateways.iter().all(|pid| {
            let stat = fs::read_to_string(format!("/proc/{pid}/stat"));
            // Whoever has not been waited for yet has ended all the same.
            stat.map_or(true, |stat| stat.contains(") Z "))
        })
    });
}
