//! Events however they are cut, prompts, and where requests go.

use marblecroft_protocol::load::ZoneLoad;
use marblecroft_protocol::servers::{Server, ServerList};
use marblecroft_routing::admission::{Admission, RouteClass};
use marblecroft_routing::balance::{LoadBalancer, PlacementRequest, ReportedLoad, ServerOutcome};
use marblecroft_routing::events::EventSplitter;
use marblecroft_routing::prompt::Prompt;
use marblecroft_routing::tuning::Tuning;
use std::time::Duration;

const STREAM: &str = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: lines\r\n\r\ndata:three\n\n";

#[test]
fn events_are_the_same_however_the_stream_is_cut() {
    arbtest::arbtest(|u| {
        let mut splitter = EventSplitter::default();
        let (mut rest, mut events) = (STREAM.as_bytes(), Vec::new());
        while !rest.is_empty() {
            let (part, behind) = rest.split_at(u.int_in_range(1..=rest.len())?);
            splitter.push(part);
            rest = behind;
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        assert!(!splitter.is_partial());
        let told: Vec<_> = events.iter().map(|event| (event.id, event.data.as_str())).collect();
        assert_eq!(told, [(Some(1), "one"), (Some(2), "two\nlines"), (None, "three")]);
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        assert_eq!(bytes, STREAM.as_bytes());
        Ok(())
    })
    .budget_ms(300);
}

#[test]
fn a_prompt_is_read_from_its_headers() {
    let prompt = Prompt::parse(Some("1460,80"), Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
    assert_eq!((prompt.input_tokens, prompt.max_output_tokens, prompt.shared_tokens()), (1460, 80, 1210));
    let other = Prompt::parse(Some("9,9"), Some("5c1e07a2:800,91bd3f06:410,ffff:1"));
    assert_eq!(prompt.prefix_key(), other.prefix_key());
    assert_eq!(Prompt::parse(None, None), Prompt::default());
    assert_eq!(Prompt::parse(Some("x"), Some("nothing")).prefix_key(), None);
}

fn server(id: &str, zone: &str) -> Server {
    Server {
        id: id.to_owned(),
        backend: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        draining: false,
        warmup_left_ms: 0,
    }
}

fn choose(fleet: &mut LoadBalancer, tried: &[String], load_most: f64) -> Option<String> {
    let wish = PlacementRequest { service: "s", prefix_key: None, attempted: tried, max_load: load_most };
    fleet.choose(&wish, Duration::from_secs(1)).map(|server| server.id)
}

#[test]
fn requests_go_to_the_least_taken_server_of_the_own_zone_that_is_not_draining() {
    let mut fleet = LoadBalancer::new("a", 1, Tuning::default());
    let mut list = ServerList { servers: vec![server("x", "a"), server("y", "b")], ..ServerList::default() };
    fleet.update(&list);
    let now = Duration::from_secs(1);
    assert_eq!(choose(&mut fleet, &[], f64::INFINITY).as_deref(), Some("x"));
    assert_eq!(choose(&mut fleet, &["x".to_owned()], f64::INFINITY).as_deref(), Some("y"));
    fleet.on_reported_load("x", ReportedLoad { running: 6, waiting: 0, slots: 8 }, now);
    assert_eq!(choose(&mut fleet, &[], f64::INFINITY).as_deref(), Some("y"));
    fleet.on_outcome("y", ServerOutcome::Failed, now);
    assert_eq!(choose(&mut fleet, &[], f64::INFINITY).as_deref(), Some("x"));
    assert_eq!(choose(&mut fleet, &[], 0.5), None, "x is taken further, y is avoided");
    list.servers[0].draining = true;
    fleet.update(&list);
    assert!(!fleet.is_available("x"));
    assert_eq!(
        choose(&mut fleet, &[], f64::INFINITY).as_deref(),
        Some("y"),
        "the only one is tried all the same"
    );
}

#[test]
fn overload_is_shed_from_the_lowest_priority_up() {
    let mut admission = Admission::default();
    let class = |route: &str, priority| RouteClass { route: route.to_owned(), priority, value: 1.0 };
    admission.configure(vec![class("high", 0), class("low", 2)]);
    let (mut high, mut low) = (0, 0);
    for step in 1..=100u64 {
        for _ in 0..10 {
            high += u32::from(admission.admit("high", 100.0));
            low += u32::from(admission.admit("low", 100.0));
            for route in ["high", "low"] {
                admission.record_latency(route, Duration::from_millis(100), Duration::from_millis(300));
            }
        }
        admission.assess(Duration::from_millis(step * 100), Some(1.3), Duration::from_millis(300), false);
    }
    assert!(admission.admitted_fraction() < 0.8, "{}", admission.admitted_fraction());
    assert!(high > 2 * low && low < 500, "high {high}, low {low}");
}

#[test]
fn what_other_gateways_have_at_a_server_counts_until_it_is_old() {
    let (mut own, mut other) = (fleet_of_two("a"), fleet_of_two("a"));
    let at = Duration::from_millis;
    for _ in 0..5 {
        other.on_sent("near", 10, at(1000));
    }
    own.on_peer_load(7, &other.take_load_update(at(1200)), at(1000));
    assert_eq!(choose_at(&mut own, at(1100)).as_deref(), Some("near-too"), "the other one is taken");
    assert_eq!(
        other
            .take_load_update(at(1200))
            .iter()
            .map(|told| (told.in_flight, told.prompt_tokens))
            .collect::<Vec<_>>(),
        [(5, 0)]
    );
    (0..5).for_each(|_| other.on_finished("near", at(1200)));
    own.on_peer_load(7, &other.take_load_update(at(1200)), at(1200));
    own.on_sent("near-too", 10, at(1200));
    assert_eq!(choose_at(&mut own, at(1200)).as_deref(), Some("near"), "what is told last counts");
    (0..5).for_each(|_| other.on_sent("near", 10, at(1300)));
    own.on_peer_load(7, &other.take_load_update(at(1200)), at(1300));
    assert_eq!(choose_at(&mut own, at(1400)).as_deref(), Some("near-too"));
    assert_eq!(
        choose_at(&mut own, at(9000)).as_deref(),
        Some("near"),
        "a gateway that is gone has nothing out"
    );
}

#[test]
fn a_server_of_another_zone_is_taken_to_be_as_full_as_that_zone_is() {
    let at = Duration::from_millis;
    let list = ServerList { servers: vec![server("near", "a"), server("far", "b")], ..ServerList::default() };
    let mut fleet = LoadBalancer::new("a", 1, Tuning::default());
    fleet.update(&list);
    (0..5).for_each(|_| fleet.on_sent("near", 0, at(0)));
    assert_eq!(choose_at(&mut fleet, at(1000)).as_deref(), Some("far"), "nothing is known of the other zone");
    let zones = [
        ZoneLoad { zone: "a".to_owned(), in_flight: 5.0 },
        ZoneLoad { zone: "b".to_owned(), in_flight: 6.0 },
    ];
    fleet.on_cluster_load(&zones, 3.0, at(1000));
    assert_eq!(choose_at(&mut fleet, at(1100)).as_deref(), Some("near"), "the other zone is fuller");
    assert_eq!(
        fleet.occupancy("s", at(1100)),
        Some(3.0 / 16.0),
        "live requests of all gateways over all slots"
    );
    assert_eq!(choose_at(&mut fleet, at(9000)).as_deref(), Some("far"), "it is old");
    let means = fleet.zone_means(at(9000));
    assert!(means.iter().any(|mean| mean.zone == "a" && mean.in_flight > 4.9), "{means:?}");
}

fn fleet_of_two(zone: &str) -> LoadBalancer {
    let list =
        ServerList { servers: vec![server("near", zone), server("near-too", zone)], ..ServerList::default() };
    let mut fleet = LoadBalancer::new(zone, 1, Tuning::default());
    fleet.update(&list);
    fleet
}

fn choose_at(fleet: &mut LoadBalancer, now: Duration) -> Option<String> {
    let wish = PlacementRequest { service: "s", prefix_key: None, attempted: &[], max_load: f64::INFINITY };
    fleet.choose(&wish, now).map(|server| server.id)
}

#[test]
fn a_server_at_which_requests_fail_gets_less_than_its_peers_and_is_tried_again_in_time() {
    let at = Duration::from_millis;
    let (mut own, mut other) = (fleet_of_two("a"), fleet_of_two("a"));
    // Every other request fails, at once, so that the server looks idle.
    for _ in 0..5 {
        own.on_outcome("near", ServerOutcome::Failed, at(1000));
        own.on_outcome("near", ServerOutcome::Succeeded, at(1000));
    }
    own.on_sent("near-too", 0, at(1000));
    assert_eq!(choose_at(&mut own, at(1100)).as_deref(), Some("near-too"), "although it is taken more");
    other.on_peer_load(1, &own.take_load_update(at(1100)), at(1100));
    assert_eq!(choose_at(&mut other, at(1200)).as_deref(), Some("near-too"), "gateways tell each other");
    let told = other.take_load_update(at(1200));
    assert!(told.iter().all(|told| told.failure_share == 0), "what was told is not told on: {told:?}");
    (0..3).for_each(|_| other.on_sent("near-too", 0, at(1200)));
    assert_eq!(choose_at(&mut other, at(15_000)).as_deref(), Some("near"), "it is tried again");
    for id in ["near", "near-too"] {
        (0..9).for_each(|_| other.on_outcome(id, ServerOutcome::Failed, at(20_000)));
    }
    assert!(choose_at(&mut other, at(26_000)).is_some(), "where all fail there is no better one");
}

#[test]
fn a_constant_is_set_by_its_name_or_refused_in_one_line() {
    let mut tuning = Tuning::default();
    assert_eq!(tuning.set("other_zone_load=0.5"), Ok(()));
    assert_eq!(tuning.other_zone_load, 0.5);
    assert_eq!(tuning.set("other_zone_load=x"), Err("other_zone_load=x: expected a number".to_owned()));
    assert_eq!(tuning.set("nothing=1"), Err("nothing: no such constant".to_owned()));
    assert_eq!(tuning.set("nothing"), Err("nothing: expected NAME=VALUE".to_owned()));
}
