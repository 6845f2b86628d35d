//! The next view of the stores' chain: decisions of a new head, and the minimum number of complete members.

use marblecroft_chain_replication::{Member, Position, Status, View};
use marblecroft_control_plane_core::store_views::{ReplicaCounts, StoreViews, HEAD_DISCOVERY_TIME};
use marblecroft_protocol::coordinator::StoreReport;
use std::net::SocketAddr;
use std::time::Duration;

const COUNTS: ReplicaCounts = ReplicaCounts { min_replicas: 2, target_replicas: 3 };
const LEADING_SINCE: Duration = Duration::from_secs(100);

fn address(store: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, store], 7720))
}

fn member(store: u8) -> Member {
    Member { address: address(store), identity: u64::from(store), node_name: format!("store-{store}") }
}

fn view(members: &[u8]) -> View {
    View { number: 5, members: members.iter().copied().map(member).collect(), voters: Vec::new() }
}

/// Returns the report of a complete member of the view.
fn report(store: u8) -> StoreReport {
    let status = Status {
        identity: u64::from(store),
        view: view(&[]),
        complete: true,
        position: Position { index: 1000, hash: 1 },
        ..Status::default()
    };
    StoreReport { node_name: format!("store-{store}"), zone: "a".to_owned(), address: address(store), status }
}

/// Stores that report to a head that has led since [`LEADING_SINCE`].
struct Stores {
    views: StoreViews,
    now: Duration,
}

impl Stores {
    fn new() -> Stores {
        let mut views = StoreViews::default();
        views.reset(LEADING_SINCE);
        Stores { views, now: LEADING_SINCE }
    }

    /// Advances the time by `time`, during which only these stores report.
    fn report_for(&mut self, time: Duration, reports: &[StoreReport]) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(200);
            reports.iter().cloned().for_each(|report| self.views.record_report(self.now, report));
        }
    }

    /// Returns the identities of the members of the next view; `None` if the view does not change.
    fn next(&mut self, current: &View, retired: &[&str]) -> Option<Vec<u64>> {
        let members =
            self.views.next_view_members(self.now, current, COUNTS, |node| retired.contains(&node))?;
        Some(members.into_iter().map(|member| member.identity).collect())
    }
}

const SHORT_TIME: Duration = Duration::from_millis(400);

#[test]
fn a_new_head_waits_for_the_first_report_of_each_member() {
    let mut stores = Stores::new();
    stores.report_for(Duration::from_millis(1200), &[report(1), report(2)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), None, "the third store may not have found the head yet");
    stores.report_for(HEAD_DISCOVERY_TIME, &[report(1), report(2)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), Some(vec![1, 2]));
}

#[test]
fn a_member_that_stops_reporting_is_excluded() {
    let mut stores = Stores::new();
    stores.report_for(SHORT_TIME, &[report(1), report(2), report(3)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), None, "all members are healthy");
    stores.report_for(Duration::from_millis(1200), &[report(1), report(3)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), Some(vec![1, 3]));
}

#[test]
fn a_head_whose_disk_failed_is_excluded_and_a_member_being_synchronized_is_not() {
    let incomplete = |store: u8| {
        let mut report = report(store);
        report.status.complete = false;
        report
    };
    let mut stores = Stores::new();
    stores.report_for(SHORT_TIME, &[report(1), incomplete(2), report(3)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), None, "the member is being synchronized");
    stores.report_for(SHORT_TIME, &[incomplete(1), report(2), report(3)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), Some(vec![2, 3]), "an incomplete head must be replaced");
    let mut behind = incomplete(1);
    behind.status.view.number = 4;
    stores.report_for(SHORT_TIME, &[behind, report(2), report(3)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), None, "the head has not installed the view yet");
}

#[test]
fn a_single_complete_member_waits_while_excluded_disks_may_be_intact() {
    let mut stores = Stores::new();
    stores.report_for(SHORT_TIME, &[report(1), report(2), report(3)]);
    stores.report_for(Duration::from_secs(15), &[report(2)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), None, "the other disks may be intact");
    stores.report_for(Duration::from_secs(6), &[report(2)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), None, "the wait starts with the first check");
    for _ in 0..120 {
        stores.report_for(SHORT_TIME, &[report(2)]);
        if let Some(next) = stores.next(&view(&[1, 2, 3]), &[]) {
            assert_eq!(next, [2], "the wait for the other members has timed out");
            return;
        }
    }
    panic!("the wait for the other members did not time out");
}

#[test]
fn members_with_lost_disks_are_not_waited_for() {
    let mut stores = Stores::new();
    stores.report_for(SHORT_TIME, &[report(1), report(2), report(3)]);
    let restarted_empty = |store: u8| {
        let mut report = report(store);
        report.status = Status { identity: 100 + u64::from(store), ..Status::default() };
        report
    };
    stores.report_for(SHORT_TIME, &[report(2), restarted_empty(1), restarted_empty(3)]);
    let next = stores.next(&view(&[1, 2, 3]), &[]).expect("a view without a wait");
    assert_eq!(next[0], 2, "the complete member is the head");
    assert!(next.len() > 1, "the others join with new identities: {next:?}");
}

#[test]
fn a_retired_machine_stays_until_enough_others_are_complete() {
    let mut stores = Stores::new();
    let mut behind = report(3);
    behind.status.complete = false;
    stores.report_for(SHORT_TIME, &[report(1), report(2), behind]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &["store-2"]), None, "the third member is incomplete");
    stores.report_for(SHORT_TIME, &[report(1), report(2), report(3)]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &["store-2"]), Some(vec![1, 3]));
}

#[test]
fn a_draining_process_is_excluded_and_does_not_join() {
    let mut stores = Stores::new();
    let mut draining = report(3);
    draining.status.draining = true;
    stores.report_for(SHORT_TIME, &[report(1), report(2), draining.clone()]);
    assert_eq!(stores.next(&view(&[1, 2, 3]), &[]), Some(vec![1, 2]));
    assert_eq!(stores.next(&view(&[1, 2]), &[]), None);
}
