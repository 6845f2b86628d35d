//! Changes of named items: what they make of a configuration, and which are refused.

use marblecroft_configuration::{Configuration, Update};

const CURRENT: &str = r#"{"generation":7, "routes":[
{"name":"a","hostname":"x.example","path_prefix":"/a/","route_type":"streaming","timeout_ms":2000,"backend":"s","unknown":{"deep":[1, 2]}},
{"name":"b","hostname":"x.example","path_prefix":"/b/","route_type":"streaming","timeout_ms":2000,"backend":"t"}],
"services":[{"name":"s"},{"name":"t","engine":{"slots":8}}],"tenants":[],"limits":{"max_header_bytes":16384}}"#;

fn route(name: &str, path: &str, backend: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"x.example","path_prefix":"{path}","route_type":"idempotent","timeout_ms":10,"backend":"{backend}"}}"#
    )
}

/// What a change makes of the configuration, or why it is refused.
fn changed(change: &str) -> Result<String, String> {
    let update = Update::parse(change.as_bytes()).map_err(|e| e.to_string())?;
    let whole = update.apply(CURRENT.as_bytes()).map_err(|e| e.to_string())?;
    Ok(String::from_utf8(whole).expect("text"))
}

/// The routes of a configuration by name, in their order, and its generation.
fn names(text: &str) -> (u64, Vec<String>) {
    let configuration = Configuration::parse(text.as_bytes()).expect("valid");
    let mut names: Vec<String> = configuration.routes().map(|route| route.name.clone()).collect();
    names.sort();
    (configuration.generation, names)
}

#[test]
fn items_are_replaced_in_place_added_at_the_end_and_removed_and_the_rest_stays_as_written() {
    let (a, c) = (route("a", "/other/", "t"), route("c", "/c/", "s"));
    let change = format!(
        r#"{{"generation":9,"upsert":{{"routes":[{c},{a}]}},"remove":{{"routes":["b","not-there"]}}}}"#
    );
    let expected = format!(
        r#"{{"generation":9,"routes":[{a},{c}],"services":[{{"name":"s"}},{{"name":"t","engine":{{"slots":8}}}}],"tenants":[],"limits":{{"max_header_bytes":16384}}}}"#
    );
    assert_eq!(changed(&change), Ok(expected));
    let whole = changed(r#"{"remove":{"routes":["b"],"services":["t"]},"generation":8}"#).expect("valid");
    assert_eq!(names(&whole), (8, vec!["a".to_owned()]));
    assert!(whole.contains(r#""unknown":{"deep":[1, 2]}"#), "{whole}");
}

#[test]
fn a_change_of_nothing_changes_the_generation() {
    for change in [r#"{"generation":8}"#, r#"{"generation":8,"upsert":{},"remove":{"routes":[]}}"#] {
        let whole = changed(change).expect("valid");
        assert_eq!(names(&whole), (8, vec!["a".to_owned(), "b".to_owned()]));
    }
}

#[test]
fn what_cannot_be_made_is_refused_with_its_reason() {
    let (twice, same_place) = (route("c", "/c/", "s"), route("c", "/a/", "s"));
    let cases = [
        (r#"{"generation":8"#.to_owned(), "not an update: not one whole JSON value"),
        (r#"[8]"#.to_owned(), "not an update: an object is missing"),
        (r#"{"upsert":{}}"#.to_owned(), "not an update: generation is missing"),
        (r#"{"generation":8,"upsert":{},"upsert":{}}"#.to_owned(), "not an update: upsert is there twice"),
        (r#"{"generation":8,"upsert":{"routes":{}}}"#.to_owned(), "not an update: routes is no list"),
        (r#"{"generation":8,"upsert":{"routes":[1]}}"#.to_owned(), "not an update: an object is missing"),
        (
            format!(r#"{{"generation":8,"upsert":{{"routes":[{twice},{twice}]}}}}"#),
            "not an update: c is named twice in routes",
        ),
        (
            format!(r#"{{"generation":8,"upsert":{{"routes":[{twice}]}},"remove":{{"routes":["c"]}}}}"#),
            "not an update: c is named twice in routes",
        ),
        (r#"{"generation":8,"remove":{"services":["t"]}}"#.to_owned(), "route b: no service is named t"),
        (
            format!(r#"{{"generation":8,"upsert":{{"routes":[{same_place}]}}}}"#),
            "route c: another route has the same hostname and path_prefix",
        ),
        (
            r#"{"generation":8,"upsert":{"rutes":[]}}"#.to_owned(),
            "not an update: the configuration has no list rutes",
        ),
    ];
    for (change, expected) in cases {
        assert_eq!(changed(&change), Err(expected.to_owned()), "{change}");
    }
    let nameless = changed(r#"{"generation":8,"upsert":{"routes":[{"hostname":"x"}]}}"#);
    assert!(nameless.is_err_and(|e| e.starts_with("not an update: ")));
    assert!(Update::parse(b"\xff").is_err());
}

#[test]
fn every_prefix_of_a_change_is_refused() {
    let change = format!(r#"{{"generation":9,"upsert":{{"routes":[{}]}}}}"#, route("c", "/c/", "s"));
    for length in 0..change.len() {
        assert!(Update::parse(&change.as_bytes()[..length]).is_err(), "{length} bytes");
    }
}
