//! The head's supervision of the stores: it takes their reports and decides, through its chain, which of them form the
//! stores' chain.

use super::context::Context;
use super::operations::PendingOperation;
use crate::store_views::{ReplicaCounts, StoreViews, HEAD_DISCOVERY_TIME};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::View;
use marblecroft_control_state::Operation;
use marblecroft_protocol::coordinator::{CoordinatorReply, StoreDirective, StoreReport};
use std::time::Duration;
use tracing::info;

/// Pause between two checks of the stores' view. Half of the stores' report interval, so no report waits for long.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the head knows of the stores.
pub(super) struct StoreSupervision {
    views: StoreViews,
    /// Since when this process leads without a break, which is since when stores report to it.
    leading_since: Option<Duration>,
    next_check_at: Duration,
}

impl StoreSupervision {
    pub(super) fn new(now: Duration) -> StoreSupervision {
        StoreSupervision { views: StoreViews::default(), leading_since: None, next_check_at: now }
    }

    pub(super) fn views(&self) -> &StoreViews {
        &self.views
    }

    /// Whether this process has led for long enough that every store that works has reported to it.
    pub(super) fn has_heard_all_stores(&self, now: Duration) -> bool {
        self.leading_since.is_some_and(|since| now >= since + HEAD_DISCOVERY_TIME)
    }

    /// Ends the supervision: another process may lead.
    pub(super) fn stop(&mut self) {
        self.leading_since = None;
    }

    /// Begins the supervision unless it is under way. Reports from an earlier time as the head do not count.
    pub(super) fn start(&mut self, now: Duration) {
        if self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.views.reset(now);
        }
    }

    /// Takes a store's report, and returns the directive for it.
    pub(super) fn handle_report<S: Storage>(
        &mut self,
        ctx: &Context<S>,
        now: Duration,
        report: StoreReport,
    ) -> CoordinatorReply {
        if !ctx.is_leading(now) {
            return CoordinatorReply::NotHead(ctx.chain().head_address());
        }
        let address = report.address;
        self.views.record_report(now, report);
        let control = ctx.chain().committed_machine();
        CoordinatorReply::Stores(StoreDirective {
            view: control.map(|control| control.store_view().clone()).unwrap_or_default(),
            fetch_from: self.views.fetch_source_for(address),
            coordinators: ctx.member_addresses(),
        })
    }

    /// Registers new stores and proposes the stores' next view, if a check is due.
    pub(super) fn check_if_due<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        let Some(control) = ctx.chain().committed_machine() else { return };
        let min_replicas = ctx.min_replicas();
        // One replica more than required, so that the loss of one stops nothing.
        let counts = ReplicaCounts { min_replicas, target_replicas: min_replicas + 1 };
        let unregistered: Vec<String> = self
            .views
            .live_node_names(now)
            .filter(|node| !control.is_registered_store(node))
            .map(str::to_owned)
            .collect();
        let current = control.store_view().clone();
        let next = self.views.next_view_members(now, &current, counts, |node| control.is_retired(node));
        for node in unregistered {
            ctx.propose_internal(now, Operation::RegisterStore { node }, PendingOperation::Internal);
        }
        if let Some(members) = next {
            let view = View { number: current.number + 1, members, voters: Vec::new() };
            info!(view = view.number, members = %view.addresses(), "stores' view proposed");
            ctx.propose_internal(now, Operation::InstallStoreView(view), PendingOperation::Internal);
        }
    }

    /// Whether this process has led at its last input.
    pub(super) fn is_active(&self) -> bool {
        self.leading_since.is_some()
    }

    /// When a check is due; never while this process does not lead.
    pub(super) fn next_wake(&self) -> Duration {
        if self.is_active() {
            self.next_check_at
        } else {
            Duration::MAX
        }
    }
}
