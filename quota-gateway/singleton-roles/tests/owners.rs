//! The assignment of roles, and the state machine of one role for all orders of events.

use marblecroft_singleton_roles::assign::assign;
use marblecroft_singleton_roles::keys::{Candidate, OperatorCommand};
use marblecroft_singleton_roles::role::{Action, Event, Role, State};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn candidates(names: &[(&str, &str)]) -> BTreeMap<String, Candidate> {
    let candidate = |zone: &str| Candidate { zone: zone.to_owned(), report_address: String::new() };
    names.iter().map(|(who, zone)| ((*who).to_owned(), candidate(zone))).collect()
}

#[test]
fn an_operator_command_takes_precedence_and_a_paused_role_has_no_owner() {
    let all = candidates(&[("a", "x"), ("b", "y"), ("c", "z")]);
    let roles = ["zones", "shares", "books"];
    let none = BTreeMap::new();
    let spread = assign(&roles, &all, &none, &BTreeMap::new());
    let owners: std::collections::BTreeSet<_> = spread.values().flatten().collect();
    assert_eq!(owners.len(), 3, "one each: {spread:?}");
    let commands = BTreeMap::from([
        ("zones".to_owned(), OperatorCommand::Pause),
        ("shares".to_owned(), OperatorCommand::Move("b".to_owned())),
        ("books".to_owned(), OperatorCommand::Move("nobody".to_owned())),
    ]);
    let assigned = assign(&roles, &all, &BTreeMap::from([("shares".to_owned(), "a".to_owned())]), &commands);
    assert_eq!(assigned["zones"], None);
    assert_eq!(assigned["shares"].as_deref(), Some("b"));
    assert!(
        assigned["books"].as_deref().is_some_and(|who| who != "b"),
        "who is named is not there: {assigned:?}"
    );
    assert!(assign(&roles, &BTreeMap::new(), &none, &BTreeMap::new()).values().all(Option::is_none));
}

proptest! {
    /// Roles are spread evenly, and when a candidate is lost only its own roles move.
    #[test]
    fn roles_are_spread_evenly_and_a_lost_candidate_moves_only_its_own_roles(n in 1usize..8, m in 1usize..20, lost in 0usize..8) {
        let roles: Vec<String> = (0..m).map(|i| format!("duty-{i}")).collect();
        let roles: Vec<&str> = roles.iter().map(String::as_str).collect();
        let names: Vec<(String, String)> = (0..n).map(|i| (format!("s-{i}"), format!("hall-{}", i % 3))).collect();
        let named: Vec<(&str, &str)> = names.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
        let mut all = candidates(&named);
        let first = assign(&roles, &all, &BTreeMap::new(), &BTreeMap::new());
        let owners: BTreeMap<String, String> = first.iter().filter_map(|(d, w)| Some((d.clone(), w.clone()?))).collect();
        for who in all.keys() {
            let count = owners.values().filter(|owner| *owner == who).count();
            prop_assert!(count <= m.div_ceil(n) && count >= m / n, "{who} has {count} of {m} over {n}");
        }
        prop_assert_eq!(&assign(&roles, &all, &owners, &BTreeMap::new()), &first, "it stands still");
        let gone = format!("s-{}", lost % n);
        all.remove(&gone);
        let next = assign(&roles, &all, &owners, &BTreeMap::new());
        for (role, who) in &owners {
            if *who != gone {
                prop_assert_eq!(next[role].as_ref(), Some(who));
            }
        }
    }

    /// In any order of events work starts only with a grant and never twice at once, and a granted lock is released or lost, never
    /// kept by an idle candidate.
    #[test]
    fn work_runs_only_between_a_grant_and_its_end(events in proptest::collection::vec(0u8..7, 1..80)) {
        let (mut role, mut now) = (Role::default(), Duration::ZERO);
        let (mut requests, mut working, mut holds, mut token) = (0, false, false, 0);
        for event in events {
            now += Duration::from_millis(700);
            let event = match event {
                0 => Event::Assigned(true),
                1 => Event::Assigned(false),
                // Only a requested lock is granted.
                2 if requests > 0 => { requests -= 1; holds = true; token += 1; Event::Granted(token) }
                3 if requests > 0 => { requests -= 1; Event::NotGranted }
                4 if working => Event::WorkEnded,
                5 if holds => { holds = false; Event::LockLost }
                _ => Event::Tick,
            };
            if event == Event::WorkEnded {
                working = false;
            }
            for action in role.handle(now, event) {
                match action {
                    Action::RequestLock => requests += 1,
                    Action::StartWork(under) => {
                        prop_assert!(!working && holds && under == token);
                        working = true;
                    }
                    Action::FinishWork => prop_assert!(working),
                    Action::AbortWork => working = false,
                    Action::ReleaseLock => { holds = false; working = false; }
                }
            }
            prop_assert!(requests <= 1, "one request at a time");
            match role.state() {
                State::Idle => prop_assert!(!working && !holds && requests == 0),
                State::AwaitingLock => prop_assert!(!working && requests == 1),
                State::Owning(under) | State::Finishing(under, _) => prop_assert_eq!(under, token),
            }
        }
    }
}
