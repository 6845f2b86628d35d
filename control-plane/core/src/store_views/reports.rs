//! The stores' reports to this head.

use marblecroft_chain_replication::{Member, Position, View};
use marblecroft_protocol::coordinator::StoreReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not reported for this time has failed. Longer than a lost report and the next one take (700 ms).
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Stores find a new head within this time, wherever they look first. Until then no store has failed that the head has not
/// heard from.
pub const HEAD_DISCOVERY_TIME: Duration = Duration::from_millis(1800);

/// A store's last report.
struct ReceivedReport {
    report: StoreReport,
    received_at: Duration,
}

/// The last report of each store, by its address.
#[derive(Default)]
pub(super) struct StoreReports {
    reports: BTreeMap<SocketAddr, ReceivedReport>,
    first_at: Option<Duration>,
    /// Since when this process leads, and stores may report to it.
    leading_since: Duration,
}

impl StoreReports {
    pub(super) fn new(leading_since: Duration) -> StoreReports {
        StoreReports { leading_since, ..StoreReports::default() }
    }

    /// Records a report, and returns the position in the store's previous one.
    pub(super) fn record(&mut self, now: Duration, report: StoreReport) -> Option<Position> {
        self.first_at.get_or_insert(now);
        let received = ReceivedReport { report, received_at: now };
        let previous = self.reports.insert(received.report.address, received);
        previous.map(|received| received.report.status.position)
    }

    /// When the first report was received.
    pub(super) fn first_at(&self) -> Option<Duration> {
        self.first_at
    }

    /// The reports of the stores that work, in ascending order of their addresses.
    pub(super) fn live(&self, now: Duration) -> impl Iterator<Item = &StoreReport> {
        self.reports
            .values()
            .filter(move |received| now < received.received_at + REPORT_TIMEOUT)
            .map(|received| &received.report)
    }

    /// The report of this very member, if it works.
    pub(super) fn of(&self, now: Duration, member: &Member) -> Option<&StoreReport> {
        self.live(now)
            .find(|report| report.address == member.address && report.status.identity == member.identity)
    }

    /// Whether a member may still be about to report for the first time.
    pub(super) fn may_still_report(&self, now: Duration, member: &Member) -> bool {
        now < self.leading_since + HEAD_DISCOVERY_TIME && !self.reports.contains_key(&member.address)
    }

    /// Whether the disk of a member is known to be lost: its machine reports with another identity.
    pub(super) fn is_lost(&self, now: Duration, member: &Member) -> bool {
        self.live(now)
            .any(|report| report.address == member.address && report.status.identity != member.identity)
    }

    /// Whether a member holds everything that was acknowledged in this view.
    pub(super) fn is_complete(&self, now: Duration, member: &Member, view: &View) -> bool {
        self.of(now, member)
            .is_some_and(|report| report.status.complete && report.status.view.number == view.number)
    }
}
