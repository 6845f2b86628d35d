//! Tests of event splitting, prompt headers, placement, admission and tuning through the public
//! API.

use marblecroft_protocol::load::ZoneLoad;
use marblecroft_protocol::servers::{Server, ServerList};
use marblecroft_routing::admission::{Admission, RouteClass};
use marblecroft_routing::balance::{LoadBalancer, PlacementRequest, ReportedLoad, ServerOutcome};
use marblecroft_routing::events::EventSplitter;
use marblecroft_routing::ewma::Ewma;
use marblecroft_routing::prompt::Prompt;
use marblecroft_routing::tuning::Tuning;
use std::time::Duration;

const STREAM: &str = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: lines\r\n\r\ndata:three\n\n";

#[test]
fn events_do_not_depend_on_how_the_stream_is_chunked() {
    arbtest::arbtest(|u| {
        let mut splitter = EventSplitter::default();
        let (mut rest, mut events) = (STREAM.as_bytes(), Vec::new());
        while !rest.is_empty() {
            let (chunk, remaining) = rest.split_at(u.int_in_range(1..=rest.len())?);
            splitter.push(chunk);
            rest = remaining;
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        assert!(!splitter.is_partial());
        let fields: Vec<_> = events.iter().map(|event| (event.id, event.data.as_str())).collect();
        assert_eq!(fields, [(Some(1), "one"), (Some(2), "two\nlines"), (None, "three")]);
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        assert_eq!(bytes, STREAM.as_bytes());
        Ok(())
    })
    .budget_ms(300);
}

#[test]
fn prompts_are_parsed_from_request_headers() {
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
        address: "10.0.0.1:80".parse().expect("valid address"),
        zone: zone.to_owned(),
        slots: 8,
        draining: false,
        warmup_left_ms: 0,
    }
}

fn choose(balancer: &mut LoadBalancer, attempted: &[String], max_occupancy: f64) -> Option<String> {
    let request = PlacementRequest { service: "s", prefix_key: None, attempted, max_occupancy };
    balancer.choose(&request, Duration::from_secs(1)).map(|server| server.id)
}

#[test]
fn requests_go_to_the_least_loaded_available_server_of_the_local_zone() {
    let mut balancer = LoadBalancer::new("a", 1, Tuning::default());
    let mut list = ServerList { servers: vec![server("x", "a"), server("y", "b")], ..ServerList::default() };
    balancer.update(&list);
    let now = Duration::from_secs(1);
    assert_eq!(choose(&mut balancer, &[], f64::INFINITY).as_deref(), Some("x"));
    assert_eq!(choose(&mut balancer, &["x".to_owned()], f64::INFINITY).as_deref(), Some("y"));
    balancer.on_reported_load("x", ReportedLoad { running: 6, waiting: 0, slots: 8 }, now);
    assert_eq!(choose(&mut balancer, &[], f64::INFINITY).as_deref(), Some("y"));
    balancer.on_outcome("y", ServerOutcome::Failed, now);
    assert_eq!(choose(&mut balancer, &[], f64::INFINITY).as_deref(), Some("x"));
    assert_eq!(choose(&mut balancer, &[], 0.5), None, "x is above the limit, y is ejected");
    list.servers[0].draining = true;
    balancer.update(&list);
    assert!(!balancer.is_available("x"));
    assert_eq!(
        choose(&mut balancer, &[], f64::INFINITY).as_deref(),
        Some("y"),
        "the last available server is chosen although it is ejected"
    );
}

#[test]
fn overload_sheds_the_lowest_priority_first() {
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
fn peer_load_counts_until_it_expires() {
    let (mut local, mut peer) = (balancer_with_two_servers("a"), balancer_with_two_servers("a"));
    let at = Duration::from_millis;
    for _ in 0..5 {
        peer.on_sent("near", 10, at(1000));
    }
    local.on_peer_load(7, &peer.take_load_update(at(1200)), at(1000));
    assert_eq!(choose_at(&mut local, at(1100)).as_deref(), Some("near-too"), "the other server is loaded");
    assert_eq!(
        peer.take_load_update(at(1200))
            .iter()
            .map(|load| (load.in_flight, load.prompt_tokens))
            .collect::<Vec<_>>(),
        [(5, 0)]
    );
    (0..5).for_each(|_| peer.on_finished("near", at(1200)));
    local.on_peer_load(7, &peer.take_load_update(at(1200)), at(1200));
    local.on_sent("near-too", 10, at(1200));
    assert_eq!(choose_at(&mut local, at(1200)).as_deref(), Some("near"), "the latest update counts");
    (0..5).for_each(|_| peer.on_sent("near", 10, at(1300)));
    local.on_peer_load(7, &peer.take_load_update(at(1200)), at(1300));
    assert_eq!(choose_at(&mut local, at(1400)).as_deref(), Some("near-too"));
    assert_eq!(
        choose_at(&mut local, at(9000)).as_deref(),
        Some("near"),
        "the load of a gateway that stops sending expires"
    );
}

#[test]
fn the_occupancy_of_a_remote_server_is_at_least_the_mean_of_its_zone() {
    let at = Duration::from_millis;
    let list = ServerList { servers: vec![server("near", "a"), server("far", "b")], ..ServerList::default() };
    let mut balancer = LoadBalancer::new("a", 1, Tuning::default());
    balancer.update(&list);
    (0..5).for_each(|_| balancer.on_sent("near", 0, at(0)));
    assert_eq!(
        choose_at(&mut balancer, at(1000)).as_deref(),
        Some("far"),
        "the load of the other zone is unknown"
    );
    let zones = [
        ZoneLoad { zone: "a".to_owned(), in_flight: 5.0 },
        ZoneLoad { zone: "b".to_owned(), in_flight: 6.0 },
    ];
    balancer.on_cluster_load(&zones, 3.0, at(1000));
    assert_eq!(choose_at(&mut balancer, at(1100)).as_deref(), Some("near"), "the other zone is more loaded");
    assert_eq!(
        balancer.occupancy("s", at(1100)),
        Some(3.0 / 16.0),
        "live requests of all gateways over all slots"
    );
    assert_eq!(choose_at(&mut balancer, at(9000)).as_deref(), Some("far"), "the report has expired");
    let averages = balancer.zone_averages(at(9000));
    assert!(averages.iter().any(|average| average.zone == "a" && average.in_flight > 4.9), "{averages:?}");
}

fn balancer_with_two_servers(zone: &str) -> LoadBalancer {
    let list =
        ServerList { servers: vec![server("near", zone), server("near-too", zone)], ..ServerList::default() };
    let mut balancer = LoadBalancer::new(zone, 1, Tuning::default());
    balancer.update(&list);
    balancer
}

fn choose_at(balancer: &mut LoadBalancer, now: Duration) -> Option<String> {
    let request =
        PlacementRequest { service: "s", prefix_key: None, attempted: &[], max_occupancy: f64::INFINITY };
    balancer.choose(&request, now).map(|server| server.id)
}

#[test]
fn a_failing_server_gets_less_traffic_and_recovers_with_time() {
    let at = Duration::from_millis;
    let (mut local, mut peer) = (balancer_with_two_servers("a"), balancer_with_two_servers("a"));
    // Every second request fails immediately, so the server looks idle.
    for _ in 0..5 {
        local.on_outcome("near", ServerOutcome::Failed, at(1000));
        local.on_outcome("near", ServerOutcome::Succeeded, at(1000));
    }
    local.on_sent("near-too", 0, at(1000));
    assert_eq!(choose_at(&mut local, at(1100)).as_deref(), Some("near-too"), "although its load is higher");
    peer.on_peer_load(1, &local.take_load_update(at(1100)), at(1100));
    assert_eq!(choose_at(&mut peer, at(1200)).as_deref(), Some("near-too"), "peers report failure rates");
    let update = peer.take_load_update(at(1200));
    assert!(
        update.iter().all(|load| load.failure_share == 0),
        "reported rates are not passed on: {update:?}"
    );
    (0..3).for_each(|_| peer.on_sent("near-too", 0, at(1200)));
    assert_eq!(choose_at(&mut peer, at(15_000)).as_deref(), Some("near"), "the rate has decayed");
    for id in ["near", "near-too"] {
        (0..9).for_each(|_| peer.on_outcome(id, ServerOutcome::Failed, at(20_000)));
    }
    assert!(choose_at(&mut peer, at(26_000)).is_some(), "a server is chosen although all servers fail");
}

#[test]
fn constants_are_set_by_flag_name_and_invalid_settings_are_rejected() {
    let mut tuning = Tuning::default();
    assert_eq!(tuning.set("other_zone_load=0.5"), Ok(()));
    assert_eq!(tuning.other_zone_load, 0.5);
    let mut rejection = |setting: &str| tuning.set(setting).map_err(|e| e.to_string());
    assert_eq!(rejection("other_zone_load=x"), Err("other_zone_load=x: expected a number".to_owned()));
    assert_eq!(rejection("nothing=1"), Err("nothing: no such constant".to_owned()));
    assert_eq!(rejection("nothing"), Err("nothing: expected NAME=VALUE".to_owned()));
}

#[test]
fn the_flag_name_of_every_constant_is_accepted() {
    let names = [
        "told_half_life_ms",
        "peer_lasts_ms",
        "mean_memory_ms",
        "zone_lasts_ms",
        "other_zone_load",
        "not_kept_load",
        "read_per_ms",
        "reading_scale_tokens",
        "chance_load",
        "failing_half_life_ms",
        "failing_weight",
        "failing_load",
        "notice_ms",
        "keepers",
    ];
    for name in names {
        let mut tuning = Tuning::default();
        assert_eq!(tuning.set(&format!("{name}=0.125")), Ok(()));
        assert_ne!(tuning, Tuning::default(), "{name}");
    }
}

#[test]
fn advancing_in_one_step_equals_advancing_in_many_steps() {
    let (mut once, mut often) = (Ewma::default(), Ewma::default());
    once.advance(8.0, 1.0);
    (0..10).for_each(|_| often.advance(8.0, 0.1));
    assert!((once.average() - often.average()).abs() < 1e-9, "{once:?} {often:?}");
    assert!((Ewma::rising_from_zero(8.0, 1.0).average() - once.average()).abs() < 1e-9);
}

/// Returns whether the only server of a balancer is ejected. With a finite occupancy limit, an
/// ejected server is not chosen even if it is the only one.
fn is_ejected(balancer: &mut LoadBalancer, now: Duration) -> bool {
    let request = PlacementRequest { service: "s", prefix_key: None, attempted: &[], max_occupancy: 9.0 };
    balancer.choose(&request, now).is_none()
}

#[test]
fn ejection_backoff_doubles_up_to_a_limit_and_a_success_ends_it() {
    let mut balancer = LoadBalancer::new("a", 1, Tuning::default());
    balancer.update(&ServerList { servers: vec![server("x", "a")], ..ServerList::default() });
    let mut now = Duration::from_secs(1);
    for backoff_ms in [500, 1000, 2000, 4000, 4000] {
        balancer.on_outcome("x", ServerOutcome::Failed, now);
        balancer.on_outcome("x", ServerOutcome::Failed, now);
        let until = now + Duration::from_millis(backoff_ms);
        assert!(is_ejected(&mut balancer, until - Duration::from_millis(1)), "{backoff_ms}");
        assert!(!is_ejected(&mut balancer, until), "simultaneous failures count once: {backoff_ms}");
        now = until;
    }
    balancer.on_outcome("x", ServerOutcome::Failed, now);
    balancer.on_outcome("x", ServerOutcome::Succeeded, now);
    assert!(!is_ejected(&mut balancer, now));
    balancer.on_outcome("x", ServerOutcome::Full, now);
    assert!(is_ejected(&mut balancer, now + Duration::from_millis(59)));
    assert!(!is_ejected(&mut balancer, now + Duration::from_millis(60)));
}

#[test]
fn removing_a_server_moves_only_its_own_prefixes() {
    let choices = |servers: &[u32]| -> Vec<String> {
        let servers = servers.iter().map(|number| server(&format!("server-{number}"), "a")).collect();
        let list = ServerList { servers, ..ServerList::default() };
        let choose = |key| {
            // One affine server, and no random term.
            let mut tuning = Tuning::default();
            tuning.set("keepers=1").and_then(|()| tuning.set("chance_load=0")).expect("known constants");
            let mut balancer = LoadBalancer::new("a", 1, tuning);
            balancer.update(&list);
            let request =
                PlacementRequest { service: "s", prefix_key: Some(key), attempted: &[], max_occupancy: 1.0 };
            balancer.choose(&request, Duration::from_secs(1)).expect("a server is chosen").id
        };
        (0..200).map(choose).collect()
    };
    let (before, after) = (choices(&[0, 1, 2, 3, 4]), choices(&[0, 1, 3, 4]));
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || before == "server-2", "{before} {after}");
    }
    assert!((10..80).contains(&before.iter().filter(|id| *id == "server-2").count()));
}
