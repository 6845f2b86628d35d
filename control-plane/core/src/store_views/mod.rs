//! Which stores form the chain that replicates batch jobs. The head of the coordinators decides it: every view of the stores'
//! chain is an operation of the coordinators' chain, and is headed by a store that was complete in the view before.
//!
//! A view changes in one direction at a time: members that fail are excluded at once, and only where none fails is a store
//! admitted, after it has fetched the state ahead.

mod reports;

pub use reports::HEAD_DISCOVERY_TIME;

use crate::replica_wait::{ReplicaWait, MIN_COMPLETE_MEMBERS};
use marblecroft_chain_replication::{Member, View};
use marblecroft_protocol::coordinator::StoreReport;
use reports::StoreReports;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay of the first view after the first report, so that all stores can be in it.
const FOUNDING_WAIT: Duration = Duration::from_millis(1500);
/// A store may join when it is at most this many entries behind, which the member before it sends it then.
const MAX_ENTRIES_BEHIND: u64 = 100;

/// How many stores there should be.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCounts {
    /// Replicas that an acknowledged operation must have.
    pub min_replicas: usize,
    /// Members that a view should have.
    pub target_replicas: usize,
}

/// The healthy members of a view that stay in the next one.
struct Survivors {
    /// Those that hold everything that was acknowledged in the view.
    complete: Vec<Member>,
    incomplete: Vec<Member>,
}

/// What the stores have reported to this process.
#[derive(Default)]
pub struct StoreViews {
    reports: StoreReports,
    replica_wait: ReplicaWait,
    preparing: Option<PreparingJoiner>,
}

/// The store that joins next, while it fetches the state ahead.
#[derive(Clone, Copy)]
struct PreparingJoiner {
    store: SocketAddr,
    /// The member whose state it fetches.
    source: SocketAddr,
}

impl StoreViews {
    /// Records a store's report.
    pub fn record_report(&mut self, now: Duration, report: StoreReport) {
        let (address, position) = (report.address, report.status.position);
        let previous = self.reports.record(now, report);
        if self.preparing.is_some_and(|joiner| joiner.store == address) && previous != Some(position) {
            // Its position has changed, so it has fetched.
            self.preparing = None;
        }
    }

    /// Starts anew at `now`: another process may have led meanwhile.
    pub fn reset(&mut self, now: Duration) {
        *self = StoreViews { reports: StoreReports::new(now), ..StoreViews::default() };
    }

    /// The names of the machines whose stores report.
    pub fn live_node_names(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.reports.live(now).map(|report| report.node_name.as_str())
    }

    /// The number of stores that report and are not retired.
    pub fn usable_stores(&self, now: Duration, is_retired: impl Fn(&str) -> bool) -> usize {
        self.reports.live(now).filter(|report| !is_retired(&report.node_name)).count()
    }

    /// Whether all members of this view hold everything that was acknowledged in it.
    pub fn is_fully_replicated(&self, now: Duration, view: &View) -> bool {
        view.members.iter().all(|member| self.reports.is_complete(now, member, view))
    }

    /// The members of the view after `current`, if it should differ. `is_retired` names the machines to empty.
    pub fn next_view_members(
        &mut self,
        now: Duration,
        current: &View,
        counts: ReplicaCounts,
        is_retired: impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        if current.number == 0 && self.reports.first_at().is_none_or(|first| now < first + FOUNDING_WAIT) {
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
        let survivors = self.survivors(now, current, &departing, counts.min_replicas);
        if current.members.iter().any(|member| self.reports.may_still_report(now, member)) {
            return None;
        }
        let Survivors { complete, incomplete } = survivors;
        let lost = current.members.len() - complete.len() - incomplete.len();
        if current.number > 0 && complete.is_empty() {
            // Nobody is left who holds everything; one may come back.
            return None;
        }
        if !self.keeps_enough_replicas(now, current, &complete, counts, is_retired) {
            return None;
        }
        let has_enough = complete.len() >= counts.min_replicas;
        if lost > 0 && has_enough {
            // The complete members go on at once; others join them one after the other.
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
                self.fill_up(now, current, &mut members, counts.target_replicas, is_retired);
            }
        }
        let has_joined = members.iter().any(|member| !current.contains(member.identity));
        (lost > 0 || has_joined).then_some(members)
    }

    /// Identities of the members that are to leave: their machines are retired, or their processes are draining.
    fn departing_members(
        &self,
        now: Duration,
        current: &View,
        is_retired: &impl Fn(&str) -> bool,
    ) -> BTreeSet<u64> {
        let is_departing = |member: &&Member| {
            is_retired(&member.node_name)
                || self.reports.of(now, member).is_some_and(|report| report.status.draining)
        };
        current.members.iter().filter(is_departing).map(|member| member.identity).collect()
    }

    /// The healthy members that stay. A complete member that departs stays too where too few others are complete.
    fn survivors(
        &self,
        now: Duration,
        current: &View,
        departing: &BTreeSet<u64>,
        min_replicas: usize,
    ) -> Survivors {
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
        Survivors { complete, incomplete }
    }

    /// Admits stores at once until there are enough members: too few hold everything to wait for any to fetch it ahead.
    fn fill_up(
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

    /// Whether enough of the members hold everything, where some are excluded whose disks may be sound: only those that were
    /// complete can head the view after. With a single one it is better to wait for the unreachable ones; but only for a while,
    /// as their disks may be lost for good.
    fn keeps_enough_replicas(
        &mut self,
        now: Duration,
        current: &View,
        complete: &[Member],
        counts: ReplicaCounts,
        is_retired: &impl Fn(&str) -> bool,
    ) -> bool {
        let reports = |member: &Member| self.reports.of(now, member).is_some();
        let out_of_reach = current.members.iter().any(|member| {
            !reports(member) && !self.reports.is_lost(now, member) && !is_retired(&member.node_name)
        });
        if !out_of_reach || complete.len() >= MIN_COMPLETE_MEMBERS.min(counts.min_replicas) {
            self.replica_wait.reset();
            return true;
        }
        self.replica_wait.has_timed_out(now, current.number)
    }

    /// The members that report and that no other member suspects.
    fn healthy_members<'a>(&self, now: Duration, current: &'a View) -> Vec<&'a Member> {
        let suspects: BTreeSet<SocketAddr> = current
            .members
            .iter()
            .filter_map(|member| {
                let status = &self.reports.of(now, member)?.status;
                status.suspect.filter(|_| status.view.number == current.number)
            })
            .collect();
        let works = |member: &&Member| {
            self.reports.of(now, member).is_some()
                && !suspects.contains(&member.address)
                && !self.is_suspended_head(now, current, member)
        };
        current.members.iter().filter(works).collect()
    }

    /// Whether this member heads the view and reports that it is not complete in it. A write of its has failed, and nobody
    /// else can suspect it, as it orders no rounds. Other members may be incomplete for as long as they are synchronized.
    fn is_suspended_head(&self, now: Duration, current: &View, member: &Member) -> bool {
        let is_head = current.head().is_some_and(|head| head.identity == member.identity);
        let status = self.reports.of(now, member).map(|report| &report.status);
        is_head && status.is_some_and(|status| status.view.number == current.number && !status.complete)
    }

    /// The store that joins next: one in the zone that has the fewest members.
    fn best_joiner(
        &self,
        now: Duration,
        current: &View,
        members: &[Member],
        is_retired: &impl Fn(&str) -> bool,
    ) -> Option<&StoreReport> {
        let zones: Vec<&str> =
            members.iter().filter_map(|member| Some(&*self.reports.of(now, member)?.zone)).collect();
        let joins = |report: &&StoreReport| {
            let member = members.iter().any(|member| member.identity == report.status.identity);
            !member
                && !report.status.draining
                && !is_retired(&report.node_name)
                && !current.contains(report.status.identity)
        };
        let rank = |report: &&StoreReport| {
            let in_zone = zones.iter().filter(|zone| **zone == report.zone).count();
            (in_zone, report.node_name.clone())
        };
        self.reports.live(now).filter(joins).min_by_key(rank)
    }

    /// The store that joins now, if it has fetched the state ahead; otherwise its next directive makes it fetch.
    fn prepared_joiner(
        &mut self,
        now: Duration,
        current: &View,
        members: &[Member],
        is_retired: &impl Fn(&str) -> bool,
    ) -> Option<Member> {
        let tail = members.last()?;
        let newest = self.reports.of(now, tail)?.status.position.index;
        let (source, joiner) = (tail.address, self.best_joiner(now, current, members, is_retired)?);
        if joiner.status.position.index + MAX_ENTRIES_BEHIND >= newest
            && joiner.status.position.index <= newest + MAX_ENTRIES_BEHIND
        {
            return Some(member_of(joiner));
        }
        self.preparing = Some(PreparingJoiner { store: joiner.address, source });
        None
    }

    /// The member whose state this store should fetch; `None` where it need not.
    pub fn fetch_source_for(&self, store: SocketAddr) -> Option<SocketAddr> {
        self.preparing.filter(|joiner| joiner.store == store).map(|joiner| joiner.source)
    }
}

fn member_of(report: &StoreReport) -> Member {
    Member { address: report.address, identity: report.status.identity, node_name: report.node_name.clone() }
}
