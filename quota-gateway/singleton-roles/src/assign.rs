//! Who should own what. Every candidate works it out from the same view and comes to the same; a lock decides, never this.

use crate::keys::{Candidate, OperatorCommand};
use std::collections::BTreeMap;

/// FNV-1a with a finalizer: which candidate a duty prefers, the same wherever it is reckoned.
fn hash(duty: &str, who: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let mut z = duty.bytes().chain([0]).chain(who.bytes()).fold(0xcbf2_9ce4_8422_2325, step);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^ (z >> 31)
}

/// For each duty its owner to be; none where it is paused or nobody is there. `owners`: who owns which now, and keeps it for as long
/// as that leaves nobody with more than an even part.
pub fn assign(
    duties: &[&str],
    candidates: &BTreeMap<String, Candidate>,
    owners: &BTreeMap<String, String>,
    orders: &BTreeMap<String, OperatorCommand>,
) -> BTreeMap<String, Option<String>> {
    let mut assigned: BTreeMap<String, Option<String>> = BTreeMap::new();
    let mut held: BTreeMap<&str, usize> = candidates.keys().map(|who| (who.as_str(), 0)).collect();
    let part = duties.len().div_ceil(candidates.len().max(1));
    let give = |duty: &str, who: &str, held: &mut BTreeMap<&str, usize>| {
        if let Some(count) = held.get_mut(who) {
            *count += 1;
        }
        (duty.to_owned(), Some(who.to_owned()))
    };
    // An operator's word first, then whoever has it, then the rest.
    for duty in duties {
        match orders.get(*duty) {
            Some(OperatorCommand::Pause) => drop(assigned.insert((*duty).to_owned(), None)),
            Some(OperatorCommand::Move(who)) if candidates.contains_key(who) => {
                let (duty, who) = give(duty, who, &mut held);
                assigned.insert(duty, who);
            }
            _ => {}
        }
    }
    for duty in duties {
        let Some(who) = owners.get(*duty).filter(|who| held.get(who.as_str()).is_some_and(|n| *n < part))
        else {
            continue;
        };
        if !assigned.contains_key(*duty) {
            let (duty, who) = give(duty, who, &mut held);
            assigned.insert(duty, who);
        }
    }
    for duty in duties {
        if assigned.contains_key(*duty) {
            continue;
        }
        // The fewest duties, then a zone that has fewer, then by hash.
        let in_zone = |who: &str| {
            let zone = &candidates[who].zone;
            held.iter().filter(|(other, _)| candidates[**other].zone == *zone).map(|(_, n)| n).sum::<usize>()
        };
        let best = held.iter().min_by_key(|(who, n)| (**n, in_zone(who), u64::MAX - hash(duty, who)));
        let best = best.map(|(who, _)| (*who).to_owned());
        let given = match best {
            Some(who) => give(duty, &who, &mut held),
            None => ((*duty).to_owned(), None),
        };
        assigned.insert(given.0, given.1);
    }
    assigned
}
