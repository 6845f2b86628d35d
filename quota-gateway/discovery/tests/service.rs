//! The service over sockets: the API, watches, bounds, restarts and bad input.

mod common;

use common::*;
use std::process::Command;
use std::time::{Duration, Instant};

fn hosts(since: u64, wait: u64) -> String {
    format!("/discovery/hosts?since={since}&timeout_ms={wait}")
}

fn version(answer: &Answer) -> u64 {
    answer.json()["version"].as_u64().expect("a version")
}

#[test]
fn servers_join_drain_and_leave_and_a_watch_is_told_of_each() {
    let folder = folder();
    let service = Running::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let (mut operator, mut watcher) = (service.client(), service.client());
    let list = watcher.get("/discovery/hosts");
    assert_eq!((list.status, list.json()["full"].as_bool()), (200, Some(true)));
    assert_eq!(list.json()["servers"].as_array().map(Vec::len), Some(0), "an empty list is one");
    let mut held = version(&list);
    let mut told = |operator: &mut Client, path: &str, body: &str| {
        watcher.write(&format!("GET {} HTTP/1.1\r\n\r\n", hosts(held, 20_000)));
        let answer = operator.post(path, body);
        assert_eq!(answer.status, 200, "{answer:?}");
        let news = watcher.answer().expect("news").json();
        assert_eq!(news["full"], false);
        assert!(news["version"].as_u64().expect("a version") > held);
        held = news["version"].as_u64().expect("a version");
        news["servers"][0].clone()
    };
    let made = told(
        &mut operator,
        "/discovery/register",
        r#"{"id":"s-1","addr":"127.0.0.1:80","zone":"a","kind":"k","cell":3,"weight":1.5,"lease_ms":60000}"#,
    );
    assert_eq!(
        (made["state"].as_str(), made["cell"].as_u64(), made["weight"].as_f64()),
        (Some("SERVING"), Some(3), Some(1.5))
    );
    assert!(made["started_ms"].as_u64() > Some(1_600_000_000_000), "it has just started");
    assert_eq!(told(&mut operator, "/discovery/drain", r#"{"id":"s-1"}"#)["state"], "DRAINING");
    assert_eq!(told(&mut operator, "/discovery/undrain", r#"{"id":"s-1"}"#)["state"], "SERVING");
    let shown = operator.post("/discovery/show", r#"{"id":"s-1"}"#).json();
    assert!(shown["lease_left_ms"].as_u64().is_some_and(|left| left > 0 && left <= 60_000));
    let stale = format!(r#"{{"id":"s-1","revision":{}}}"#, shown["revision"].as_u64().expect("one") - 1);
    assert_eq!(operator.post("/discovery/drain", &stale).status, 409);
    assert_eq!(operator.register("s-1", 81, r#","lease_ms":60000"#).status, 409, "it is another's");
    assert_eq!(operator.post("/discovery/renew", r#"{"id":"s-1"}"#).status, 200);
    assert_eq!(told(&mut operator, "/discovery/deregister", r#"{"id":"s-1"}"#)["state"], "DELETED");
    assert_eq!(operator.post("/discovery/renew", r#"{"id":"s-1"}"#).status, 404);
    // Nothing comes: an answer after the wait, with the same version.
    let quiet = watcher.get(&hosts(held, 30)).json();
    assert_eq!((quiet["version"].as_u64(), quiet["servers"].as_array().map(Vec::len)), (Some(held), Some(0)));
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn a_lease_that_ends_is_told_as_gone() {
    let folder = folder();
    let service = Running::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut client = service.client();
    assert_eq!(client.register("s-1", 80, r#","lease_ms":1000"#).status, 200);
    let held = version(&client.get("/discovery/hosts"));
    let gone = client.get(&hosts(held, 20_000)).json();
    assert_eq!(gone["servers"][0]["state"], "DELETED");
    assert!(service.log().contains("the lease of \"s-1\" has ended"), "{}", service.log());
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn what_was_answered_outlives_a_kill_and_watches_go_on_from_their_version() {
    let folder = folder();
    let settings = config("127.0.0.1:0", &folder, "");
    let service = Running::start(&folder, &settings);
    let mut client = service.client();
    for n in 0..20 {
        assert_eq!(client.register(&format!("s-{n}"), 80 + n, r#","lease_ms":2000"#).status, 200);
    }
    let held = version(&client.get("/discovery/hosts"));
    assert_eq!(client.post("/discovery/drain", r#"{"id":"s-3"}"#).status, 200);
    service.kill();
    let second = Running::start(&folder, &settings);
    let mut client = second.client();
    let missed = client.get(&hosts(held, 20_000)).json();
    assert_eq!(missed["full"], false, "it is the same store, and its history is there");
    assert_eq!(missed["servers"].as_array().map(Vec::len), Some(1));
    assert_eq!(
        (missed["servers"][0]["id"].as_str(), missed["servers"][0]["state"].as_str()),
        (Some("s-3"), Some("DRAINING"))
    );
    assert!(missed["version"].as_u64() > Some(held));
    let shown = client.post("/discovery/show", r#"{"id":"s-0"}"#).json();
    assert!(shown["lease_left_ms"].as_u64() > Some(1000), "leases begin anew: {shown}");
    // Another process is refused the folder.
    let file = folder.join("config.json");
    let other =
        Command::new(env!("CARGO_BIN_EXE_marblecroft-discovery")).arg(&file).output().expect("it runs");
    assert_eq!(other.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&other.stderr).contains("another process has it"));
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn a_version_of_the_future_or_of_another_store_gets_the_whole_list() {
    let folder = folder();
    let service = Running::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut client = service.client();
    client.register("s-1", 80, "");
    for since in ["0", "7", "9007199254740991", "18446744073709551615", "99999999999999999999999"] {
        let list = client.get(&format!("/discovery/hosts?since={since}&timeout_ms=20000")).json();
        assert_eq!(
            (list["full"].as_bool(), list["servers"].as_array().map(Vec::len)),
            (Some(true), Some(1)),
            "{since}"
        );
    }
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn bad_input_is_told_what_is_wrong_and_changes_nothing() {
    let folder = folder();
    let service = Running::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let long = "x".repeat(129);
    let before = service.client().get("/discovery/hosts").body;
    let register = |body: &str| {
        format!("POST /discovery/register HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    for (call, status, why) in [
        ("GET /discovery/hosts?since=-1 HTTP/1.1\r\n\r\n".to_owned(), 400, "since"),
        ("GET /discovery/hosts?since=1&timeout_ms=x HTTP/1.1\r\n\r\n".to_owned(), 400, "timeout_ms"),
        ("POST /discovery/hosts HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_owned(), 405, "GET"),
        ("GET /discovery/register HTTP/1.1\r\n\r\n".to_owned(), 405, "POST"),
        ("GET /nothing HTTP/1.1\r\n\r\n".to_owned(), 404, "no such call"),
        ("nonsense\r\n\r\n".to_owned(), 400, "head"),
        (register(""), 400, "EOF"),
        (register("[]"), 400, "id"),
        (register(r#"{"addr":"127.0.0.1:1"}"#), 400, "id"),
        (register(r#"{"id":"s","addr":"here"}"#), 400, "addr"),
        (register(r#"{"id":"","addr":"127.0.0.1:1"}"#), 400, "id"),
        (register(&format!(r#"{{"id":"{long}","addr":"127.0.0.1:1"}}"#)), 400, "id"),
        (register(&format!(r#"{{"id":"s","addr":"127.0.0.1:1","zone":"{long}"}}"#)), 400, "zone"),
        (register(r#"{"id":"s","addr":"127.0.0.1:1","weight":0}"#), 400, "weight"),
        (register(r#"{"id":"s","addr":"127.0.0.1:1","weight":1e999}"#), 400, "weight"),
        (register(r#"{"id":"s","addr":"127.0.0.1:1","cell":-1}"#), 400, "cell"),
        (register(r#"{"id":"s","addr":"127.0.0.1:1","lease_ms":1}"#), 400, "lease_ms"),
        (register(r#"{"id":"s","addr":"127.0.0.1:1","more":1}"#), 400, "more"),
        (register(r#"{"id":"s","addr":"127.0.0.1:1","revision":5}"#), 404, "id"),
        (register(&" ".repeat(5000)), 413, "body"),
        (
            "POST /discovery/drain HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx".to_owned(),
            400,
            "content-length",
        ),
        (
            "POST /discovery/drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            400,
            "transfer-encoding",
        ),
        (format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(9000)), 431, "head"),
        (format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(100)), 431, "head"),
        ("GET /discovery/hosts HT".to_owned(), 408, "in time"),
        ("POST /discovery/drain HTTP/1.1\r\nContent-Length: 9\r\n\r\nx".to_owned(), 408, "in time"),
    ] {
        let mut client = service.client();
        client.write(&call);
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to {call:.80}"));
        assert_eq!(answer.status, status, "{call:.80}: {answer:?}");
        assert!(answer.body.contains(why) && answer.body.lines().count() == 1, "{call:.80}: {answer:?}");
    }
    assert_eq!(service.client().get("/discovery/hosts").body, before);
    // Ids and zones of any letters, up to their bound, come back as they are.
    let id = "é\\\"\u{7f}漢".repeat(14);
    let body = serde_json::json!({"id": id, "addr": "127.0.0.1:1", "zone": "\u{0}\n"}).to_string();
    let mut client = service.client();
    assert!(id.len() <= 128);
    assert_eq!(client.post("/discovery/register", &body).json()["id"], id.as_str());
    assert_eq!(client.get("/discovery/hosts").json()["servers"][0]["id"], id.as_str());
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn a_configuration_that_cannot_be_used_ends_the_start_with_one_line() {
    let folder = folder();
    let good = config("127.0.0.1:0", &folder, "");
    for (text, why) in [
        ("{".to_owned(), "EOF"),
        (good.replace("listen", "hear"), "hear"),
        (good.replace("127.0.0.1:0", "here"), "listen"),
        (good.replace("127.0.0.1:0", "0.0.0.0:0"), "allow_other_than_loopback"),
        (config("127.0.0.1:0", &folder, r#","limits":{"watches":0}"#), "limits"),
        (config("127.0.0.1:0", &folder, r#","limits":{"gather_ms":5000}"#), "gather_ms"),
        (config("127.0.0.1:0", &folder, r#","limits":{"more":1}"#), "limits.more"),
    ] {
        let file = folder.join("bad.json");
        std::fs::write(&file, &text).expect("written");
        let output =
            Command::new(env!("CARGO_BIN_EXE_marblecroft-discovery")).arg(&file).output().expect("it runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), errors.lines().count()), (Some(2), 1), "{text}: {errors}");
        assert!(errors.contains(why), "{why} in {errors}");
    }
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn over_a_bound_callers_are_told_to_come_back_and_nothing_is_lost() {
    let folder = folder();
    let limits = r#","limits":{"connections":6,"watches":2,"whole_lists_per_s":1}"#;
    let service = Running::start(&folder, &config("127.0.0.1:0", &folder, limits));
    let mut first = service.client();
    let held = version(&first.get("/discovery/hosts"));
    let busy = first.get("/discovery/hosts");
    assert_eq!(busy.status, 503, "one whole list a second");
    assert!(busy.head.contains("Retry-After: 1"), "{busy:?}");
    let mut watchers: Vec<Client> = (0..2).map(|_| service.client()).collect();
    watchers.iter_mut().for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", hosts(held, 20_000))));
    until("both wait", || first.get("/discovery/status").json()["watches"] == 2);
    assert_eq!(first.get(&hosts(held, 20_000)).status, 503, "two watches");
    let others: Vec<Client> = (0..3).map(|_| service.client()).collect();
    let mut over = service.client();
    assert_eq!(over.get("/discovery/status").status, 503, "six connections");
    assert!(over.answer().is_none(), "and closed");
    drop(others);
    assert_eq!(first.register("s-1", 80, "").status, 200);
    for watcher in &mut watchers {
        assert_eq!(watcher.answer().expect("news").json()["servers"][0]["id"], "s-1");
    }
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn a_caller_that_reads_nothing_keeps_nobody_else_waiting() {
    let folder = folder();
    let service = Running::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut client = service.client();
    for n in 0..300 {
        assert_eq!(client.register(&format!("s-{n:0>60}"), 80, "").status, 200);
    }
    // Calls one behind another, and no answer read: the connection's buffers fill.
    let mut deaf = service.client();
    for _ in 0..400 {
        let call = "GET /discovery/hosts HTTP/1.1\r\n\r\n";
        if std::io::Write::write_all(deaf.0.get_mut(), call.as_bytes()).is_err() {
            break;
        }
    }
    let asked = Instant::now();
    assert_eq!(client.register("late", 80, "").status, 200);
    assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
    until("it is given up", || client.get("/discovery/status").json()["connections"] == 1);
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn three_hundred_watchers_that_come_back_at_once_after_a_restart_go_on_without_a_whole_list() {
    let folder = folder();
    // Whole lists would run out at once.
    let settings = config("127.0.0.1:0", &folder, r#","limits":{"whole_lists_per_s":1}"#);
    let service = Running::start(&folder, &settings);
    let mut operator = service.client();
    for n in 0..50 {
        assert_eq!(operator.register(&format!("s-{n}"), 80, "").status, 200);
    }
    let held = version(&operator.get("/discovery/hosts"));
    let mut watchers: Vec<Client> = (0..300).map(|_| service.client()).collect();
    watchers.iter_mut().for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", hosts(held, 20_000))));
    until("all wait", || operator.get("/discovery/status").json()["watches"] == 300);
    service.kill();
    assert!(watchers.iter_mut().all(|watcher| watcher.answer().is_none()), "nobody was told anything");
    let second = Running::start(&folder, &settings);
    let mut watchers: Vec<Client> = (0..300).map(|_| second.client()).collect();
    watchers.iter_mut().for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", hosts(held, 20_000))));
    let mut now = 0;
    for watcher in &mut watchers {
        let answer = watcher.answer().expect("an answer");
        assert_eq!((answer.status, answer.json()["full"].as_bool()), (200, Some(false)), "{answer:?}");
        now = version(&answer);
    }
    // And on from there.
    watchers.iter_mut().for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", hosts(now, 20_000))));
    let mut operator = second.client();
    until("all wait again", || operator.get("/discovery/status").json()["watches"] == 300);
    let encoded = operator.get("/discovery/status").json()["encodings"].as_u64().expect("a number");
    assert_eq!(operator.post("/discovery/drain", r#"{"id":"s-7"}"#).status, 200);
    for watcher in &mut watchers {
        assert_eq!(watcher.answer().expect("news").json()["servers"][0]["id"], "s-7");
    }
    let encodings =
        operator.get("/discovery/status").json()["encodings"].as_u64().expect("a number") - encoded;
    assert_eq!(encodings, 1, "one for all of them");
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn sigterm_answers_the_watches_that_wait() {
    let folder = folder();
    let mut service = Running::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut watcher = service.client();
    let held = version(&watcher.get("/discovery/hosts"));
    watcher.write(&format!("GET {} HTTP/1.1\r\n\r\n", hosts(held, 60_000)));
    let mut other = service.client();
    until("it waits", || other.get("/discovery/status").json()["watches"] == 1);
    service.terminate();
    let answer = watcher.answer().expect("an answer");
    assert_eq!((answer.status, version(&answer)), (200, held));
    assert!(answer.head.contains("Connection: close"));
    assert!(service.exit().success());
    drop(std::fs::remove_dir_all(folder));
}
