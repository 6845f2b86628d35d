//! The members of the operator's configuration keep their names and meanings: a configuration with every
//! member is parsed from a fixture, and a change of that configuration results in the literal text of another
//! fixture.

use marblecroft_configuration::{
    ClientLimits, Configuration, Route, RouteType, Service, Update, WeightedBackend,
};
use std::time::Duration;

const COMPLETE: &str = include_str!("golden/whole.json");
const UPDATE: &str = include_str!("golden/update.json");
const CHANGED: &str = include_str!("golden/changed.json");

fn backend(service: &str, weight: f64) -> WeightedBackend {
    WeightedBackend { service: service.to_owned(), weight }
}

fn streaming() -> Route {
    Route {
        name: "chat".to_owned(),
        hostname: "x.example".to_owned(),
        path_prefix: "/chat/".to_owned(),
        route_type: RouteType::Streaming,
        timeout: Duration::from_millis(2100),
        target_latency: Duration::from_millis(320),
        priority: 3,
        backends: vec![backend("s", 90.0), backend("t", 10.5)],
        attempts: 4,
        resumable: true,
        completion_target: Duration::from_millis(8050),
        retention: Duration::from_secs(41),
        max_queued_tokens: 670_001,
    }
}

fn with_defaults(name: &str, route_type: RouteType) -> Route {
    Route {
        name: name.to_owned(),
        hostname: "x.example".to_owned(),
        path_prefix: format!("/{name}/"),
        route_type,
        timeout: Duration::from_secs(30),
        target_latency: Duration::from_secs(30),
        priority: 0,
        backends: vec![backend("t", 1.0)],
        attempts: 1,
        resumable: false,
        completion_target: Duration::MAX,
        retention: Duration::MAX,
        max_queued_tokens: 0,
    }
}

fn routes(configuration: &Configuration) -> Vec<Route> {
    let mut routes: Vec<Route> = configuration.routes().map(|route| Route::clone(route)).collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}

#[test]
fn every_member_of_a_configuration_is_parsed_by_its_name() {
    let configuration = Configuration::parse(COMPLETE.as_bytes()).expect("valid");
    assert_eq!(configuration.generation, 7);
    let limits = ClientLimits {
        max_header_bytes: 16_385,
        max_body_bytes: 4_194_305,
        header_timeout: Duration::from_millis(3100),
        idle_timeout: Duration::from_millis(15_200),
    };
    assert_eq!(configuration.limits, limits);
    let explicit = Service {
        name: "s".to_owned(),
        health_path: "/ready".to_owned(),
        max_connections: 220,
        slots: 24,
        kv_cache_tokens: 305_000,
    };
    assert_eq!(configuration.service("s"), Some(&explicit));
    let default = Service {
        name: "t".to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 0,
        slots: 0,
        kv_cache_tokens: 0,
    };
    assert_eq!(configuration.service("t"), Some(&default));
    let expected = [
        streaming(),
        with_defaults("get", RouteType::Idempotent),
        with_defaults("nightly", RouteType::Batch),
        with_defaults("post", RouteType::NonIdempotent),
    ];
    assert_eq!(routes(&configuration), expected);
}

#[test]
fn default_limits_keep_their_values() {
    let configuration =
        Configuration::parse(br#"{"generation":1,"routes":[],"services":[]}"#).expect("valid");
    let limits = ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    assert_eq!(configuration.limits, limits);
}

#[test]
fn a_configuration_without_a_required_member_is_rejected() {
    let minimal = r#"{"generation":1,"routes":[{"name":"n","hostname":"h","path_prefix":"/","route_type":"batch","backend":"s"}],"services":[{"name":"s"}]}"#;
    assert!(Configuration::parse(minimal.as_bytes()).is_ok());
    for name in
        ["generation", "routes", "services", "name", "hostname", "path_prefix", "route_type", "backend"]
    {
        let without = minimal.replacen(&format!("\"{name}\":"), "\"other\":", 1);
        assert!(Configuration::parse(without.as_bytes()).is_err(), "{name}");
    }
}

#[test]
fn a_changed_configuration_keeps_its_text() {
    let update = Update::parse(UPDATE.as_bytes()).expect("an update");
    assert_eq!(update.generation, 12);
    let changed = update.apply(COMPLETE.trim_end().as_bytes()).expect("valid");
    let text = String::from_utf8(changed.clone()).expect("text");
    assert_eq!(text, CHANGED.trim_end());
    let configuration = Configuration::parse(&changed).expect("valid");
    assert_eq!(configuration.generation, 12);
    let names: Vec<String> = routes(&configuration).into_iter().map(|route| route.name).collect();
    assert_eq!(names, ["chat", "nightly", "post", "weekly"]);
}
