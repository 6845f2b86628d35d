//! Supervision of the stores by the head of the coordinators. The head receives the stores' reports and
//! decides, through its own chain, which stores form the stores' chain.

use super::context::Context;
use super::operations::PendingOperation;
use crate::store_views::{ReplicaCounts, StoreViews, HEAD_DISCOVERY_TIME};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::View;
use marblecroft_control_state::Operation;
use marblecroft_protocol::coordinator::{CoordinatorReply, StoreDirective, StoreReport};
use std::time::Duration;
use tracing::info;

/// Interval between checks of the stores' view. Half of the stores' report interval, so that reports take
/// effect soon.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The head's state for the supervision of the stores.
pub(super) struct StoreSupervision {
    views: StoreViews,
    /// Start of the current, uninterrupted period in which this process leads and stores report to it.
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

    /// Returns whether this process has led for long enough that every working store has reported to it.
    pub(super) fn has_discovered_all_stores(&self, now: Duration) -> bool {
        self.leading_since.is_some_and(|since| now >= since + HEAD_DISCOVERY_TIME)
    }

    /// Stops the supervision, because another process may lead.
    pub(super) fn stop(&mut self) {
        self.leading_since = None;
    }

    /// Starts the supervision unless it is active. Discards the reports of an earlier period as the head.
    pub(super) fn start(&mut self, now: Duration) {
        if self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.views.reset(now);
        }
    }

    /// Handles a store's report and returns the directive for the store.
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
        // One replica more than required, so that the loss of one does not block operations.
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

    /// Returns whether this process was the head when it handled its last input.
    pub(super) fn is_active(&self) -> bool {
        self.leading_since.is_some()
    }

    /// Returns when the next check is due; `Duration::MAX` while this process does not lead.
    pub(super) fn next_wake(&self) -> Duration {
        if self.is_active() {
            self.next_check_at
        } else {
            Duration::MAX
        }
    }
}
