//! Selection of the voters of a view.

use super::peer_statuses::PeerStatuses;
use marblecroft_chain_replication::{Member, View};

/// Returns the voters of the view that follows `view` and has these members. Voters that are not members are
/// removed if they are lost, do not reply or are draining, in this order, as long as 2f + 1 voters are left.
/// With fewer voters, f losses could leave no majority.
pub(super) fn next_voters(
    view: &View,
    members: &[Member],
    statuses: &PeerStatuses,
    tolerated_machines: usize,
) -> Vec<Member> {
    let min_voters = 2 * tolerated_machines + 1;
    let mut voters = view.voters.clone();
    voters.extend(members.iter().filter(|member| !view.is_voter(member.identity)).cloned());
    let is_member = |voter: &Member| members.iter().any(|member| member.identity == voter.identity);
    let is_lost = |voter: &Member| statuses.is_lost(voter);
    let is_replaced = |voter: &Member| {
        let identity = statuses.at_address_of(voter).map(|status| status.identity);
        is_lost(voter) && members.iter().any(|member| Some(member.identity) == identity)
    };
    // The machine of a replaced voter votes with its new identity, so the old identity is removed without a
    // replacement.
    voters.retain(|voter| !is_replaced(voter));
    let is_unresponsive = |voter: &Member| statuses.at_address_of(voter).is_none();
    let is_draining = |voter: &Member| statuses.is_draining(voter);
    let reasons: [&dyn Fn(&Member) -> bool; 3] = [&is_lost, &is_unresponsive, &is_draining];
    for applies in reasons {
        while voters.len() > min_voters {
            let removable = |voter: &Member| !is_member(voter) && applies(voter);
            let Some(index) = voters.iter().position(removable) else { break };
            voters.remove(index);
        }
    }
    voters
}
