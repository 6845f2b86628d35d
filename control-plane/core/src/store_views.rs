//! Which stores form the chain that keeps batch jobs. The coordinators decide it: every view of the stores' chain is an
//! operation of their own chain, and is headed by a store that was complete in the view before.

use crate::patience::{WaitForCopies, COMPLETE_LEAST};
use marblecroft_chain_replication::{Member, View};
use marblecroft_protocol::coordinator::StoreReport;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not reported for so long has failed.
const SILENT: Duration = Duration::from_millis(900);
/// Stores find a new head within this time, wherever they look first; until then none that it has not heard from has failed.
pub const FIND_HEAD: Duration = Duration::from_millis(1800);
/// The first view waits for so long after the first report, so that all stores can be in it.
const FOUNDING_WAIT: Duration = Duration::from_millis(1500);
/// A store may join when it is at most so many entries behind.
const BEHIND_MOST: u64 = 100;

/// A store's last report.
struct Seen {
    report: StoreReport,
    at: Duration,
}

/// How many stores there should be.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Copies of everything that was acknowledged.
    pub copies: usize,
    /// Members that a view should have.
    pub wanted: usize,
}

/// What the stores have reported to this process.
#[derive(Default)]
pub struct StoreViews {
    seen: BTreeMap<SocketAddr, Seen>,
    first: Option<Duration>,
    /// Since when stores may report to this process.
    since: Duration,
    waits_for_copies: WaitForCopies,
    /// The store that is to join next, and the member whose state it fetches ahead.
    joining: Option<(SocketAddr, SocketAddr)>,
}

impl StoreViews {
    /// Takes notice of a report.
    pub fn note(&mut self, now: Duration, report: StoreReport) {
        self.first.get_or_insert(now);
        let before = self.seen.get(&report.address).map(|seen| seen.report.status.position);
        if self.joining.is_some_and(|joining| joining.0 == report.address)
            && before != Some(report.status.position)
        {
            // It has fetched.
            self.joining = None;
        }
        self.seen.insert(report.address, Seen { report, at: now });
    }

    /// Begins anew at `now`: another process was the head meanwhile.
    pub fn begin(&mut self, now: Duration) {
        *self = StoreViews { since: now, ..StoreViews::default() };
    }

    /// Whether a member may still be about to report for the first time.
    fn may_come(&self, now: Duration, member: &Member) -> bool {
        now < self.since + FIND_HEAD && !self.seen.contains_key(&member.address)
    }

    /// Whether the disk of a member is known to be lost: its machine reports with another identity.
    fn is_lost(&self, now: Duration, member: &Member) -> bool {
        self.living(now)
            .any(|report| report.address == member.address && report.status.identity != member.identity)
    }

    fn living(&self, now: Duration) -> impl Iterator<Item = &StoreReport> {
        self.seen.values().filter(move |seen| now < seen.at + SILENT).map(|seen| &seen.report)
    }

    fn report_of(&self, now: Duration, member: &Member) -> Option<&StoreReport> {
        self.living(now)
            .find(|report| report.address == member.address && report.status.identity == member.identity)
    }

    /// The names of the stores that report.
    pub fn nodes(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.living(now).map(|report| report.node.as_str())
    }

    /// Stores that report and are not to be emptied.
    pub fn usable(&self, now: Duration, retired: impl Fn(&str) -> bool) -> usize {
        self.living(now).filter(|report| !retired(&report.node)).count()
    }

    /// Whether all members of this view hold everything.
    pub fn is_whole(&self, now: Duration, view: &View) -> bool {
        view.members.iter().all(|member| self.is_complete(now, member, view))
    }

    /// Whether a member holds everything that was acknowledged in this view.
    fn is_complete(&self, now: Duration, member: &Member, view: &View) -> bool {
        self.report_of(now, member)
            .is_some_and(|report| report.status.complete && report.status.view.number == view.number)
    }

    /// The members that follow `current`, if they should be others.
    pub fn next(
        &mut self,
        now: Duration,
        current: &View,
        sizes: Sizes,
        retired: impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        if current.number == 0 && self.first.is_none_or(|first| now < first + FOUNDING_WAIT) {
            return None;
        }
        let members = self.next_members(now, current, sizes, &retired)?;
        (current.number > 0 || members.len() >= sizes.copies).then_some(members)
    }

    fn next_members(
        &mut self,
        now: Duration,
        current: &View,
        sizes: Sizes,
        retired: &impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        let works: Vec<&Member> = self.working(now, current);
        let is_complete = |member: &Member| self.is_complete(now, member, current);
        let goes = |member: &Member| {
            retired(&member.node) || self.report_of(now, member).is_some_and(|report| report.status.leaving)
        };
        let goers: BTreeSet<u64> =
            current.members.iter().filter(|member| goes(member)).map(|member| member.identity).collect();
        let (mut going, staying): (Vec<&Member>, Vec<&Member>) =
            works.into_iter().partition(|member| goers.contains(&member.identity));
        let (mut members, waiting): (Vec<Member>, Vec<Member>) =
            staying.into_iter().cloned().partition(|member| is_complete(member));
        going.retain(|member| is_complete(member));
        if members.len() < sizes.copies {
            // Who is to go holds what too few others hold, and stays until they do.
            members.extend(going.into_iter().cloned());
        }
        if current.members.iter().any(|member| self.may_come(now, member)) {
            return None;
        }
        let lost = current.members.len() - members.len() - waiting.len();
        if current.number > 0 && members.is_empty() {
            // Nobody is left who holds everything; one may come back.
            return None;
        }
        if !self.keeps_copies(now, current, &members, sizes, retired) {
            return None;
        }
        if lost > 0 && members.len() >= sizes.copies {
            // Those who hold everything go on at once; others join them one after the other.
            return Some(members);
        }
        let enough = members.len() >= sizes.copies;
        let whole = waiting.is_empty();
        members.extend(waiting);
        let going = members.iter().filter(|member| goers.contains(&member.identity)).count();
        self.joining = None;
        if whole && members.len() < sizes.wanted + going {
            if enough {
                members.extend(self.prepared_joiner(now, current, &members, retired));
            } else {
                while let Some(report) =
                    self.best_joiner(now, current, &members, retired).filter(|_| members.len() < sizes.wanted)
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
    fn keeps_copies(
        &mut self,
        now: Duration,
        current: &View,
        complete: &[Member],
        sizes: Sizes,
        retired: &impl Fn(&str) -> bool,
    ) -> bool {
        let reports = |member: &Member| self.report_of(now, member).is_some();
        let out_of_reach = current
            .members
            .iter()
            .any(|member| !reports(member) && !self.is_lost(now, member) && !retired(&member.node));
        if !out_of_reach || complete.len() >= COMPLETE_LEAST.min(sizes.copies) {
            self.waits_for_copies.end();
            return true;
        }
        self.waits_for_copies.is_over(now, current.number)
    }

    /// The members that report and that no other member suspects.
    fn working<'a>(&self, now: Duration, current: &'a View) -> Vec<&'a Member> {
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
                && !report.status.leaving
                && !retired(&report.node)
                && !current.contains(report.status.identity)
        };
        let rank = |report: &&StoreReport| {
            let in_zone = zones.iter().filter(|zone| **zone == report.zone).count();
            (in_zone, report.node.clone())
        };
        self.living(now).filter(joins).min_by_key(rank)
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
        if joiner.status.position.index + BEHIND_MOST >= newest
            && joiner.status.position.index <= newest + BEHIND_MOST
        {
            return Some(member_of(joiner));
        }
        self.joining = Some((joiner.address, source));
        None
    }

    /// The member whose state a store is to fetch.
    pub fn source_for(&self, store: SocketAddr) -> Option<SocketAddr> {
        self.joining.filter(|joining| joining.0 == store).map(|joining| joining.1)
    }
}

fn member_of(report: &StoreReport) -> Member {
    Member { address: report.address, identity: report.status.identity, node: report.node.clone() }
}
