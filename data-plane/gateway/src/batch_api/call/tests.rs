//! API calls on jobs are distinguished from routed requests by path, and from each other by method.

use super::JobCall;
use crate::request::BufferedRequest;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::Method;
use tokio::time::Instant;

fn call(method: Method, uri: &str, wait_ms: Option<&'static str>) -> Option<JobCall> {
    let mut headers = HeaderMap::new();
    if let Some(wait_ms) = wait_ms {
        headers.insert("x-wait-ms", HeaderValue::from_static(wait_ms));
    }
    let uri = uri.parse().expect("valid URI");
    let request = BufferedRequest { method, uri, headers, body: Bytes::new(), received_at: Instant::now() };
    JobCall::from_request(&request)
}

#[test]
fn results_are_read_with_get() {
    let read = |start, wait_ms| Some(JobCall::ReadResults { job: "j".to_owned(), start, wait_ms });
    assert_eq!(call(Method::GET, "/-/lots/j?a=b&start_after=4&start_after=9", Some(" 250 ")), read(4, 250));
    assert_eq!(call(Method::GET, "/-/lots/j?start_after=x", Some("soon")), read(0, 0));
    assert_eq!(call(Method::GET, "/-/lots/j", None), read(0, 0));
}

#[test]
fn a_job_is_ended_with_delete() {
    assert_eq!(call(Method::DELETE, "/-/lots/j", None), Some(JobCall::End { job: "j".to_owned() }));
    assert_eq!(call(Method::PUT, "/-/lots/j", None), Some(JobCall::Unknown));
}

#[test]
fn an_items_body_is_read_by_its_id() {
    let read = JobCall::ReadItemBody { job: "j".to_owned(), item: "i".to_owned() };
    assert_eq!(call(Method::GET, "/-/items/j?id=i", None), Some(read));
    assert_eq!(call(Method::GET, "/-/items/j", None), Some(JobCall::Unknown));
    assert_eq!(call(Method::POST, "/-/items/j?id=i", None), Some(JobCall::Unknown));
}

#[test]
fn other_paths_are_requests_for_routes() {
    assert_eq!(call(Method::GET, "/v1/chat", None), None);
    assert_eq!(call(Method::GET, "/-/lots", None), None);
}
