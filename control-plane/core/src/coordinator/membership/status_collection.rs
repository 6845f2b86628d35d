//! The first step of every task: statuses are requested from all processes concerned at the same time. The
//! task continues when all have replied or timed out, because its decision depends on which processes did not
//! reply.

use super::peer_statuses::PeerStatuses;
use super::task::{Purpose, StatusCollection, Task, STATUS_TIMEOUT};
use super::Membership;
use crate::coordinator::context::Context;
use crate::coordinator::operations::{CallPurpose, TaskCall, TaskCallKind};
use marblecroft_chain_replication::agreement::VoteRequest;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Starts a task that collects the statuses of the processes at `addresses`.
    pub(super) fn collect_statuses<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        purpose: Purpose,
        addresses: Vec<SocketAddr>,
    ) {
        let awaiting: BTreeSet<SocketAddr> =
            addresses.into_iter().filter(|address| *address != ctx.settings.address).collect();
        let view = ctx.view().number;
        let collection =
            StatusCollection { purpose, view, awaiting: awaiting.clone(), statuses: PeerStatuses::default() };
        let task = self.begin_task(now, Task::CollectingStatuses(collection));
        if awaiting.is_empty() {
            self.on_statuses(ctx, now, purpose, view, PeerStatuses::default());
            return;
        }
        for address in awaiting {
            let call = TaskCall { task, kind: TaskCallKind::Status(address) };
            ctx.call(address, CoordinatorRequest::Status, STATUS_TIMEOUT, CallPurpose::Task(call));
        }
    }

    /// Handles the status of the process at `address`, which is `None` if the process did not reply.
    pub(super) fn handle_status_reply<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        address: SocketAddr,
        reply: Option<CoordinatorReply>,
    ) {
        let Some(Task::CollectingStatuses(collection)) = &mut self.task else { return };
        if !collection.awaiting.remove(&address) {
            return;
        }
        if let Some(CoordinatorReply::Status(status)) = reply {
            collection.statuses.insert(address, status);
        }
        if collection.awaiting.is_empty() {
            let (purpose, view) = (collection.purpose, collection.view);
            let statuses = std::mem::take(&mut collection.statuses);
            self.on_statuses(ctx, now, purpose, view, statuses);
        }
    }

    /// Continues the task after all processes have replied or timed out.
    fn on_statuses<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        purpose: Purpose,
        collected_in_view: u64,
        statuses: PeerStatuses,
    ) {
        self.task = None;
        propagate_newest_view(ctx, &statuses);
        let is_outdated = ctx.view().number != collected_in_view;
        match purpose {
            Purpose::Join => {
                self.view_queried_at = if statuses.is_empty() { None } else { Some(now) };
                if ctx.settings.is_durable {
                    self.send_join_request(ctx);
                }
            }
            Purpose::CatchUp => {}
            // The task was started in an earlier view.
            Purpose::ChangeView | Purpose::ReplaceHead | Purpose::FinishUndecidedView if is_outdated => {}
            Purpose::ChangeView => self.change_view(ctx, now, &statuses),
            Purpose::ReplaceHead => self.replace_head(ctx, now, &statuses),
            Purpose::FinishUndecidedView => {
                // Paxos decides the view that was accepted before, whatever is proposed here.
                let view = ctx.view().clone();
                self.propose(ctx, now, view.members, view.voters, &statuses);
            }
        }
    }
}

/// Installs the newest view among the statuses, and sends it to the voters that are in an older view, as they
/// could not vote on the next one.
fn propagate_newest_view<S: Storage>(ctx: &mut Context<S>, statuses: &PeerStatuses) {
    let newest = statuses.iter().map(|(_, status)| &status.view).max_by_key(|view| view.number);
    if let Some(newest) = newest {
        ctx.install_view(newest);
    }
    let view = ctx.view().clone();
    for (address, status) in statuses.iter() {
        if status.view.number < view.number && view.voters.iter().any(|voter| voter.address == *address) {
            let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
            ctx.notify(*address, request, STATUS_TIMEOUT);
        }
    }
}
