//! Parsing of the operator's calls: the order of the checks, and the calls that are well-formed.

use super::request::{Endpoint, Request, RequestError};
use super::{Call, Method};

fn call(method: Method, url: &str, base: Option<&str>, body: &str) -> Call {
    Call { method, url: url.to_owned(), base: base.map(str::to_owned), body: body.as_bytes().to_vec() }
}

fn parse(call: Call) -> Result<Request, RequestError> {
    Request::parse(Endpoint::parse(&call.url)?, call)
}

#[track_caller]
fn check_rejected(call: Call, status: u16, text: &str) {
    let reply = parse(call).expect_err("an invalid call is rejected").reply();
    assert_eq!((reply.status, String::from_utf8(reply.body)), (status, Ok(format!("{text}\n"))));
}

#[test]
fn the_query_of_a_url_is_ignored() {
    let endpoint = Endpoint::parse("/-/Retire.Read/store-1?verbose=/-/Config.Read").expect("a known path");
    assert_eq!(endpoint, Endpoint::ReadRetirement { node: "store-1".to_owned() });
}

#[test]
fn the_path_is_rejected_before_the_method_and_the_method_before_the_headers() {
    check_rejected(call(Method::Other, "/-/Config.Reads", None, ""), 404, "no such call");
    check_rejected(call(Method::Get, "/-/Config.Update", None, ""), 405, "not with this method");
    check_rejected(call(Method::Post, "/-/Config.Read", None, ""), 405, "not with this method");
    check_rejected(call(Method::Get, "/-/Retire.Start/store-1", None, ""), 405, "not with this method");
    check_rejected(call(Method::Post, "/-/Config.Replace", None, "{"), 400, "X-Base-Version is missing");
}

#[test]
fn the_base_version_is_rejected_before_the_body() {
    let text = "X-Base-Version: expected a whole number";
    check_rejected(call(Method::Post, "/-/Config.Replace", Some("-1"), "{"), 400, text);
    check_rejected(call(Method::Post, "/-/Config.Update", Some(""), "{"), 400, text);
    let invalid = call(Method::Post, "/-/Config.Update", Some(" 7 "), "{");
    check_rejected(invalid, 400, "not an update: not one whole JSON value");
}

#[test]
fn the_state_of_a_retirement_may_be_read_with_any_method() {
    for method in [Method::Get, Method::Post, Method::Other] {
        let request = parse(call(method, "/-/Retire.Read/store-1", None, ""));
        assert!(matches!(request, Ok(Request::ReadRetirement { node }) if node == "store-1"));
    }
}
