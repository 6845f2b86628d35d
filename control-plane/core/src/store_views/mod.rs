//! Membership of the stores' chain, which replicates batch jobs. The head of the coordinators decides it:
//! every view of the stores' chain is an operation of the coordinators' chain, and the head of a view is a
//! store that was complete in the previous view.
//!
//! As long as enough members are complete, a view change either excludes or admits members. Failed members
//! are excluded at once. Only if no member has failed is a store admitted, after it has fetched the state in
//! advance. If too few members are complete, stores are admitted at once.

mod reports;

pub use reports::HEAD_DISCOVERY_TIME;

use crate::replica_wait::{ReplicaWait, MIN_COMPLETE_MEMBERS};
use marblecroft_chain_replication::{Member, View};
use marblecroft_protocol::coordinator::StoreReport;
use reports::StoreReports;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay between the first report and the first view, so that all stores can be members of it.
const FIRST_VIEW_DELAY: Duration = Duration::from_millis(1500);
/// A store may join if it is at most this many entries behind the tail, which then sends it the missing
/// entries.
const MAX_ENTRIES_BEHIND: u64 = 100;

/// Required and intended numbers of replicas.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCounts {
    /// Number of replicas that an acknowledged operation must have.
    pub min_replicas: usize,
    /// Number of members that a view should have.
    pub target_replicas: usize,
}

/// The healthy members of a view that remain in the next one.
struct RemainingMembers {
    /// Members that hold everything that was acknowledged in the view.
    complete: Vec<Member>,
    incomplete: Vec<Member>,
}

/// Determines the views of the stores' chain from the stores' reports to this process.
#[derive(Default)]
pub struct StoreViews {
    reports: StoreReports,
    replica_wait: ReplicaWait,
    preparing: Option<PreparingStore>,
}

/// The store that joins next, while it fetches the state in advance.
#[derive(Clone, Copy)]
struct PreparingStore {
    store: SocketAddr,
    /// The member from which it fetches the state.
    source: SocketAddr,
}

impl StoreViews {
    /// Records a store's report.
    pub fn record_report(&mut self, now: Duration, report: StoreReport) {
        let (address, position) = (report.address, report.status.position);
        let previous = self.reports.record(now, report);
        if self.preparing.is_some_and(|preparing| preparing.store == address) && previous != Some(position) {
            // The position of the store has changed, so it has installed the fetched state.
            self.preparing = None;
        }
    }

    /// Discards all reports and starts over at `now`, because another process may have led in the meantime.
    pub fn reset(&mut self, now: Duration) {
        *self = StoreViews { reports: StoreReports::new(now), ..StoreViews::default() };
    }

    /// Returns the names of the machines whose stores report.
    pub fn live_node_names(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.reports.live(now).map(|report| report.node_name.as_str())
    }

    /// Returns the number of stores that report and are not retired.
    pub fn usable_stores(&self, now: Duration, is_retired: impl Fn(&str) -> bool) -> usize {
        self.reports.live(now).filter(|report| !is_retired(&report.node_name)).count()
    }

    /// Returns whether all members of this view hold everything that was acknowledged in it.
    pub fn is_fully_replicated(&self, now: Duration, view: &View) -> bool {
        view.members.iter().all(|member| self.reports.is_complete(now, member, view))
    }

    /// Returns the members of the view that follows `current`, or `None` if `current` should stay.
    /// `is_retired` returns whether the machine of this name is retired.
    pub fn next_view_members(
        &mut self,
        now: Duration,
        current: &View,
        counts: ReplicaCounts,
        is_retired: impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        if current.number == 0 && self.reports.first_at().is_none_or(|first| now < first + FIRST_VIEW_DELAY) {
            return None;
        }
        let members = self.next_members(now, current, counts, &is_retired)?;
        (current.number > 0 || members.len() >= counts.min_replicas).then_some(members)
    }

    fn next_members(
        &mut self,
        now: Duration,
        current: &View,
        counts: ReplicaCounts,
        is_retired: &impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        let departing = self.departing_members(now, current, is_retired);
        let remaining = self.remaining_members(now, current, &departing, counts.min_replicas);
        if current.members.iter().any(|member| self.reports.may_still_report(now, member)) {
            return None;
        }
        let RemainingMembers { complete, incomplete } = remaining;
        let lost = current.members.len() - complete.len() - incomplete.len();
        if current.number > 0 && complete.is_empty() {
            // No complete member is left; one may come back.
            return None;
        }
        if !self.keeps_enough_replicas(now, current, &complete, counts, is_retired) {
            return None;
        }
        let has_enough = complete.len() >= counts.min_replicas;
        if lost > 0 && has_enough {
            // The complete members continue at once; other stores join later, one at a time.
            return Some(complete);
        }
        let all_complete = incomplete.is_empty();
        let mut members = complete;
        members.extend(incomplete);
        let departing = members.iter().filter(|member| departing.contains(&member.identity)).count();
        self.preparing = None;
        if all_complete && members.len() < counts.target_replicas + departing {
            if has_enough {
                members.extend(self.prepared_joiner(now, current, &members, is_retired));
            } else {
                self.admit_at_once(now, current, &mut members, counts.target_replicas, is_retired);
            }
        }
        let has_joined = members.iter().any(|member| !current.contains(member.identity));
        (lost > 0 || has_joined).then_some(members)
    }

    /// Returns the identities of the members that are to leave because their machines are retired or their
    /// processes are draining.
    fn departing_members(
        &self,
        now: Duration,
        current: &View,
        is_retired: &impl Fn(&str) -> bool,
    ) -> BTreeSet<u64> {
        let is_departing = |member: &&Member| {
            is_retired(&member.node_name)
                || self.reports.of_member(now, member).is_some_and(|report| report.status.draining)
        };
        current.members.iter().filter(is_departing).map(|member| member.identity).collect()
    }

    /// Returns the healthy members that remain. Complete members that are to leave remain too if too few
    /// others are complete.
    fn remaining_members(
        &self,
        now: Duration,
        current: &View,
        departing: &BTreeSet<u64>,
        min_replicas: usize,
    ) -> RemainingMembers {
        let is_complete = |member: &Member| self.reports.is_complete(now, member, current);
        let (mut departing, staying): (Vec<&Member>, Vec<&Member>) = self
            .healthy_members(now, current)
            .into_iter()
            .partition(|member| departing.contains(&member.identity));
        let (mut complete, incomplete): (Vec<Member>, Vec<Member>) =
            staying.into_iter().cloned().partition(is_complete);
        departing.retain(|member| is_complete(member));
        if complete.len() < min_replicas {
            complete.extend(departing.into_iter().cloned());
        }
        RemainingMembers { complete, incomplete }
    }

    /// Admits stores at once until there are enough members. Too few members are complete to wait until a
    /// store has fetched the state in advance.
    fn admit_at_once(
        &self,
        now: Duration,
        current: &View,
        members: &mut Vec<Member>,
        target_replicas: usize,
        is_retired: &impl Fn(&str) -> bool,
    ) {
        while members.len() < target_replicas {
            let Some(report) = self.best_joiner(now, current, members, is_retired) else { return };
            members.push(member_of(report));
        }
    }

    /// Returns whether enough members are complete, if the change excludes members whose disks may be intact.
    /// Only members that were complete in a view can head the next one. With a single complete member the
    /// change waits for the unreachable members. The wait is bounded, because their disks may be lost
    /// permanently.
    fn keeps_enough_replicas(
        &mut self,
        now: Duration,
        current: &View,
        complete: &[Member],
        counts: ReplicaCounts,
        is_retired: &impl Fn(&str) -> bool,
    ) -> bool {
        let is_reporting = |member: &Member| self.reports.of_member(now, member).is_some();
        let has_unreachable_member = current.members.iter().any(|member| {
            !is_reporting(member) && !self.reports.is_lost(now, member) && !is_retired(&member.node_name)
        });
        if !has_unreachable_member || complete.len() >= MIN_COMPLETE_MEMBERS.min(counts.min_replicas) {
            self.replica_wait.reset();
            return true;
        }
        self.replica_wait.has_timed_out(now, current.number)
    }

    /// Returns the members that report, are not suspected by another member, and are not a suspended head.
    fn healthy_members<'a>(&self, now: Duration, current: &'a View) -> Vec<&'a Member> {
        let suspects: BTreeSet<SocketAddr> = current
            .members
            .iter()
            .filter_map(|member| {
                let status = &self.reports.of_member(now, member)?.status;
                status.suspect.filter(|_| status.view.number == current.number)
            })
            .collect();
        let is_healthy = |member: &&Member| {
            self.reports.of_member(now, member).is_some()
                && !suspects.contains(&member.address)
                && !self.is_suspended_head(now, current, member)
        };
        current.members.iter().filter(is_healthy).collect()
    }

    /// Returns whether this member is the head of the view and reports that it is incomplete in it. One of
    /// its writes has failed then, and no other member can suspect it, because it starts no rounds. Members
    /// other than the head may be incomplete while they are synchronized.
    fn is_suspended_head(&self, now: Duration, current: &View, member: &Member) -> bool {
        let is_head = current.head().is_some_and(|head| head.identity == member.identity);
        let status = self.reports.of_member(now, member).map(|report| &report.status);
        is_head && status.is_some_and(|status| status.view.number == current.number && !status.complete)
    }

    /// Returns the store that joins next: one in the zone with the fewest members.
    fn best_joiner(
        &self,
        now: Duration,
        current: &View,
        members: &[Member],
        is_retired: &impl Fn(&str) -> bool,
    ) -> Option<&StoreReport> {
        let zones: Vec<&str> =
            members.iter().filter_map(|member| Some(&*self.reports.of_member(now, member)?.zone)).collect();
        let can_join = |report: &&StoreReport| {
            let is_member = members.iter().any(|member| member.identity == report.status.identity);
            !is_member
                && !report.status.draining
                && !is_retired(&report.node_name)
                && !current.contains(report.status.identity)
        };
        let rank = |report: &&StoreReport| {
            let in_zone = zones.iter().filter(|zone| **zone == report.zone).count();
            (in_zone, report.node_name.clone())
        };
        self.reports.live(now).filter(can_join).min_by_key(rank)
    }

    /// Returns the store that joins now, if it has fetched the state in advance. Otherwise the next directive
    /// to the store makes it fetch the state.
    fn prepared_joiner(
        &mut self,
        now: Duration,
        current: &View,
        members: &[Member],
        is_retired: &impl Fn(&str) -> bool,
    ) -> Option<Member> {
        let tail = members.last()?;
        let newest = self.reports.of_member(now, tail)?.status.position.index;
        let (source, joiner) = (tail.address, self.best_joiner(now, current, members, is_retired)?);
        if joiner.status.position.index + MAX_ENTRIES_BEHIND >= newest
            && joiner.status.position.index <= newest + MAX_ENTRIES_BEHIND
        {
            return Some(member_of(joiner));
        }
        self.preparing = Some(PreparingStore { store: joiner.address, source });
        None
    }

    /// Returns the member from which this store should fetch the state, or `None` if it need not fetch.
    pub fn fetch_source_for(&self, store: SocketAddr) -> Option<SocketAddr> {
        self.preparing.filter(|preparing| preparing.store == store).map(|preparing| preparing.source)
    }
}

fn member_of(report: &StoreReport) -> Member {
    Member { address: report.address, identity: report.status.identity, node_name: report.node_name.clone() }
}
