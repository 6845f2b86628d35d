//! A server may send a response twice. The second copy arrives in the place of the response to the next
//! request on the connection, and must not be taken for it.

use crate::stand_ins::{
    completed, configuration, response, wait_for, Coordinator, Gateway, ModelServer, Stores, STREAM_ROUTE,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Counts how often each request has run.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Starts a server that declines the first request on each connection. It runs all later ones, and sends a
/// second copy of the first response before the response to each of them.
fn repeating_server(id: &str, runs: &Runs, has_request_ids: bool) -> ModelServer {
    let runs = runs.clone();
    ModelServer::start(id, move |request, sent| {
        let id = request.header("x-request-id").unwrap_or_default();
        let Some(first) = sent.first() else {
            let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id)];
            return response(503, if has_request_ids { &headers } else { &headers[..1] }, "");
        };
        *runs.lock().expect("not poisoned").entry(id.to_owned()).or_default() += 1;
        [first.clone(), completed(id)].concat()
    })
}

/// Starts two repeating servers and a gateway that logs the events of requests, and sends requests until one
/// has run, which requires a reused connection. Asserts that it has run once and is not answered with a promise.
/// Returns its id and the gateway's log.
fn assert_that_no_request_runs_twice(has_request_ids: bool) -> (String, String) {
    let runs = Runs::default();
    let servers = ["server-1", "server-2"].map(|id| repeating_server(id, &runs, has_request_ids));
    let stores = Stores::start();
    let coordinator = Coordinator::start(stores.address(), servers.iter().map(ModelServer::entry).collect());
    coordinator.set_configuration(&configuration(1, &[STREAM_ROUTE.to_owned()]));
    let gateway = Gateway::start_with_request_log(&coordinator);
    let mut next_id = 0;
    let (id, status) = wait_for("a request on a reused connection", || {
        next_id += 1;
        let id = format!("request-{next_id}");
        let status = gateway.post_query(&id).expect("a response").status();
        runs.lock().expect("not poisoned").contains_key(&id).then_some((id, status))
    });
    assert_eq!(runs.lock().expect("not poisoned").get(&id), Some(&1), "runs of {id}, answered {status}");
    assert_eq!(status, 502, "any status that promises that the request has not run is wrong");
    (id, gateway.log())
}

// The late copy was taken for a rejection of the next request, which then ran at a second server.
#[test]
fn a_late_copy_of_a_rejection_does_not_make_the_next_request_run_twice() {
    assert_that_no_request_runs_twice(true);
}

// The same with copies that do not name their request.
#[test]
fn a_late_copy_of_a_rejection_without_an_id_does_not_make_the_next_request_run_twice() {
    assert_that_no_request_runs_twice(false);
}

#[test]
fn the_log_tells_a_rejection_of_another_request_from_one_of_this_request() {
    let (id, log) = assert_that_no_request_runs_twice(true);
    let ends: Vec<&str> = log.lines().filter(|line| line.contains("response from server")).collect();
    let is_rejection = |line: &&&str| line.contains("end=NotExecuted") && line.contains("reused=false");
    assert!(ends.iter().any(|line| is_rejection(&line)), "{log}");
    let (quoted_id, end) = (format!("id={id:?}"), "end=OtherRequestRejected");
    assert!(ends.iter().any(|line| line.contains(&quoted_id) && line.contains(end)), "{log}");
}
