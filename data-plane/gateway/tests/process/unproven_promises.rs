//! A status that promises that a request has not run and will not run is only sent if that is certain.

use crate::stand_ins::{
    configuration, response, signed_headers, wait_for, BatchRoute, Coordinator, Gateway, ModelServer,
    Response, Stores, HOST, PROMISES, STREAM_ROUTE,
};
use marblecroft_protocol::store::StoreReply;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

const BATCH_ROUTE: BatchRoute = BatchRoute { prefix: "/batch/", attempts: 3, max_queued_tokens: 1000 };
const JOB: &str =
    r#"{"requests":[{"id":"item","path":"/batch/1","headers":{},"body":"Ym9keQ==","tokens":10}]}"#;

// The status was passed on, which promised that the request had not run.
#[test]
fn a_status_that_promises_is_not_passed_on_from_a_server_that_has_run_the_request() {
    for status in [408, 429, 503] {
        let executions = Arc::new(AtomicU32::new(0));
        let counted = executions.clone();
        let server = ModelServer::start("server", move |request, _| {
            counted.fetch_add(1, Ordering::Relaxed);
            let id = request.header("x-request-id").unwrap_or_default();
            response(status, &signed_headers(id), "failed while it ran")
        });
        let stores = Stores::start();
        let coordinator = Coordinator::start(stores.address(), vec![server.entry()]);
        coordinator.set_configuration(&configuration(1, &[STREAM_ROUTE.to_owned()]));
        let gateway = Gateway::start(&coordinator);
        // The gateway rejects requests by itself until it can send them.
        let response = wait_for("a request that has run", || {
            let response = gateway.post_query("request").expect("a response");
            (executions.load(Ordering::Relaxed) > 0).then_some(response)
        });
        assert!(!PROMISES.contains(&response.status()), "{status} was passed on as {}", response.status());
        assert!(response.header("x-response-signature").is_none(), "the status is not the server's");
    }
}

/// Submits a job through a gateway whose calls the stores answer with `replies`.
fn submit_job(replies: Vec<Option<StoreReply>>) -> (Stores, Response) {
    let stores = Stores::start();
    stores.reply_to_submissions(replies);
    let server = ModelServer::start("server", |_, _| Vec::new());
    let coordinator = Coordinator::start(stores.address(), vec![server.entry()]);
    coordinator.set_configuration(&configuration(1, &[BATCH_ROUTE.json()]));
    let gateway = Gateway::start(&coordinator);
    let headers = [("Host", HOST), ("X-Request-Id", "job")];
    let response = gateway.post("/batch/1", &headers, JOB).expect("a response");
    (stores, response)
}

// The rejection of the second call was taken for that of the job, which the first call may still submit.
#[test]
fn a_job_is_not_rejected_while_an_earlier_call_may_still_submit_it() {
    let (stores, response) = submit_job(vec![None, Some(StoreReply::OverQuota)]);
    wait_for("both calls", || (stores.jobs().len() == 2).then_some(()));
    assert!(!PROMISES.contains(&response.status()), "answered {}", response.status());
}

#[test]
fn a_job_that_no_call_may_submit_is_rejected() {
    let (_, response) = submit_job(vec![Some(StoreReply::OverQuota)]);
    assert_eq!(response.status(), 429);
}
