//! Services and a gateway's follower together, on a virtual clock: cuts, late and reordered answers, services that are
//! behind, another store.

use marblecroft_discovery::client::*;
use marblecroft_discovery::format::*;
use marblecroft_discovery::store::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

const CAUTION: Caution = Caution { share: 0.5, removal_delay: Duration::from_secs(10) };

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

/// What a reader of the lists that were passed on holds.
fn pass(held: &mut BTreeMap<String, State>, list: &HostList) {
    if list.full {
        held.clear();
    }
    for entry in &list.servers {
        let Entry::Readable(host) = entry else { continue };
        if host.state == State::Deleted {
            held.remove(&host.id);
        } else {
            held.insert(host.id.clone(), host.state);
        }
    }
}

fn passed(follower: &mut Follower, held: &mut BTreeMap<String, State>, list: HostList, now: u64) {
    match follower.take(list, ms(now)) {
        Taken::List(list) => pass(held, &list),
        other => panic!("{other:?}"),
    }
}

use State::{Deleted, Draining, Serving};

#[test]
fn a_service_that_is_behind_is_never_followed_back() {
    let (mut follower, mut held) = (Follower::new(CAUTION), BTreeMap::new());
    passed(&mut follower, &mut held, list(10, true, 1, &[("a", Serving), ("b", Draining)]), 0);
    for older in [list(9, true, 1, &[("a", Serving), ("b", Serving)]), list(7, false, 1, &[("b", Serving)])] {
        assert_eq!(follower.take(older, ms(50)), Taken::Behind);
    }
    assert_eq!((follower.version(), follower.age(ms(400))), (Some(10), Some(ms(400))), "no news is none");
    passed(&mut follower, &mut held, list(10, false, 1, &[]), 500);
    assert_eq!(follower.age(ms(500)), Some(ms(0)));
}

#[test]
fn another_store_is_taken_whole_or_not_at_all() {
    let (mut follower, mut held) = (Follower::new(CAUTION), BTreeMap::new());
    passed(&mut follower, &mut held, list(10, true, 1, &[("a", Serving)]), 0);
    assert_eq!(follower.take(list(90, false, 2, &[("b", Serving)]), ms(1)), Taken::Foreign);
    // Its versions say nothing about the former one's.
    passed(&mut follower, &mut held, list(3, true, 2, &[("a", Serving), ("b", Serving)]), 2);
    assert_eq!((follower.version(), held.len()), (Some(3), 2));
}

#[test]
fn a_new_writer_is_taken_whole_and_the_old_one_no_more() {
    let (mut follower, mut held) = (Follower::new(CAUTION), BTreeMap::new());
    let under = |epoch: u64, list: HostList| HostList { epoch, ..list };
    passed(&mut follower, &mut held, under(1, list(10, true, 1, &[("a", Serving)])), 0);
    // What the old one did last, "b", the new one has never heard of.
    passed(&mut follower, &mut held, under(1, list(11, false, 1, &[("b", Serving)])), 1);
    assert_eq!(follower.take(under(2, list(20, false, 1, &[("c", Serving)])), ms(2)), Taken::Foreign);
    passed(&mut follower, &mut held, under(2, list(20, true, 1, &[("a", Serving), ("c", Serving)])), 3);
    assert_eq!(held.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
    assert_eq!(follower.take(under(1, list(99, true, 1, &[("b", Serving)])), ms(4)), Taken::Behind);
}

#[test]
fn servers_that_are_missing_all_at_once_are_held_for_a_while_but_not_those_that_drain() {
    let (mut follower, mut held) = (Follower::new(CAUTION), BTreeMap::new());
    let all = [("a", Serving), ("b", Serving), ("c", Serving), ("d", Draining)];
    passed(&mut follower, &mut held, list(1, true, 1, &all), 0);
    passed(&mut follower, &mut held, list(2, true, 1, &[("a", Serving)]), 1000);
    assert_eq!(held.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "b", "c"], "d drained");
    assert_eq!((follower.suspects(), follower.next_end()), (2, Some(ms(11_000))));
    // Said to be gone, one is; a further list that lacks it does not hold it for longer.
    passed(&mut follower, &mut held, list(3, false, 1, &[("b", Deleted)]), 2000);
    passed(&mut follower, &mut held, list(4, true, 1, &[("a", Serving)]), 3000);
    assert_eq!(held.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
    assert_eq!(follower.give_up(ms(10_999)), None);
    let gone = follower.give_up(ms(11_000)).expect("its time is over");
    pass(&mut held, &gone);
    assert_eq!((held.len(), follower.suspects()), (1, 0));
    assert!(!gone.full && gone.version == 4);
}

#[test]
fn a_server_or_two_that_are_missing_are_gone_at_once() {
    let (mut follower, mut held) = (Follower::new(CAUTION), BTreeMap::new());
    passed(&mut follower, &mut held, list(1, true, 1, &[("a", Serving), ("b", Serving), ("c", Serving)]), 0);
    passed(&mut follower, &mut held, list(2, true, 1, &[("a", Serving), ("b", Serving)]), 1);
    assert_eq!((held.len(), follower.suspects()), (2, 0));
    // One that was missing and is back is no suspect.
    passed(&mut follower, &mut held, list(3, true, 1, &[]), 2);
    assert_eq!((held.len(), follower.suspects()), (2, 2));
    passed(&mut follower, &mut held, list(4, true, 1, &[("a", Serving), ("b", Serving)]), 3);
    assert_eq!((held.len(), follower.suspects(), follower.give_up(ms(99_000))), (2, 0, None));
}

#[derive(Clone, Debug)]
enum Step {
    Register(u8),
    Drain(u8),
    Deregister(u8),
    /// Service 1 takes over what service 0, which writes, has: it is behind in between.
    Copy,
    /// A call to a service; its answer comes after so long, unless the way is cut.
    Request {
        service: usize,
        late: u64,
        cut: bool,
        whole: bool,
    },
    Pass(u64),
    /// Another store stands at the addresses from now on, with one server of its own, and calls on their way are given up.
    OtherStore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6_u8).prop_map(Step::Register),
        1 => (0..6_u8).prop_map(Step::Drain),
        2 => (0..6_u8).prop_map(Step::Deregister),
        2 => Just(Step::Copy),
        6 => (0..2_usize, 0..3000_u64, prop::bool::weighted(0.3), prop::bool::weighted(0.2))
            .prop_map(|(service, late, cut, whole)| Step::Request { service, late, cut, whole }),
        2 => (0..2000_u64).prop_map(Step::Pass),
        1 => prop::bool::weighted(0.2).prop_map(|other| if other { Step::OtherStore } else { Step::Copy }),
    ]
}

/// The second takes over what the first has beyond it, as a replica does.
fn copy(stores: &mut [Store; 2], now: Duration) {
    match stores[0].records_since(stores[1].version()) {
        Some(records) => records.into_iter().for_each(|record| stores[1].apply(record, now)),
        None => stores[1] = Store::restore_replica(stores[0].snapshot(), now),
    }
    assert_eq!((stores[1].version(), listed(&stores[1])), (stores[0].version(), listed(&stores[0])));
}

fn listed(store: &Store) -> BTreeMap<String, State> {
    store.full_list().into_iter().map(|host| (host.id.clone(), host.state)).collect()
}

/// Answers may overtake each other, as failover leaves calls behind; what is held never is older than it was, and once the
/// faults have ended, one answer of the service that writes and the time for which missing ones are held make it the same.
#[test]
fn what_is_held_never_goes_back_and_converges_when_faults_end() {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let (behind, suspects, moves) = (Cell::new(0), Cell::new(0), Cell::new(0));
    runner
        .run(&prop::collection::vec(step(), 1..80), |steps| {
            let mut stores = [Store::default(), Store::default()];
            let opened = stores[0].opening_record(1_700_000_000_000);
            stores[0].apply(opened, ms(0));
            let (mut follower, mut held) = (Follower::new(CAUTION), BTreeMap::new());
            let (mut now, mut coming): (u64, Vec<(u64, Vec<u8>)>) = (0, Vec::new());
            let (mut newest, mut made) = (0, 0);
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
                    Step::Copy => copy(&mut stores, ms(now)),
                    Step::Request { service, late, cut, whole } if !cut && stores[service].version() > 0 => {
                        let since = follower.version().filter(|_| !whole);
                        let store = &stores[service];
                        coming.push((
                            now + late,
                            store.encode_list(since).unwrap_or_else(|| store.encode_unchanged()),
                        ));
                    }
                    Step::Pass(millis) => now += millis,
                    Step::OtherStore => {
                        made += 1;
                        moves.set(moves.get() + 1);
                        stores = [Store::default(), Store::default()];
                        let opened = stores[0].opening_record(1_700_000_000_000 - 1000 * made);
                        stores[0].apply(opened, ms(now));
                        coming.clear();
                        // Its versions are lower, and say nothing of the former one's.
                        newest = 0;
                    }
                    _ => {}
                }
                coming.sort();
                while coming.first().is_some_and(|(at, _)| *at <= now) {
                    let (_, text) = coming.remove(0);
                    let list: HostList = serde_json::from_slice(&text).expect("a list");
                    match follower.take(list, ms(now)) {
                        Taken::List(list) => {
                            prop_assert!(list.version >= newest, "back to an older list");
                            newest = list.version;
                            pass(&mut held, &list);
                        }
                        Taken::Behind => {
                            behind.set(behind.get() + 1);
                        }
                        // Versions of two stores do not meet, so a watch that moves is told the whole list at once.
                        Taken::Foreign => prop_assert!(false, "changes of another store"),
                    }
                }
                follower.give_up(ms(now)).iter().for_each(|list| pass(&mut held, list));
                suspects.set(suspects.get() + follower.suspects());
            }
            // The faults have ended.
            let whole: HostList =
                serde_json::from_slice(&stores[0].encode_list(None).expect("a list")).expect("a list");
            if let Taken::List(list) = follower.take(whole, ms(now)) {
                pass(&mut held, &list);
            }
            follower.give_up(ms(now) + CAUTION.removal_delay).iter().for_each(|list| pass(&mut held, list));
            prop_assert_eq!(held, listed(&stores[0]));
            Ok(())
        })
        .unwrap();
    assert!(moves.get() > 500, "{}", moves.get());
    assert!(behind.get() > 500 && suspects.get() > 100, "{} {}", behind.get(), suspects.get());
}
