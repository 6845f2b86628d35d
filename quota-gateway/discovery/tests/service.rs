//! Tests of the service over sockets: the API, watches, limits, restarts and invalid input.

mod common;

use common::*;
use std::process::Command;
use std::time::{Duration, Instant};

fn list_target(since: u64, wait: u64) -> String {
    format!("/discovery/hosts?since={since}&timeout_ms={wait}")
}

fn version(response: &Response) -> u64 {
    response.json()["version"].as_u64().expect("a version")
}

#[test]
fn a_watch_reports_each_registration_drain_and_deregistration() {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let (mut operator, mut watcher) = (service.client(), service.client());
    let list = watcher.get("/discovery/hosts");
    assert_eq!((list.status, list.json()["full"].as_bool()), (200, Some(true)));
    assert_eq!(list.json()["servers"].as_array().map(Vec::len), Some(0), "the list is empty");
    let mut since = version(&list);
    let mut watch_change = |operator: &mut Client, path: &str, body: &str| {
        watcher.write(&format!("GET {} HTTP/1.1\r\n\r\n", list_target(since, 20_000)));
        let response = operator.post(path, body);
        assert_eq!(response.status, 200, "{response:?}");
        let change = watcher.response().expect("a change").json();
        assert_eq!(change["full"], false);
        assert!(change["version"].as_u64().expect("a version") > since);
        since = change["version"].as_u64().expect("a version");
        change["servers"][0].clone()
    };
    let registered = watch_change(
        &mut operator,
        "/discovery/register",
        r#"{"id":"s-1","addr":"127.0.0.1:80","zone":"a","kind":"k","cell":3,"weight":1.5,"lease_ms":60000}"#,
    );
    assert_eq!(
        (registered["state"].as_str(), registered["cell"].as_u64(), registered["weight"].as_f64()),
        (Some("SERVING"), Some(3), Some(1.5))
    );
    assert!(
        registered["started_ms"].as_u64() > Some(1_600_000_000_000),
        "the start time is the time of the registration"
    );
    assert_eq!(watch_change(&mut operator, "/discovery/drain", r#"{"id":"s-1"}"#)["state"], "DRAINING");
    assert_eq!(watch_change(&mut operator, "/discovery/undrain", r#"{"id":"s-1"}"#)["state"], "SERVING");
    let details = operator.post("/discovery/show", r#"{"id":"s-1"}"#).json();
    assert!(details["lease_left_ms"].as_u64().is_some_and(|left| left > 0 && left <= 60_000));
    let stale = format!(r#"{{"id":"s-1","revision":{}}}"#, details["revision"].as_u64().expect("one") - 1);
    assert_eq!(operator.post("/discovery/drain", &stale).status, 409);
    assert_eq!(
        operator.register("s-1", 81, r#","lease_ms":60000"#).status,
        409,
        "the entry belongs to another server"
    );
    assert_eq!(operator.post("/discovery/renew", r#"{"id":"s-1"}"#).status, 200);
    assert_eq!(watch_change(&mut operator, "/discovery/deregister", r#"{"id":"s-1"}"#)["state"], "DELETED");
    assert_eq!(operator.post("/discovery/renew", r#"{"id":"s-1"}"#).status, 404);
    // Without changes, the response comes after the wait and has the same version.
    let unchanged = watcher.get(&list_target(since, 30)).json();
    assert_eq!(
        (unchanged["version"].as_u64(), unchanged["servers"].as_array().map(Vec::len)),
        (Some(since), Some(0))
    );
    remove_folder(folder);
}

#[test]
fn an_expired_lease_is_reported_as_a_deletion() {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut client = service.client();
    assert_eq!(client.register("s-1", 80, r#","lease_ms":1000"#).status, 200);
    let since = version(&client.get("/discovery/hosts"));
    let deletion = client.get(&list_target(since, 20_000)).json();
    assert_eq!(deletion["servers"][0]["state"], "DELETED");
    assert!(service.log().contains("the lease of \"s-1\" has ended"), "{}", service.log());
    remove_folder(folder);
}

#[test]
fn acknowledged_changes_survive_a_kill_and_watches_continue() {
    let folder = folder();
    let settings = config("127.0.0.1:0", &folder, "");
    let service = ServiceProcess::start(&folder, &settings);
    let mut client = service.client();
    for n in 0..20 {
        assert_eq!(client.register(&format!("s-{n}"), 80 + n, r#","lease_ms":2000"#).status, 200);
    }
    let since = version(&client.get("/discovery/hosts"));
    assert_eq!(client.post("/discovery/drain", r#"{"id":"s-3"}"#).status, 200);
    service.kill();
    let second = ServiceProcess::start(&folder, &settings);
    let mut client = second.client();
    let missed = client.get(&list_target(since, 20_000)).json();
    assert_eq!(missed["full"], false, "the store is the same, and its history is restored");
    assert_eq!(missed["servers"].as_array().map(Vec::len), Some(1));
    assert_eq!(
        (missed["servers"][0]["id"].as_str(), missed["servers"][0]["state"].as_str()),
        (Some("s-3"), Some("DRAINING"))
    );
    assert!(missed["version"].as_u64() > Some(since));
    let details = client.post("/discovery/show", r#"{"id":"s-0"}"#).json();
    assert!(
        details["lease_left_ms"].as_u64() > Some(1000),
        "leases restart with their full duration: {details}"
    );
    // A second process cannot lock the folder.
    let file = folder.join("config.json");
    let other =
        Command::new(env!("CARGO_BIN_EXE_marblecroft-discovery")).arg(&file).output().expect("it runs");
    assert_eq!(other.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&other.stderr).contains("another process has it"));
    remove_folder(folder);
}

#[test]
fn a_version_from_the_future_or_another_store_gets_the_full_list() {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
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
    remove_folder(folder);
}

#[test]
fn invalid_requests_are_rejected_with_a_reason_and_change_nothing() {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let long = "x".repeat(129);
    let before = service.client().get("/discovery/hosts").body;
    let register = |body: &str| {
        format!("POST /discovery/register HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    for (request, status, reason) in [
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
        client.write(&request);
        let response = client.response().unwrap_or_else(|| panic!("no response to {request:.80}"));
        assert_eq!(response.status, status, "{request:.80}: {response:?}");
        assert!(
            response.body.contains(reason) && response.body.lines().count() == 1,
            "{request:.80}: {response:?}"
        );
    }
    assert_eq!(service.client().get("/discovery/hosts").body, before);
    // Ids and zones of any characters, up to their maximum length, are returned unchanged.
    let id = "é\\\"\u{7f}漢".repeat(14);
    let body = serde_json::json!({"id": id, "addr": "127.0.0.1:1", "zone": "\u{0}\n"}).to_string();
    let mut client = service.client();
    assert!(id.len() <= 128);
    assert_eq!(client.post("/discovery/register", &body).json()["id"], id.as_str());
    assert_eq!(client.get("/discovery/hosts").json()["servers"][0]["id"], id.as_str());
    remove_folder(folder);
}

#[test]
fn an_invalid_configuration_fails_the_start_with_one_log_line() {
    let folder = folder();
    let good = config("127.0.0.1:0", &folder, "");
    for (text, reason) in [
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
        assert!(errors.contains(reason), "{reason} in {errors}");
    }
    remove_folder(folder);
}

#[test]
fn beyond_a_limit_requests_are_rejected_with_retry_after() {
    let folder = folder();
    let limits = r#","limits":{"connections":6,"watches":2,"whole_lists_per_s":1}"#;
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, limits));
    let mut first = service.client();
    let since = version(&first.get("/discovery/hosts"));
    let busy = first.get("/discovery/hosts");
    assert_eq!(busy.status, 503, "the limit is one full list per second");
    assert!(busy.head.contains("Retry-After: 1"), "{busy:?}");
    let mut watchers: Vec<Client> = (0..2).map(|_| service.client()).collect();
    watchers
        .iter_mut()
        .for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", list_target(since, 20_000))));
    wait_until("both watches wait", || first.get("/discovery/status").json()["watches"] == 2);
    assert_eq!(first.get(&list_target(since, 20_000)).status, 503, "the limit is two watches");
    let others: Vec<Client> = (0..3).map(|_| service.client()).collect();
    let mut excess = service.client();
    assert_eq!(excess.get("/discovery/status").status, 503, "the limit is six connections");
    assert!(excess.response().is_none(), "the connection is closed");
    drop(others);
    assert_eq!(first.register("s-1", 80, "").status, 200);
    for watcher in &mut watchers {
        assert_eq!(watcher.response().expect("a change").json()["servers"][0]["id"], "s-1");
    }
    remove_folder(folder);
}

#[test]
fn a_client_that_reads_nothing_does_not_delay_others() {
    let folder = folder();
    let service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut client = service.client();
    for n in 0..300 {
        assert_eq!(client.register(&format!("s-{n:0>60}"), 80, "").status, 200);
    }
    // Pipelined requests without reading a response fill the connection's buffers.
    let mut stalled = service.client();
    for _ in 0..400 {
        let request = "GET /discovery/hosts HTTP/1.1\r\n\r\n";
        if std::io::Write::write_all(stalled.0.get_mut(), request.as_bytes()).is_err() {
            break;
        }
    }
    let requested_at = Instant::now();
    assert_eq!(client.register("late", 80, "").status, 200);
    assert!(requested_at.elapsed() < Duration::from_secs(4), "{:?}", requested_at.elapsed());
    wait_until("the stalled connection is closed", || {
        client.get("/discovery/status").json()["connections"] == 1
    });
    remove_folder(folder);
}

#[test]
fn watches_of_many_clients_continue_after_a_restart_without_full_lists() {
    let folder = folder();
    // With this limit, full lists for all watchers would be rejected.
    let settings = config("127.0.0.1:0", &folder, r#","limits":{"whole_lists_per_s":1}"#);
    let service = ServiceProcess::start(&folder, &settings);
    let mut operator = service.client();
    for n in 0..50 {
        assert_eq!(operator.register(&format!("s-{n}"), 80, "").status, 200);
    }
    let since = version(&operator.get("/discovery/hosts"));
    let mut watchers: Vec<Client> = (0..300).map(|_| service.client()).collect();
    watchers
        .iter_mut()
        .for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", list_target(since, 20_000))));
    wait_until("all watches wait", || operator.get("/discovery/status").json()["watches"] == 300);
    service.kill();
    assert!(watchers.iter_mut().all(|watcher| watcher.response().is_none()), "no watch was answered");
    let second = ServiceProcess::start(&folder, &settings);
    let mut watchers: Vec<Client> = (0..300).map(|_| second.client()).collect();
    watchers
        .iter_mut()
        .for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", list_target(since, 20_000))));
    let mut now = 0;
    for watcher in &mut watchers {
        let response = watcher.response().expect("a response");
        assert_eq!((response.status, response.json()["full"].as_bool()), (200, Some(false)), "{response:?}");
        now = version(&response);
    }
    // The next change reaches all of them with one encoding.
    watchers.iter_mut().for_each(|w| w.write(&format!("GET {} HTTP/1.1\r\n\r\n", list_target(now, 20_000))));
    let mut operator = second.client();
    wait_until("all watches wait again", || operator.get("/discovery/status").json()["watches"] == 300);
    let encodings_before = operator.get("/discovery/status").json()["encodings"].as_u64().expect("a number");
    assert_eq!(operator.post("/discovery/drain", r#"{"id":"s-7"}"#).status, 200);
    for watcher in &mut watchers {
        assert_eq!(watcher.response().expect("a change").json()["servers"][0]["id"], "s-7");
    }
    let encodings =
        operator.get("/discovery/status").json()["encodings"].as_u64().expect("a number") - encodings_before;
    assert_eq!(encodings, 1, "one encoding for all watches");
    remove_folder(folder);
}

#[test]
fn sigterm_completes_waiting_watches() {
    let folder = folder();
    let mut service = ServiceProcess::start(&folder, &config("127.0.0.1:0", &folder, ""));
    let mut watcher = service.client();
    let since = version(&watcher.get("/discovery/hosts"));
    watcher.write(&format!("GET {} HTTP/1.1\r\n\r\n", list_target(since, 60_000)));
    let mut other = service.client();
    wait_until("the watch waits", || other.get("/discovery/status").json()["watches"] == 1);
    service.terminate();
    let response = watcher.response().expect("a response");
    assert_eq!((response.status, version(&response)), (200, since));
    assert!(response.head.contains("Connection: close"));
    assert!(service.exit().success());
    remove_folder(folder);
}
