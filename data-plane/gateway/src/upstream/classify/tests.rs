//! Tests each row of the classification table, for live requests and for items of batch jobs.

use super::{AttemptCounters, ResponseClass, ResponsePolicy, SentRequest};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::Response;
use marblecroft_protocol::servers::{Server, ServerList};
use marblecroft_routing::balance::{LoadBalancer, PlacementRequest, ServerOutcome};
use marblecroft_routing::tuning::Tuning;
use std::time::Duration;

const SIGNED: (&str, &str) = ("x-response-signature", "s");
const MATCHING_ID: (&str, &str) = ("x-request-id", "request");
const OTHER_ID: (&str, &str) = ("x-request-id", "other");
const DECLINED: (&str, &str) = ("x-not-executed", "1");
const ENCODED: (&str, &str) = ("content-encoding", "gzip");

type Classified = (ResponseClass, Option<ServerOutcome>);

fn head(status: u16, headers: &[(&str, &str)]) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = status.try_into().expect("valid status");
    for (name, value) in headers {
        let name: HeaderName = name.parse().expect("valid header name");
        response.headers_mut().insert(name, HeaderValue::from_str(value).expect("valid header value"));
    }
    response.into_parts().0
}

/// The request on a new connection.
const FIRST_REQUEST: SentRequest<'_> = SentRequest { id: "request", on_reused_connection: false };
/// The request on a connection that was used before.
const LATER_REQUEST: SentRequest<'_> = SentRequest { on_reused_connection: true, ..FIRST_REQUEST };

fn classify(
    policy: ResponsePolicy,
    request: SentRequest<'_>,
    status: u16,
    headers: &[(&str, &str)],
) -> Classified {
    let parts = head(status, headers);
    let head = super::ResponseHead { status: parts.status, headers: &parts.headers };
    policy.classify(&head, head.is_for(&request))
}

fn live(status: u16, headers: &[(&str, &str)]) -> Classified {
    classify(ResponsePolicy::LIVE, FIRST_REQUEST, status, headers)
}

fn batch(status: u16, headers: &[(&str, &str)]) -> Classified {
    classify(ResponsePolicy::BATCH, FIRST_REQUEST, status, headers)
}

fn error(status: u16) -> ResponseClass {
    ResponseClass::Error(status.try_into().expect("valid status"))
}

const NOT_EXECUTED: Classified = (ResponseClass::NotExecuted, Some(ServerOutcome::Full));
const SUCCESS: Classified = (ResponseClass::Success, Some(ServerOutcome::Succeeded));

#[test]
fn a_declined_request_has_not_been_executed() {
    for status in [429, 500, 503] {
        assert_eq!(live(status, &[DECLINED]), NOT_EXECUTED, "{status}");
        assert_eq!(batch(status, &[DECLINED]), NOT_EXECUTED, "{status}");
        assert_eq!(live(status, &[DECLINED, MATCHING_ID]), NOT_EXECUTED, "declining needs no signature");
        assert_eq!(batch(status, &[DECLINED, MATCHING_ID]), NOT_EXECUTED, "declining needs no signature");
    }
    assert_eq!(live(421, &[]), NOT_EXECUTED, "another incarnation");
    assert_eq!(batch(421, &[]), NOT_EXECUTED, "another incarnation");
}

// The second copy of a rejection was taken for the response to the next request on the connection, which
// then ran at two servers.
#[test]
fn a_response_to_another_request_declines_nothing() {
    for (status, headers) in [
        (429, &[DECLINED, OTHER_ID][..]),
        (500, &[DECLINED, OTHER_ID]),
        (503, &[DECLINED, OTHER_ID]),
        (503, &[DECLINED, OTHER_ID, SIGNED]),
        (421, &[OTHER_ID]),
        (200, &[DECLINED, OTHER_ID, SIGNED]),
    ] {
        for request in [FIRST_REQUEST, LATER_REQUEST] {
            let live = classify(ResponsePolicy::LIVE, request, status, headers);
            assert_eq!(live.0, ResponseClass::Untrusted, "{status} {headers:?}");
            let batch = classify(ResponsePolicy::BATCH, request, status, headers);
            assert_eq!(batch, (ResponseClass::Untrusted, None), "{status} {headers:?}");
        }
    }
}

// Without an id, the second copy of an earlier response cannot be distinguished from the response.
#[test]
fn a_response_without_an_id_is_untrusted_on_a_reused_connection() {
    for policy in [ResponsePolicy::LIVE, ResponsePolicy::BATCH] {
        for (status, headers) in [(200, &[SIGNED][..]), (500, &[SIGNED]), (503, &[DECLINED]), (421, &[])] {
            let class = classify(policy, LATER_REQUEST, status, headers).0;
            assert_eq!(class, ResponseClass::Untrusted, "{status} {headers:?}");
        }
        assert_eq!(classify(policy, LATER_REQUEST, 200, &[SIGNED, MATCHING_ID]), SUCCESS);
        assert_eq!(classify(policy, LATER_REQUEST, 503, &[DECLINED, MATCHING_ID]), NOT_EXECUTED);
    }
}

#[test]
fn only_batch_items_accept_a_decline_with_a_success_status() {
    assert_eq!(live(200, &[DECLINED, SIGNED]), SUCCESS);
    assert_eq!(batch(200, &[DECLINED, SIGNED]), NOT_EXECUTED);
}

#[test]
fn a_signed_2xx_with_matching_or_missing_id_is_a_success() {
    for headers in [&[SIGNED, MATCHING_ID][..], &[SIGNED]] {
        assert_eq!(live(200, headers), SUCCESS);
        assert_eq!(batch(204, headers), SUCCESS);
    }
}

#[test]
fn a_response_without_signature_or_with_another_id_is_untrusted() {
    for headers in [&[][..], &[MATCHING_ID], &[SIGNED, OTHER_ID]] {
        for (status, outcome) in
            [(200, ServerOutcome::Succeeded), (404, ServerOutcome::Succeeded), (503, ServerOutcome::Failed)]
        {
            assert_eq!(live(status, headers), (ResponseClass::Untrusted, Some(outcome)), "{status}");
            assert_eq!(batch(status, headers), (ResponseClass::Untrusted, None), "{status}");
        }
    }
}

#[test]
fn an_encoded_success_is_untrusted() {
    let untrusted = (ResponseClass::Untrusted, Some(ServerOutcome::Succeeded));
    assert_eq!(live(200, &[SIGNED, ENCODED]), untrusted);
    assert_eq!(batch(200, &[SIGNED, ENCODED]), (ResponseClass::Untrusted, None));
    assert_eq!(live(404, &[SIGNED, ENCODED]), (error(404), Some(ServerOutcome::Succeeded)));
}

#[test]
fn server_errors_count_as_failures_for_live_requests_only() {
    for status in [100, 302, 404, 422, 431] {
        assert_eq!(live(status, &[SIGNED]), (error(status), Some(ServerOutcome::Succeeded)));
        assert_eq!(batch(status, &[SIGNED]), (error(status), Some(ServerOutcome::Succeeded)));
    }
    for status in [500, 502, 504] {
        assert_eq!(live(status, &[SIGNED]), (error(status), Some(ServerOutcome::Failed)));
        assert_eq!(batch(status, &[SIGNED]), (error(status), Some(ServerOutcome::Succeeded)));
    }
}

// The status was forwarded, and promised the client that its request had not run.
#[test]
fn a_status_that_promises_no_execution_is_untrusted_without_its_proof() {
    for (status, outcome) in
        [(408, ServerOutcome::Succeeded), (429, ServerOutcome::Succeeded), (503, ServerOutcome::Failed)]
    {
        assert_eq!(live(status, &[SIGNED]), (ResponseClass::Untrusted, Some(outcome)), "{status}");
        let succeeded = Some(ServerOutcome::Succeeded);
        assert_eq!(batch(status, &[SIGNED]), (ResponseClass::Untrusted, succeeded), "{status}");
        assert_eq!(live(status, &[SIGNED, DECLINED]), NOT_EXECUTED, "{status}");
    }
}

fn idle_server() -> Server {
    Server {
        id: "server".to_owned(),
        backend: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        zone: "a".to_owned(),
        slots: 8,
        draining: false,
        warmup_left_ms: 0,
    }
}

const NOW: Duration = Duration::from_secs(1);

fn balancer_of_idle_server() -> LoadBalancer {
    let mut balancer = LoadBalancer::new("a", 1, Tuning::default());
    balancer.update(&ServerList { servers: vec![idle_server()], ..ServerList::default() });
    balancer
}

/// Classifies the response to a live request.
fn classify_and_record(parts: &Parts, balancer: &mut LoadBalancer) -> ResponseClass {
    let counters = AttemptCounters::default();
    ResponsePolicy::LIVE.classify_and_record(parts, &FIRST_REQUEST, "server", &counters, balancer, NOW)
}

#[test]
fn reported_load_and_outcome_are_recorded_with_the_balancer() {
    let mut balancer = balancer_of_idle_server();
    let load = ("x-server-load", "6,2,8");
    let parts = head(500, &[SIGNED, load]);
    let class = classify_and_record(&parts, &mut balancer);
    assert_eq!(class, error(500));
    assert_eq!(balancer.occupancy("s", NOW), Some(1.0));
    let request = PlacementRequest { service: "s", prefix_key: None, attempted: &[], max_occupancy: 2.0 };
    assert_eq!(balancer.choose(&request, NOW), None, "the failed server is ejected");
}

#[test]
fn the_load_in_a_response_to_another_request_is_not_recorded() {
    let mut balancer = balancer_of_idle_server();
    let parts = head(200, &[SIGNED, OTHER_ID, ("x-server-load", "6,2,8")]);
    classify_and_record(&parts, &mut balancer);
    assert_eq!(balancer.occupancy("s", NOW), Some(0.0));
}
