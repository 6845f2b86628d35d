//! Which stores form the chain that keeps batch jobs. The coordinators decide it: every view of the stores' chain is an
//! operation of their own chain, and is headed by a store that was complete in the view before.

use crate::timeouts::{ReplicaWait, MIN_COMPLETE_MEMBERS};
use marblecroft_chain_replication::{Member, View};
use marblecroft_protocol::coordinator::StoreReport;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not reported for so long has failed.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Stores find a new head within this time, wherever they look first; until then none that it has not heard from has failed.
pub const HEAD_DISCOVERY_TIME: Duration = Duration::from_millis(1800);
/// The first view waits for so long after the first report, so that all stores can be in it.
const FOUNDING_WAIT: Duration = Duration::from_millis(1500);
/// A store may join when it is at most so many entries behind.
const MAX_ENTRIES_BEHIND: u64 = 100;

/// A store's last report.
struct ReceivedReport {
    report: StoreReport,
    received_at: Duration,
}

/// How many stores there should be.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCounts {
    /// Copies of everything that was acknowledged.
    pub min_replicas: usize,
    /// Members that a view should have.
    pub target_replicas: usize,
}

/// What the stores have reported to this process.
#[derive(Default)]
pub struct StoreViews {
    reports: BTreeMap<SocketAddr, ReceivedReport>,
    first_report_at: Option<Duration>,
    /// Since when stores may report to this process.
    leading_since: Duration,
    replica_wait: ReplicaWait,
    /// The store that is to join next, and the member whose state it fetches ahead.
    joining: Option<(SocketAddr, SocketAddr)>,
}

impl StoreViews {
    /// Takes notice of a report.
    pub fn record_report(&mut self, now: Duration, report: StoreReport) {
        self.first_report_at.get_or_insert(now);
        let before = self.reports.get(&report.address).map(|seen| seen.report.status.position);
        if self.joining.is_some_and(|joining| joining.0 == report.address)
            && before != Some(report.status.position)
        {
            // It has fetched.
            self.joining = None;
        }
        self.reports.insert(report.address, ReceivedReport { report, received_at: now });
    }

    /// Begins anew at `now`: another process was the head meanwhile.
    pub fn reset(&mut self, now: Duration) {
        *self = StoreViews { leading_since: now, ..StoreViews::default() };
    }

    /// Whether a member may still be about to report for the first time.
    fn may_still_report(&self, now: Duration, member: &Member) -> bool {
        now < self.leading_since + HEAD_DISCOVERY_TIME && !self.reports.contains_key(&member.address)
    }

    /// Whether the disk of a member is known to be lost: its machine reports with another identity.
    fn is_lost(&self, now: Duration, member: &Member) -> bool {
        self.live_reports(now)
            .any(|report| report.address == member.address && report.status.identity != member.identity)
    }

    fn live_reports(&self, now: Duration) -> impl Iterator<Item = &StoreReport> {
        self.reports
            .values()
            .filter(move |seen| now < seen.received_at + REPORT_TIMEOUT)
            .map(|seen| &seen.report)
    }

    fn report_of(&self, now: Duration, member: &Member) -> Option<&StoreReport> {
        self.live_reports(now)
            .find(|report| report.address == member.address && report.status.identity == member.identity)
    }

    /// The names of the stores that report.
    pub fn live_node_names(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.live_reports(now).map(|report| report.node_name.as_str())
    }

    /// Stores that report and are not to be emptied.
    pub fn usable_stores(&self, now: Duration, retired: impl Fn(&str) -> bool) -> usize {
        self.live_reports(now).filter(|report| !retired(&report.node_name)).count()
    }

    /// Whether all members of this view hold everything.
    pub fn is_fully_replicated(&self, now: Duration, view: &View) -> bool {
        view.members.iter().all(|member| self.is_complete(now, member, view))
    }

    /// Whether a member holds everything that was acknowledged in this view.
    fn is_complete(&self, now: Duration, member: &Member, view: &View) -> bool {
        self.report_of(now, member)
            .is_some_and(|report| report.status.complete && report.status.view.number == view.number)
    }

    /// The members that follow `current`, if they should be others.
    pub fn next_view_members(
        &mut self,
        now: Duration,
        current: &View,
        sizes: ReplicaCounts,
        retired: impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        if current.number == 0 && self.first_report_at.is_none_or(|first| now < first + FOUNDING_WAIT) {
            return None;
        }
        let members = self.next_members(now, current, sizes, &retired)?;
        (current.number > 0 || members.len() >= sizes.min_replicas).then_some(members)
    }

    fn next_members(
        &mut self,
        now: Duration,
        current: &View,
        sizes: ReplicaCounts,
        retired: &impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        let works: Vec<&Member> = self.healthy_members(now, current);
        let is_complete = |member: &Member| self.is_complete(now, member, current);
        let goes = |member: &Member| {
            retired(&member.node_name)
                || self.report_of(now, member).is_some_and(|report| report.status.draining)
        };
        let goers: BTreeSet<u64> =
            current.members.iter().filter(|member| goes(member)).map(|member| member.identity).collect();
        let (mut going, staying): (Vec<&Member>, Vec<&Member>) =
            works.into_iter().partition(|member| goers.contains(&member.identity));
        let (mut members, waiting): (Vec<Member>, Vec<Member>) =
            staying.into_iter().cloned().partition(|member| is_complete(member));
        going.retain(|member| is_complete(member));
        if members.len() < sizes.min_replicas {
            // Who is to go holds what too few others hold, and stays until they do.
            members.extend(going.into_iter().cloned());
        }
        if current.members.iter().any(|member| self.may_still_report(now, member)) {
            return None;
        }
        let lost = current.members.len() - members.len() - waiting.len();
        if current.number > 0 && members.is_empty() {
            // Nobody is left who holds everything; one may come back.
            return None;
        }
        if !self.keeps_enough_replicas(now, current, &members, sizes, retired) {
            return None;
        }
        if lost > 0 && members.len() >= sizes.min_replicas {
            // Those who hold everything go on at once; others join them one after the other.
            return Some(members);
        }
        let enough = members.len() >= sizes.min_replicas;
        let whole = waiting.is_empty();
        members.extend(waiting);
        let going = members.iter().filter(|member| goers.contains(&member.identity)).count();
        self.joining = None;
        if whole && members.len() < sizes.target_replicas + going {
            if enough {
                members.extend(self.prepared_joiner(now, current, &members, retired));
            } else {
                while let Some(report) = self
                    .best_joiner(now, current, &members, retired)
                    .filter(|_| members.len() < sizes.target_replicas)
                {
                    members.push(member_of(report));
                }
            }
        }
        let joined = members.iter().any(|member| !current.contains(member.identity));
        (lost > 0 || joined).then_some(members)
    }

    /// Whether enough of the members hold everything, where some are left out whose disks may be there: only those that were
    /// complete can head the view after. With a single one it is better to wait for those that are out of reach; for a
    /// while, as they may be gone for good.
    fn keeps_enough_replicas(
        &mut self,
        now: Duration,
        current: &View,
        complete: &[Member],
        sizes: ReplicaCounts,
        retired: &impl Fn(&str) -> bool,
    ) -> bool {
        let reports = |member: &Member| self.report_of(now, member).is_some();
        let out_of_reach = current
            .members
            .iter()
            .any(|member| !reports(member) && !self.is_lost(now, member) && !retired(&member.node_name));
        if !out_of_reach || complete.len() >= MIN_COMPLETE_MEMBERS.min(sizes.min_replicas) {
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
                let status = &self.report_of(now, member)?.status;
                status.suspect.filter(|_| status.view.number == current.number)
            })
            .collect();
        let works =
            |member: &&Member| self.report_of(now, member).is_some() && !suspects.contains(&member.address);
        current.members.iter().filter(works).collect()
    }

    /// The store that is to join next, in the zone that has the fewest members.
    fn best_joiner(
        &self,
        now: Duration,
        current: &View,
        members: &[Member],
        retired: &impl Fn(&str) -> bool,
    ) -> Option<&StoreReport> {
        let zones: Vec<&str> =
            members.iter().filter_map(|member| Some(&*self.report_of(now, member)?.zone)).collect();
        let joins = |report: &&StoreReport| {
            let member = members.iter().any(|member| member.identity == report.status.identity);
            !member
                && !report.status.draining
                && !retired(&report.node_name)
                && !current.contains(report.status.identity)
        };
        let rank = |report: &&StoreReport| {
            let in_zone = zones.iter().filter(|zone| **zone == report.zone).count();
            (in_zone, report.node_name.clone())
        };
        self.live_reports(now).filter(joins).min_by_key(rank)
    }

    /// The store that joins now: one that has fetched the state ahead. Where there is none yet, it is told to.
    fn prepared_joiner(
        &mut self,
        now: Duration,
        current: &View,
        members: &[Member],
        retired: &impl Fn(&str) -> bool,
    ) -> Option<Member> {
        let tail = members.last()?;
        let newest = self.report_of(now, tail)?.status.position.index;
        let (source, joiner) = (tail.address, self.best_joiner(now, current, members, retired)?);
        if joiner.status.position.index + MAX_ENTRIES_BEHIND >= newest
            && joiner.status.position.index <= newest + MAX_ENTRIES_BEHIND
        {
            return Some(member_of(joiner));
        }
        self.joining = Some((joiner.address, source));
        None
    }

    /// The member whose state a store is to fetch.
    pub fn fetch_source_for(&self, store: SocketAddr) -> Option<SocketAddr> {
        self.joining.filter(|joining| joining.0 == store).map(|joining| joining.1)
    }
}

fn member_of(report: &StoreReport) -> Member {
    Member { address: report.address, identity: report.status.identity, node_name: report.node_name.clone() }
}
