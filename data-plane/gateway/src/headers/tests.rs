//! Hop-by-hop headers are not forwarded.

use super::strip_hop_by_hop;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

fn remaining(headers: &[(&str, &str)]) -> Vec<String> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name: HeaderName = name.parse().expect("valid header name");
        map.append(name, HeaderValue::from_str(value).expect("valid header value"));
    }
    strip_hop_by_hop(&mut map);
    let mut names: Vec<String> = map.keys().map(ToString::to_string).collect();
    names.sort();
    names
}

#[test]
fn hop_by_hop_headers_are_removed() {
    for name in
        ["Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"]
    {
        assert_eq!(remaining(&[(name, "x"), ("Accept", "*/*")]), ["accept"], "{name}");
    }
}

#[test]
fn headers_listed_in_connection_are_removed() {
    let headers = [
        ("Connection", "close, X-One"),
        ("Connection", " x-two ,not a name"),
        ("X-One", "1"),
        ("X-Two", "2"),
        ("X-Three", "3"),
    ];
    assert_eq!(remaining(&headers), ["x-three"]);
}

#[test]
fn end_to_end_headers_are_kept() {
    let headers = [("Host", "h"), ("Content-Length", "1"), ("X-Request-Id", "r"), ("Last-Event-Id", "3")];
    assert_eq!(remaining(&headers), ["content-length", "host", "last-event-id", "x-request-id"]);
}
