//! The assignment of roles to candidates. All candidates compute the same assignment from the same view. If
//! their views differ, the lock of a role determines its owner.

use crate::keys::{Candidate, OperatorCommand};
use std::collections::BTreeMap;

/// Returns the preference of a role for a candidate (FNV-1a with a finalizer). All candidates compute the
/// same value.
fn preference_hash(role: &str, candidate: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let mut z = role.bytes().chain([0]).chain(candidate.bytes()).fold(0xcbf2_9ce4_8422_2325, step);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^ (z >> 31)
}

/// Returns the candidate that should own each role, or `None` if the role is paused or there is no candidate.
///
/// `owners` are the current owners. They keep their roles up to an even share of the roles.
pub fn assign(
    roles: &[&str],
    candidates: &BTreeMap<String, Candidate>,
    owners: &BTreeMap<String, String>,
    commands: &BTreeMap<String, OperatorCommand>,
) -> BTreeMap<String, Option<String>> {
    let mut assigned: BTreeMap<String, Option<String>> = BTreeMap::new();
    let mut counts: BTreeMap<&str, usize> =
        candidates.keys().map(|candidate| (candidate.as_str(), 0)).collect();
    let max_roles = roles.len().div_ceil(candidates.len().max(1));
    let assign_to = |role: &str, candidate: &str, counts: &mut BTreeMap<&str, usize>| {
        if let Some(count) = counts.get_mut(candidate) {
            *count += 1;
        }
        (role.to_owned(), Some(candidate.to_owned()))
    };
    // Operator commands have priority, followed by current owners and then the candidates with the fewest
    // roles.
    for role in roles {
        match commands.get(*role) {
            Some(OperatorCommand::Pause) => {
                assigned.insert((*role).to_owned(), None);
            }
            Some(OperatorCommand::Move(candidate)) if candidates.contains_key(candidate) => {
                let (role, candidate) = assign_to(role, candidate, &mut counts);
                assigned.insert(role, candidate);
            }
            _ => {}
        }
    }
    for role in roles {
        let Some(candidate) = owners
            .get(*role)
            .filter(|candidate| counts.get(candidate.as_str()).is_some_and(|count| *count < max_roles))
        else {
            continue;
        };
        if !assigned.contains_key(*role) {
            let (role, candidate) = assign_to(role, candidate, &mut counts);
            assigned.insert(role, candidate);
        }
    }
    for role in roles {
        if assigned.contains_key(*role) {
            continue;
        }
        // Selects by fewest roles, then fewest roles in the candidate's zone, then highest preference.
        let in_zone = |candidate: &str| {
            let zone = &candidates[candidate].zone;
            counts
                .iter()
                .filter(|(other, _)| candidates[**other].zone == *zone)
                .map(|(_, count)| count)
                .sum::<usize>()
        };
        let best = counts.iter().min_by_key(|(candidate, count)| {
            (**count, in_zone(candidate), u64::MAX - preference_hash(role, candidate))
        });
        let best = best.map(|(candidate, _)| (*candidate).to_owned());
        let assignment = match best {
            Some(candidate) => assign_to(role, &candidate, &mut counts),
            None => ((*role).to_owned(), None),
        };
        assigned.insert(assignment.0, assignment.1);
    }
    assigned
}
