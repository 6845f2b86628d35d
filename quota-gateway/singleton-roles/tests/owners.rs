//! Who should own what, and one duty from wish to giving back, for all orders of events.

use marblecroft_singleton_roles::assign::assign;
use marblecroft_singleton_roles::keys::{Candidate, OperatorCommand};
use marblecroft_singleton_roles::role::{Action, Event, Role, State};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn candidates(names: &[(&str, &str)]) -> BTreeMap<String, Candidate> {
    let candidate = |zone: &str| Candidate { zone: zone.to_owned(), addr: String::new() };
    names.iter().map(|(who, zone)| ((*who).to_owned(), candidate(zone))).collect()
}

#[test]
fn an_operators_word_goes_first_and_a_paused_duty_has_nobody() {
    let all = candidates(&[("a", "x"), ("b", "y"), ("c", "z")]);
    let duties = ["zones", "shares", "books"];
    let none = BTreeMap::new();
    let spread = assign(&duties, &all, &none, &BTreeMap::new());
    let owners: std::collections::BTreeSet<_> = spread.values().flatten().collect();
    assert_eq!(owners.len(), 3, "one each: {spread:?}");
    let orders = BTreeMap::from([
        ("zones".to_owned(), OperatorCommand::Pause),
        ("shares".to_owned(), OperatorCommand::Move("b".to_owned())),
        ("books".to_owned(), OperatorCommand::Move("nobody".to_owned())),
    ]);
    let ordered = assign(&duties, &all, &BTreeMap::from([("shares".to_owned(), "a".to_owned())]), &orders);
    assert_eq!(ordered["zones"], None);
    assert_eq!(ordered["shares"].as_deref(), Some("b"));
    assert!(
        ordered["books"].as_deref().is_some_and(|who| who != "b"),
        "who is named is not there: {ordered:?}"
    );
    assert!(assign(&duties, &BTreeMap::new(), &none, &BTreeMap::new()).values().all(Option::is_none));
}

proptest! {
    /// Even parts, and when one is lost only its own move.
    #[test]
    fn duties_are_spread_evenly_and_a_loss_moves_only_its_own(n in 1usize..8, m in 1usize..20, lost in 0usize..8) {
        let duties: Vec<String> = (0..m).map(|i| format!("duty-{i}")).collect();
        let duties: Vec<&str> = duties.iter().map(String::as_str).collect();
        let names: Vec<(String, String)> = (0..n).map(|i| (format!("s-{i}"), format!("hall-{}", i % 3))).collect();
        let named: Vec<(&str, &str)> = names.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
        let mut all = candidates(&named);
        let first = assign(&duties, &all, &BTreeMap::new(), &BTreeMap::new());
        let owners: BTreeMap<String, String> = first.iter().filter_map(|(d, w)| Some((d.clone(), w.clone()?))).collect();
        for who in all.keys() {
            let count = owners.values().filter(|owner| *owner == who).count();
            prop_assert!(count <= m.div_ceil(n) && count >= m / n, "{who} has {count} of {m} over {n}");
        }
        prop_assert_eq!(&assign(&duties, &all, &owners, &BTreeMap::new()), &first, "it stands still");
        let gone = format!("s-{}", lost % n);
        all.remove(&gone);
        let next = assign(&duties, &all, &owners, &BTreeMap::new());
        for (duty, who) in &owners {
            if *who != gone {
                prop_assert_eq!(next[duty].as_ref(), Some(who));
            }
        }
    }

    /// Whatever happens in whatever order: work begins only with a grant, never twice at once, and a lock that was granted is given
    /// back or lost, never kept by one that idles.
    #[test]
    fn work_runs_only_between_a_grant_and_its_end(events in proptest::collection::vec(0u8..7, 1..80)) {
        let (mut duty, mut now) = (Role::default(), Duration::ZERO);
        let (mut wishes, mut working, mut holds, mut token) = (0, false, false, 0);
        for event in events {
            now += Duration::from_millis(700);
            let event = match event {
                0 => Event::Wanted(true),
                1 => Event::Wanted(false),
                // Only what was wished for is granted.
                2 if wishes > 0 => { wishes -= 1; holds = true; token += 1; Event::Granted(token) }
                3 if wishes > 0 => { wishes -= 1; Event::NotGranted }
                4 if working => Event::Ended,
                5 if holds => { holds = false; Event::Lost }
                _ => Event::Tick,
            };
            if event == Event::Ended {
                working = false;
            }
            for action in duty.handle(now, event) {
                match action {
                    Action::RequestLock => wishes += 1,
                    Action::Begin(under) => {
                        prop_assert!(!working && holds && under == token);
                        working = true;
                    }
                    Action::Finish => prop_assert!(working),
                    Action::Abort => working = false,
                    Action::GiveBack => { holds = false; working = false; }
                }
            }
            prop_assert!(wishes <= 1, "one wish at a time");
            match duty.state() {
                State::Idle => prop_assert!(!working && !holds && wishes == 0),
                State::Wishing => prop_assert!(!working && wishes == 1),
                State::Owning(under) | State::Finishing(under, _) => prop_assert_eq!(under, token),
            }
        }
    }
}
