//! Tests of a gateway's follower with simulated services on a virtual clock: lost, late and reordered
//! responses, services that are behind, and other stores.

use marblecroft_discovery::client::*;
use marblecroft_discovery::format::*;
use marblecroft_discovery::store::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

const REMOVAL_POLICY: RemovalPolicy =
    RemovalPolicy { max_missing_fraction: 0.5, removal_delay: Duration::from_secs(10) };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn host(id: &str, state: State) -> Entry {
    Entry::Readable(Host {
        id: id.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state,
        weight: 1.0,
        started_ms: 0,
    })
}

fn list(version: u64, full: bool, store: u64, servers: &[(&str, State)]) -> HostList {
    let servers = servers.iter().map(|(id, state)| host(id, *state)).collect();
    HostList { version, full, store: Some(store), epoch: 0, servers }
}

/// Applies a list to the view of a reader that uses the follower.
fn apply(view: &mut BTreeMap<String, State>, list: &HostList) {
    if list.full {
        view.clear();
    }
    for entry in &list.servers {
        let Entry::Readable(host) = entry else { continue };
        if host.state == State::Deleted {
            view.remove(&host.id);
        } else {
            view.insert(host.id.clone(), host.state);
        }
    }
}

fn merge_and_apply(follower: &mut Follower, view: &mut BTreeMap<String, State>, list: HostList, now: u64) {
    match follower.merge(list, ms(now)) {
        MergeOutcome::Merged(list) => apply(view, &list),
        other => panic!("{other:?}"),
    }
}

use State::{Deleted, Draining, Serving};

#[test]
fn a_list_older_than_the_view_is_rejected() {
    let (mut follower, mut view) = (Follower::new(REMOVAL_POLICY), BTreeMap::new());
    merge_and_apply(&mut follower, &mut view, list(10, true, 1, &[("a", Serving), ("b", Draining)]), 0);
    for older in [list(9, true, 1, &[("a", Serving), ("b", Serving)]), list(7, false, 1, &[("b", Serving)])] {
        assert_eq!(follower.merge(older, ms(50)), MergeOutcome::Stale);
    }
    assert_eq!(
        (follower.version(), follower.age(ms(400))),
        (Some(10), Some(ms(400))),
        "a rejected list does not refresh the view"
    );
    merge_and_apply(&mut follower, &mut view, list(10, false, 1, &[]), 500);
    assert_eq!(follower.age(ms(500)), Some(ms(0)));
}

#[test]
fn another_store_is_accepted_only_with_a_full_list() {
    let (mut follower, mut view) = (Follower::new(REMOVAL_POLICY), BTreeMap::new());
    merge_and_apply(&mut follower, &mut view, list(10, true, 1, &[("a", Serving)]), 0);
    assert_eq!(follower.merge(list(90, false, 2, &[("b", Serving)]), ms(1)), MergeOutcome::OtherStore);
    // The versions of the two stores are not comparable.
    merge_and_apply(&mut follower, &mut view, list(3, true, 2, &[("a", Serving), ("b", Serving)]), 2);
    assert_eq!((follower.version(), view.len()), (Some(3), 2));
}

#[test]
fn a_new_epoch_is_accepted_only_with_a_full_list_and_a_former_one_never() {
    let (mut follower, mut view) = (Follower::new(REMOVAL_POLICY), BTreeMap::new());
    let with_epoch = |epoch: u64, list: HostList| HostList { epoch, ..list };
    merge_and_apply(&mut follower, &mut view, with_epoch(1, list(10, true, 1, &[("a", Serving)])), 0);
    // The last change of the former writer, "b", was not replicated to the new one.
    merge_and_apply(&mut follower, &mut view, with_epoch(1, list(11, false, 1, &[("b", Serving)])), 1);
    assert_eq!(
        follower.merge(with_epoch(2, list(20, false, 1, &[("c", Serving)])), ms(2)),
        MergeOutcome::OtherStore
    );
    merge_and_apply(
        &mut follower,
        &mut view,
        with_epoch(2, list(20, true, 1, &[("a", Serving), ("c", Serving)])),
        3,
    );
    assert_eq!(view.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
    assert_eq!(
        follower.merge(with_epoch(1, list(99, true, 1, &[("b", Serving)])), ms(4)),
        MergeOutcome::Stale
    );
}

#[test]
fn many_servers_missing_at_once_are_kept_for_the_delay_unless_draining() {
    let (mut follower, mut view) = (Follower::new(REMOVAL_POLICY), BTreeMap::new());
    let all = [("a", Serving), ("b", Serving), ("c", Serving), ("d", Draining)];
    merge_and_apply(&mut follower, &mut view, list(1, true, 1, &all), 0);
    merge_and_apply(&mut follower, &mut view, list(2, true, 1, &[("a", Serving)]), 1000);
    assert_eq!(
        view.keys().map(String::as_str).collect::<Vec<_>>(),
        ["a", "b", "c"],
        "d was draining and is removed at once"
    );
    assert_eq!((follower.servers_pending_removal(), follower.next_removal_at()), (2, Some(ms(11_000))));
    // A deletion removes one of them at once. A further full list without the other does not restart its
    // delay.
    merge_and_apply(&mut follower, &mut view, list(3, false, 1, &[("b", Deleted)]), 2000);
    merge_and_apply(&mut follower, &mut view, list(4, true, 1, &[("a", Serving)]), 3000);
    assert_eq!(view.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
    assert_eq!(follower.remove_overdue(ms(10_999)), None);
    let deletions = follower.remove_overdue(ms(11_000)).expect("the removal delay has passed");
    apply(&mut view, &deletions);
    assert_eq!((view.len(), follower.servers_pending_removal()), (1, 0));
    assert!(!deletions.full && deletions.version == 4);
}

#[test]
fn few_missing_servers_are_removed_at_once() {
    let (mut follower, mut view) = (Follower::new(REMOVAL_POLICY), BTreeMap::new());
    merge_and_apply(
        &mut follower,
        &mut view,
        list(1, true, 1, &[("a", Serving), ("b", Serving), ("c", Serving)]),
        0,
    );
    merge_and_apply(&mut follower, &mut view, list(2, true, 1, &[("a", Serving), ("b", Serving)]), 1);
    assert_eq!((view.len(), follower.servers_pending_removal()), (2, 0));
    // A server that was missing and is listed again is no longer pending removal.
    merge_and_apply(&mut follower, &mut view, list(3, true, 1, &[]), 2);
    assert_eq!((view.len(), follower.servers_pending_removal()), (2, 2));
    merge_and_apply(&mut follower, &mut view, list(4, true, 1, &[("a", Serving), ("b", Serving)]), 3);
    assert_eq!(
        (view.len(), follower.servers_pending_removal(), follower.remove_overdue(ms(99_000))),
        (2, 0, None)
    );
}

#[derive(Clone, Debug)]
enum Step {
    Register(u8),
    Drain(u8),
    Deregister(u8),
    /// Service 1, the replica, receives all changes of service 0, the writer.
    Replicate,
    /// Sends a request to a service. The response is lost or arrives after a delay in milliseconds.
    Request {
        service: usize,
        delay: u64,
        lost: bool,
        full: bool,
    },
    /// Advances the clock, in milliseconds.
    Advance(u64),
    /// Replaces both services by those of another, empty store, and drops the responses in flight.
    OtherStore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6_u8).prop_map(Step::Register),
        1 => (0..6_u8).prop_map(Step::Drain),
        2 => (0..6_u8).prop_map(Step::Deregister),
        2 => Just(Step::Replicate),
        6 => (0..2_usize, 0..3000_u64, prop::bool::weighted(0.3), prop::bool::weighted(0.2))
            .prop_map(|(service, delay, lost, full)| Step::Request { service, delay, lost, full }),
        2 => (0..2000_u64).prop_map(Step::Advance),
        1 => prop::bool::weighted(0.2).prop_map(|other| if other { Step::OtherStore } else { Step::Replicate }),
    ]
}

/// Replicates the first store's changes to the second one, as a replica does.
fn replicate(stores: &mut [Store; 2], now: Duration) {
    match stores[0].records_since(stores[1].version()) {
        Some(records) => records.into_iter().for_each(|record| stores[1].apply(record, now)),
        None => stores[1] = Store::restore_replica(stores[0].snapshot(), now),
    }
    assert_eq!((stores[1].version(), listed(&stores[1])), (stores[0].version(), listed(&stores[0])));
}

fn listed(store: &Store) -> BTreeMap<String, State> {
    store.full_list().into_iter().map(|host| (host.id.clone(), host.state)).collect()
}

/// Responses may overtake each other, since a failover to another service leaves requests in flight. The view
/// must never return to an older list. After the faults have ended, one response of the writer and the
/// removal delay must make it equal to the store.
#[test]
fn the_view_never_returns_to_an_older_list_and_converges_after_faults() {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let (stale_lists, pending_removals, store_changes) = (Cell::new(0), Cell::new(0), Cell::new(0));
    runner
        .run(&prop::collection::vec(step(), 1..80), |steps| {
            let mut stores = [Store::default(), Store::default()];
            let opened = stores[0].opening_record(1_700_000_000_000);
            stores[0].apply(opened, ms(0));
            let (mut follower, mut view) = (Follower::new(REMOVAL_POLICY), BTreeMap::new());
            let (mut now, mut in_flight): (u64, Vec<(u64, Vec<u8>)>) = (0, Vec::new());
            let (mut newest_version, mut replacements) = (0, 0);
            for step in steps {
                let command = match &step {
                    Step::Register(id) => Some(Command::Register {
                        server: Registration {
                            id: format!("s-{id}"),
                            addr: ([127, 0, 0, 1], 1).into(),
                            zone: String::new(),
                            kind: String::new(),
                            cell: 0,
                            weight: 1.0,
                        },
                        lease: None,
                        revision: None,
                    }),
                    Step::Drain(id) => Some(Command::Drain { id: format!("s-{id}"), revision: None }),
                    Step::Deregister(id) => {
                        Some(Command::Deregister { id: format!("s-{id}"), revision: None })
                    }
                    _ => None,
                };
                if let Some(Ok(Decision::Change(record))) = command.map(|c| stores[0].decide(&c, ms(now), 1))
                {
                    stores[0].apply(record, ms(now));
                }
                match step {
                    Step::Replicate => replicate(&mut stores, ms(now)),
                    Step::Request { service, delay, lost, full }
                        if !lost && stores[service].version() > 0 =>
                    {
                        let since = follower.version().filter(|_| !full);
                        let store = &stores[service];
                        in_flight.push((
                            now + delay,
                            store.encode_list(since).unwrap_or_else(|| store.encode_unchanged()),
                        ));
                    }
                    Step::Advance(millis) => now += millis,
                    Step::OtherStore => {
                        replacements += 1;
                        store_changes.set(store_changes.get() + 1);
                        stores = [Store::default(), Store::default()];
                        let opened = stores[0].opening_record(1_700_000_000_000 - 1000 * replacements);
                        stores[0].apply(opened, ms(now));
                        in_flight.clear();
                        // The new store's versions are lower, and not comparable to those of the former
                        // store.
                        newest_version = 0;
                    }
                    _ => {}
                }
                in_flight.sort();
                while in_flight.first().is_some_and(|(at, _)| *at <= now) {
                    let (_, text) = in_flight.remove(0);
                    let list: HostList = serde_json::from_slice(&text).expect("a list");
                    match follower.merge(list, ms(now)) {
                        MergeOutcome::Merged(list) => {
                            prop_assert!(list.version >= newest_version, "back to an older list");
                            newest_version = list.version;
                            apply(&mut view, &list);
                        }
                        MergeOutcome::Stale => {
                            stale_lists.set(stale_lists.get() + 1);
                        }
                        // The versions of two stores do not overlap, so a watch with a version of another
                        // store gets the full list at once.
                        MergeOutcome::OtherStore => prop_assert!(false, "changes of another store"),
                    }
                }
                follower.remove_overdue(ms(now)).iter().for_each(|list| apply(&mut view, list));
                pending_removals.set(pending_removals.get() + follower.servers_pending_removal());
            }
            // The faults have ended.
            let full: HostList =
                serde_json::from_slice(&stores[0].encode_list(None).expect("a list")).expect("a list");
            if let MergeOutcome::Merged(list) = follower.merge(full, ms(now)) {
                apply(&mut view, &list);
            }
            follower
                .remove_overdue(ms(now) + REMOVAL_POLICY.removal_delay)
                .iter()
                .for_each(|list| apply(&mut view, list));
            prop_assert_eq!(view, listed(&stores[0]));
            Ok(())
        })
        .unwrap();
    assert!(store_changes.get() > 500, "{}", store_changes.get());
    assert!(
        stale_lists.get() > 500 && pending_removals.get() > 100,
        "{} {}",
        stale_lists.get(),
        pending_removals.get()
    );
}
