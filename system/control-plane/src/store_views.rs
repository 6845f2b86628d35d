//! Which stores form the chain that keeps batch jobs. The coordinators decide it: every view of the stores' chain is an
//! operation of their own chain, and is headed by a store that was complete in the view before.

use crate::coordinator::Coordinator;
use marblecroft_chain::{Member, View};
use marblecroft_control_state::Operation;
use marblecroft_protocol::coordinator::StoreReport;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Pause between two looks at the stores.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A store that has not reported for so long has failed.
const SILENT: Duration = Duration::from_millis(900);
/// The first view waits for so long after the first report, so that all stores can be in it.
const FOUNDING_WAIT: Duration = Duration::from_millis(1500);
/// A store may join when it is at most so many entries behind.
const BEHIND_MOST: u64 = 100;
/// Time for the operation that names a view.
const DECIDE_TIME: Duration = Duration::from_secs(2);

/// A store's last report.
struct Seen {
    report: StoreReport,
    at: Instant,
}

/// What the stores have reported to this process.
#[derive(Default)]
pub struct StoreViews {
    seen: HashMap<SocketAddr, Seen>,
    first: Option<Instant>,
    /// Since when this process is the head, and so the one that stores report to.
    judges_since: Option<Instant>,
    /// The store that is to join next, and the member whose state it fetches ahead.
    joining: Option<(SocketAddr, SocketAddr)>,
}

impl StoreViews {
    /// Takes notice of a report.
    pub fn note(&mut self, report: StoreReport) {
        let at = Instant::now();
        self.first.get_or_insert(at);
        let before = self.seen.get(&report.address).map(|seen| seen.report.status.position);
        if self.joining.is_some_and(|joining| joining.0 == report.address)
            && before != Some(report.status.position)
        {
            // It has fetched.
            self.joining = None;
        }
        self.seen.insert(report.address, Seen { report, at });
    }

    fn living(&self) -> impl Iterator<Item = &StoreReport> {
        self.seen.values().filter(|seen| seen.at.elapsed() < SILENT).map(|seen| &seen.report)
    }

    fn report_of(&self, member: &Member) -> Option<&StoreReport> {
        self.living()
            .find(|report| report.address == member.address && report.status.identity == member.identity)
    }

    /// Whether a store of this name reports.
    pub fn knows(&self, node: &str) -> bool {
        self.living().any(|report| report.node == node)
    }

    /// Stores that report and are not to be emptied.
    pub fn usable(&self, retired: impl Fn(&str) -> bool) -> usize {
        self.living().filter(|report| !retired(&report.node)).count()
    }

    /// Whether all members of this view hold everything.
    pub fn whole(&self, view: &View) -> bool {
        view.members.iter().all(|member| {
            self.report_of(member)
                .is_some_and(|report| report.status.view.number == view.number && report.status.complete)
        })
    }

    /// The members that follow `current`, if they should be others. `wanted` is how many there should be, and `copies` how
    /// many must be there for anything to be taken.
    fn next(
        &mut self,
        current: &View,
        wanted: usize,
        copies: usize,
        retired: impl Fn(&str) -> bool,
    ) -> Option<Vec<Member>> {
        let suspects: BTreeSet<SocketAddr> = current
            .members
            .iter()
            .filter_map(|member| {
                let status = &self.report_of(member)?.status;
                status.suspect.filter(|_| status.view.number == current.number)
            })
            .collect();
        let works = |member: &Member| {
            let suspected = suspects.contains(&member.address);
            self.report_of(member).is_some() && !suspected && !retired(&member.node)
        };
        let complete = |member: &Member| {
            self.report_of(member)
                .is_some_and(|report| report.status.complete && report.status.view.number == current.number)
        };
        let (mut members, waiting): (Vec<Member>, Vec<Member>) =
            current.members.iter().filter(|member| works(member)).cloned().partition(|m| complete(m));
        let lost = current.members.len() - members.len() - waiting.len();
        if current.number > 0 && members.is_empty() {
            // Nobody is left who holds everything; one may come back.
            return None;
        }
        if lost > 0 && members.len() >= copies {
            // Those who hold everything go on at once; others join them one after the other.
            return Some(members);
        }
        let enough = members.len() >= copies;
        let whole = waiting.is_empty();
        members.extend(waiting);
        self.joining = None;
        if whole && members.len() < wanted {
            if enough {
                members.extend(self.prepared_joiner(current, &members, &retired));
            } else {
                while let Some(report) =
                    self.best_joiner(current, &members, &retired).filter(|_| members.len() < wanted)
                {
                    members.push(member_of(report));
                }
            }
        }
        let joined = members.iter().any(|member| !current.contains(member.identity));
        (lost > 0 || joined).then_some(members)
    }

    /// The store that is to join next, in the zone that has the fewest members.
    fn best_joiner(
        &self,
        current: &View,
        members: &[Member],
        retired: &impl Fn(&str) -> bool,
    ) -> Option<&StoreReport> {
        let zones: Vec<&str> =
            members.iter().filter_map(|member| Some(&*self.report_of(member)?.zone)).collect();
        let joins = |report: &&StoreReport| {
            let member = members.iter().any(|member| member.identity == report.status.identity);
            !member && !retired(&report.node) && !current.contains(report.status.identity)
        };
        let rank = |report: &&StoreReport| {
            let in_zone = zones.iter().filter(|zone| **zone == report.zone).count();
            (in_zone, report.node.clone())
        };
        self.living().filter(joins).min_by_key(rank)
    }

    /// The store that joins now: one that has fetched the state ahead. Where there is none yet, it is told to.
    fn prepared_joiner(
        &mut self,
        current: &View,
        members: &[Member],
        retired: &impl Fn(&str) -> bool,
    ) -> Option<Member> {
        let tail = members.last()?;
        let newest = self.report_of(tail)?.status.position.index;
        let (source, joiner) = (tail.address, self.best_joiner(current, members, retired)?);
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

/// Runs until the process ends.
pub fn run(coordinator: &Coordinator) {
    let copies = coordinator.settings.tolerated_machines + 1;
    // One more, so that the loss of one stops nothing.
    let wanted = copies + 1;
    loop {
        thread::sleep(LOOK_EVERY);
        let judges = coordinator.chain.is_head() && coordinator.fresh();
        let mut views = coordinator.store_views.lock().unwrap_or_else(PoisonError::into_inner);
        if !judges {
            views.judges_since = None;
            continue;
        }
        let since = *views.judges_since.get_or_insert_with(Instant::now);
        let state = coordinator.chain.read_settled(|control| {
            let retired: BTreeSet<String> = views
                .seen
                .values()
                .map(|seen| seen.report.node.clone())
                .filter(|n| control.is_retired(n))
                .collect();
            (control.store_view().clone(), retired)
        });
        let Some((current, retired)) = state else { continue };
        if current.number == 0 && views.first.is_none_or(|first| first.elapsed() < FOUNDING_WAIT) {
            continue;
        }
        // Stores need a moment to find a new head.
        if since.elapsed() < SILENT {
            continue;
        }
        let next = views.next(&current, wanted, copies, |node| retired.contains(node));
        drop(views);
        let Some(members) = next else { continue };
        if current.number == 0 && members.len() < copies {
            continue;
        }
        let view = View { number: current.number + 1, members };
        info!("names view {} of the stores: {}", view.number, view.addresses());
        if let Err(e) = coordinator.chain.submit(Operation::StoreView(view), DECIDE_TIME) {
            warn!("a view of the stores was not taken: {e}");
        }
    }
}
