//! Tests of the list's format: round trips, and parsing of arbitrary and corrupted input.

use marblecroft_discovery::format::*;
use proptest::prelude::*;
use std::time::Duration;

/// Weights in thousandths. A longer fraction may be parsed back as an adjacent floating-point value.
fn weight() -> impl Strategy<Value = f64> {
    (0..1_000_000_000_u64).prop_map(|thousandths| thousandths as f64 / 1000.0)
}

fn host() -> impl Strategy<Value = Host> {
    let state = prop_oneof![Just(State::Serving), Just(State::Draining), Just(State::Deleted)];
    (
        any::<String>(),
        any::<[u8; 4]>(),
        any::<u16>(),
        any::<String>(),
        any::<u32>(),
        state,
        weight(),
        any::<u64>(),
    )
        .prop_map(|(id, ip, port, zone, cell, state, weight, started_ms)| Host {
            id,
            addr: (ip, port).into(),
            kind: zone.chars().rev().collect(),
            zone,
            cell,
            state,
            weight,
            started_ms,
        })
}

proptest! {
    #[test]
    fn lists_round_trip(hosts in prop::collection::vec(host(), 0..20), version: u64, full: bool) {
        let text = serde_json::to_vec(&HostListRef { version, full, store: 7, epoch: 1, servers: hosts.iter().collect() }).unwrap();
        let list: HostList = serde_json::from_slice(&text).unwrap();
        prop_assert_eq!((list.version, list.full), (version, full));
        prop_assert_eq!(list.servers, hosts.into_iter().map(Entry::Readable).collect::<Vec<_>>());
    }

    #[test]
    fn requests_round_trip(since: u64, millis in 0..100_000_u64) {
        let request = ListRequest::Watch { since, wait: Duration::from_millis(millis) };
        let target = request.target();
        let (path, query) = target.split_once('?').expect("a query");
        prop_assert_eq!(path, HOSTS);
        let wait = Duration::from_millis(millis).min(MAX_WATCH_TIME);
        prop_assert_eq!(ListRequest::parse(query), Ok(ListRequest::Watch { since, wait }));
    }

    #[test]
    fn arbitrary_bytes_parse_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..400), query: String) {
        // The result is ignored: only a panic is a failure.
        let _ = serde_json::from_slice::<HostList>(&bytes);
        if let Ok(ListRequest::Watch { wait, .. }) = ListRequest::parse(&query) {
            prop_assert!(wait <= MAX_WATCH_TIME);
        }
    }

    /// Parses a valid list with some bytes changed.
    #[test]
    fn a_corrupted_list_is_read_as_far_as_possible(hosts in prop::collection::vec(host(), 1..5), changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4)) {
        let mut text = serde_json::to_vec(&HostListRef { version: 1, full: true, store: 7, epoch: 1, servers: hosts.iter().collect() }).unwrap();
        for (at, byte) in changes {
            let at = at.index(text.len());
            text[at] = byte;
        }
        if let Ok(list) = serde_json::from_slice::<HostList>(&text) {
            prop_assert!(list.servers.is_empty() || list.servers.iter().any(|e| matches!(e, Entry::Readable(_))));
        }
    }
}

#[test]
fn rejected_queries_name_the_parameter() {
    for (query, request) in [
        ("", Ok(ListRequest::Full)),
        ("timeout_ms=5", Ok(ListRequest::Full)),
        ("since=0", Ok(ListRequest::Watch { since: 0, wait: Duration::ZERO })),
        ("x=1&since=7&timeout_ms=0", Ok(ListRequest::Watch { since: 7, wait: Duration::ZERO })),
        (
            "since=7&timeout_ms=99999999999999999999999",
            Ok(ListRequest::Watch { since: 7, wait: MAX_WATCH_TIME }),
        ),
        ("since=99999999999999999999999", Ok(ListRequest::Watch { since: u64::MAX, wait: Duration::ZERO })),
        ("since=-1", Err("since is no whole number".to_owned())),
        ("since=+1", Err("since is no whole number".to_owned())),
        ("since=", Err("since is no whole number".to_owned())),
        ("since", Err("since is no whole number".to_owned())),
        ("since=1.5", Err("since is no whole number".to_owned())),
        ("since=1&since=2", Err("since comes more than once".to_owned())),
        ("since=1&timeout_ms=1e3", Err("timeout_ms is no whole number".to_owned())),
    ] {
        assert_eq!(ListRequest::parse(query).map_err(|e| e.to_string()), request, "{query:?}");
    }
}
