//! Tests of the assignment of roles, and of the state machine of one role with arbitrary sequences of events.

use marblecroft_singleton_roles::assign::assign;
use marblecroft_singleton_roles::keys::{Candidate, OperatorCommand};
use marblecroft_singleton_roles::role::{Action, Event, Role, State};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn candidates(names: &[(&str, &str)]) -> BTreeMap<String, Candidate> {
    let candidate = |zone: &str| Candidate { zone: zone.to_owned(), report_address: String::new() };
    names.iter().map(|(name, zone)| ((*name).to_owned(), candidate(zone))).collect()
}

#[test]
fn an_operator_command_takes_precedence_and_a_paused_role_has_no_owner() {
    let all = candidates(&[("a", "x"), ("b", "y"), ("c", "z")]);
    let roles = ["zones", "shares", "books"];
    let none = BTreeMap::new();
    let assigned = assign(&roles, &all, &none, &BTreeMap::new());
    let owners: std::collections::BTreeSet<_> = assigned.values().flatten().collect();
    assert_eq!(owners.len(), 3, "each candidate owns one role: {assigned:?}");
    let commands = BTreeMap::from([
        ("zones".to_owned(), OperatorCommand::Pause),
        ("shares".to_owned(), OperatorCommand::Move("b".to_owned())),
        ("books".to_owned(), OperatorCommand::Move("nobody".to_owned())),
    ]);
    let assigned = assign(&roles, &all, &BTreeMap::from([("shares".to_owned(), "a".to_owned())]), &commands);
    assert_eq!(assigned["zones"], None);
    assert_eq!(assigned["shares"].as_deref(), Some("b"));
    assert!(
        assigned["books"].as_deref().is_some_and(|candidate| candidate != "b"),
        "a move to an absent candidate is ignored: {assigned:?}"
    );
    assert!(assign(&roles, &BTreeMap::new(), &none, &BTreeMap::new()).values().all(Option::is_none));
}

proptest! {
    #[test]
    fn roles_are_spread_evenly_and_a_lost_candidate_moves_only_its_own_roles(n in 1usize..8, m in 1usize..20, lost in 0usize..8) {
        let roles: Vec<String> = (0..m).map(|i| format!("duty-{i}")).collect();
        let roles: Vec<&str> = roles.iter().map(String::as_str).collect();
        let names: Vec<(String, String)> = (0..n).map(|i| (format!("s-{i}"), format!("hall-{}", i % 3))).collect();
        let zones_by_name: Vec<(&str, &str)> = names.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
        let mut all = candidates(&zones_by_name);
        let first = assign(&roles, &all, &BTreeMap::new(), &BTreeMap::new());
        let owners: BTreeMap<String, String> =
            first.iter().filter_map(|(role, owner)| Some((role.clone(), owner.clone()?))).collect();
        for candidate in all.keys() {
            let count = owners.values().filter(|owner| *owner == candidate).count();
            prop_assert!(
                count <= m.div_ceil(n) && count >= m / n,
                "{candidate} owns {count} of {m} roles with {n} candidates"
            );
        }
        prop_assert_eq!(
            &assign(&roles, &all, &owners, &BTreeMap::new()),
            &first,
            "the assignment does not change if the candidates do not"
        );
        let removed = format!("s-{}", lost % n);
        all.remove(&removed);
        let next = assign(&roles, &all, &owners, &BTreeMap::new());
        for (role, candidate) in &owners {
            if *candidate != removed {
                prop_assert_eq!(next[role].as_ref(), Some(candidate));
            }
        }
    }

    /// For any sequence of events, the work starts only while the lock is granted and never runs twice at the
    /// same time. An idle candidate never holds a lock: it was released or lost before.
    #[test]
    fn work_runs_only_between_a_grant_and_its_end(events in proptest::collection::vec(0u8..7, 1..80)) {
        let (mut role, mut now) = (Role::default(), Duration::ZERO);
        let (mut requests, mut is_working, mut has_lock, mut token) = (0, false, false, 0);
        for event in events {
            now += Duration::from_millis(700);
            let event = match event {
                0 => Event::Assigned(true),
                1 => Event::Assigned(false),
                // Only a requested lock is granted.
                2 if requests > 0 => { requests -= 1; has_lock = true; token += 1; Event::Granted(token) }
                3 if requests > 0 => { requests -= 1; Event::NotGranted }
                4 if is_working => Event::WorkEnded,
                5 if has_lock => { has_lock = false; Event::LockLost }
                _ => Event::Tick,
            };
            if event == Event::WorkEnded {
                is_working = false;
            }
            for action in role.handle(now, event) {
                match action {
                    Action::RequestLock => requests += 1,
                    Action::StartWork(granted) => {
                        prop_assert!(!is_working && has_lock && granted == token);
                        is_working = true;
                    }
                    Action::FinishWork => prop_assert!(is_working),
                    Action::AbortWork => is_working = false,
                    Action::ReleaseLock => { has_lock = false; is_working = false; }
                }
            }
            prop_assert!(requests <= 1, "at most one request is in flight");
            match role.state() {
                State::Idle => prop_assert!(!is_working && !has_lock && requests == 0),
                State::AwaitingLock => prop_assert!(!is_working && requests == 1),
                State::Owning(granted) | State::Finishing(granted, _) => prop_assert_eq!(granted, token),
            }
        }
    }
}
