//! Invalid job documents are rejected with a one-line reason, and result pages have the fields that
//! clients read.

use super::{page_json, parse_items};
use marblecroft_protocol::store::ResultsPage;

fn rejection(document: &str) -> String {
    parse_items(document.as_bytes()).expect_err("the document is rejected").to_string()
}

#[test]
fn a_job_is_parsed() {
    let document = r#"{"requests":[{"id":"a","path":"/p","headers":{"X-A":"1"},"body":"aGk=","tokens":12.9},
        {"id":"b","path":"/q","tokens":-1}]}"#;
    let items = parse_items(document.as_bytes()).expect("valid job");
    assert_eq!(items.len(), 2);
    assert_eq!((items[0].id.as_str(), items[0].path.as_str(), items[0].tokens), ("a", "/p", 12));
    assert_eq!(items[0].headers, [("X-A".to_owned(), "1".to_owned())]);
    assert_eq!(items[0].body.0, b"hi");
    assert_eq!((items[1].body.0.len(), items[1].tokens), (0, 0));
}

#[test]
fn an_invalid_job_document_is_rejected_with_a_one_line_reason() {
    assert_eq!(rejection("{} {}"), "not one whole JSON value");
    assert_eq!(rejection(r#"{"requests":[]}"#), "requests: expected 1 to 200 items");
    let item = r#"{"id":"a","path":"/p","tokens":1}"#;
    assert_eq!(rejection(&format!(r#"{{"requests":[{item},{item}]}}"#)), "item a stands twice");
    let broken = r#"{"requests":[{"id":"a","path":"/p","body":"?","tokens":1}]}"#;
    assert!(rejection(broken).starts_with("item a: Invalid"), "{}", rejection(broken));
    let text = parse_items(b"\xff\xfe").expect_err("the document is rejected").to_string();
    assert_eq!(text, "invalid utf-8 sequence of 1 bytes from index 0");
}

#[test]
fn a_page_has_the_fields_that_clients_read() {
    let page = ResultsPage { total: 7, ..ResultsPage::default() };
    assert_eq!(page_json(page, 3), r#"{"total":7,"next_page_token":3,"results":[]}"#);
}
