//! Changes of named items result in the expected configurations, and invalid changes are rejected.

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

/// Returns the configuration that results from a change, or the reason why the change is rejected.
fn changed(change: &str) -> Result<String, String> {
    let update = Update::parse(change.as_bytes()).map_err(|e| e.to_string())?;
    let changed = update.apply(CURRENT.as_bytes()).map_err(|e| e.to_string())?;
    Ok(String::from_utf8(changed).expect("text"))
}

/// Returns the generation of a configuration and the sorted names of its routes.
fn names(text: &str) -> (u64, Vec<String>) {
    let configuration = Configuration::parse(text.as_bytes()).expect("valid");
    let mut names: Vec<String> = configuration.routes().map(|route| route.name.clone()).collect();
    names.sort();
    (configuration.generation, names)
}

#[test]
fn items_are_replaced_appended_and_removed_and_everything_else_keeps_its_text() {
    let (a, c) = (route("a", "/other/", "t"), route("c", "/c/", "s"));
    let change = format!(
        r#"{{"generation":9,"upsert":{{"routes":[{c},{a}]}},"remove":{{"routes":["b","not-there"]}}}}"#
    );
    let expected = format!(
        r#"{{"generation":9,"routes":[{a},{c}],"services":[{{"name":"s"}},{{"name":"t","engine":{{"slots":8}}}}],"tenants":[],"limits":{{"max_header_bytes":16384}}}}"#
    );
    assert_eq!(changed(&change), Ok(expected));
    let text = changed(r#"{"remove":{"routes":["b"],"services":["t"]},"generation":8}"#).expect("valid");
    assert_eq!(names(&text), (8, vec!["a".to_owned()]));
    assert!(text.contains(r#""unknown":{"deep":[1, 2]}"#), "{text}");
}

#[test]
fn an_empty_change_only_changes_the_generation() {
    for change in [r#"{"generation":8}"#, r#"{"generation":8,"upsert":{},"remove":{"routes":[]}}"#] {
        let text = changed(change).expect("valid");
        assert_eq!(names(&text), (8, vec!["a".to_owned(), "b".to_owned()]));
    }
}

#[test]
fn an_invalid_change_is_rejected_with_its_reason() {
    let (twice, same_prefix) = (route("c", "/c/", "s"), route("c", "/a/", "s"));
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
            format!(r#"{{"generation":8,"upsert":{{"routes":[{same_prefix}]}}}}"#),
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
fn every_proper_prefix_of_a_change_is_rejected() {
    let change = format!(r#"{{"generation":9,"upsert":{{"routes":[{}]}}}}"#, route("c", "/c/", "s"));
    for length in 0..change.len() {
        assert!(Update::parse(&change.as_bytes()[..length]).is_err(), "{length} bytes");
    }
}
