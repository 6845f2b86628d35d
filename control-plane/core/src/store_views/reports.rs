//! The stores' reports that this head has received.

use marblecroft_chain_replication::{Member, Position, View};
use marblecroft_protocol::coordinator::StoreReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not reported for this time is considered failed. Longer than a lost report and the one
/// after it take (700 ms).
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which every store finds a new head, regardless of the coordinator that it contacts first.
/// Until then, a store without a report is not considered failed.
pub const HEAD_DISCOVERY_TIME: Duration = Duration::from_millis(1800);

/// The latest report of a store.
struct ReceivedReport {
    report: StoreReport,
    received_at: Duration,
}

/// The latest report of each store, by the address of the store.
#[derive(Default)]
pub(super) struct StoreReports {
    reports: BTreeMap<SocketAddr, ReceivedReport>,
    first_at: Option<Duration>,
    /// Time from which on this process leads and stores may report to it.
    leading_since: Duration,
}

impl StoreReports {
    pub(super) fn new(leading_since: Duration) -> StoreReports {
        StoreReports { leading_since, ..StoreReports::default() }
    }

    /// Records a report and returns the position in the store's previous report.
    pub(super) fn record(&mut self, now: Duration, report: StoreReport) -> Option<Position> {
        self.first_at.get_or_insert(now);
        let received = ReceivedReport { report, received_at: now };
        let previous = self.reports.insert(received.report.address, received);
        previous.map(|received| received.report.status.position)
    }

    /// Returns when the first report was received.
    pub(super) fn first_at(&self) -> Option<Duration> {
        self.first_at
    }

    /// Returns the reports that are newer than [`REPORT_TIMEOUT`], in ascending order of the stores'
    /// addresses.
    pub(super) fn live(&self, now: Duration) -> impl Iterator<Item = &StoreReport> {
        self.reports
            .values()
            .filter(move |received| now < received.received_at + REPORT_TIMEOUT)
            .map(|received| &received.report)
    }

    /// Returns the current report of a member; `None` if it does not report, or if another process reports at
    /// its address.
    pub(super) fn of_member(&self, now: Duration, member: &Member) -> Option<&StoreReport> {
        self.live(now)
            .find(|report| report.address == member.address && report.status.identity == member.identity)
    }

    /// Returns whether the first report of a member may still be pending.
    pub(super) fn may_still_report(&self, now: Duration, member: &Member) -> bool {
        now < self.leading_since + HEAD_DISCOVERY_TIME && !self.reports.contains_key(&member.address)
    }

    /// Returns whether the disk of a member is known to be lost: its machine reports with another identity.
    pub(super) fn is_lost(&self, now: Duration, member: &Member) -> bool {
        self.live(now)
            .any(|report| report.address == member.address && report.status.identity != member.identity)
    }

    /// Returns whether a member reports that it holds everything that was acknowledged in this view.
    pub(super) fn is_complete(&self, now: Duration, member: &Member, view: &View) -> bool {
        self.of_member(now, member)
            .is_some_and(|report| report.status.complete && report.status.view.number == view.number)
    }
}
