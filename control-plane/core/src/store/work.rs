//! Work requests of gateways. First the results that a gateway reports are recorded, then its leases are
//! renewed and it is granted further items.
//!
//! This order makes a grant safe: an item whose result is being recorded must not be granted again, and
//! leases are granted only on a state that a round of the chain has confirmed as the newest.

use super::context::{rejection_reply, Context};
use super::leases::{LeaseManager, LEASE_DURATION};
use super::operations::{PendingOperation, WorkCall};
use crate::gateways::GatewayDirectory;
use crate::pending_table::PendingTable;
use crate::Time;
use marblecroft_batch_state::capacity::ItemCapacity;
use marblecroft_batch_state::lease::LeaseTerms;
use marblecroft_batch_state::{BatchState, Operation};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{ProposalError, Token};
use marblecroft_protocol::store::{GrantedItem, ItemId, StoreReply, WorkReply, WorkRequest};
use std::time::Duration;
use tracing::info;

/// Interval between log events about the items.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A work request whose results are being recorded.
struct ResultRecording {
    work: WorkCall,
    /// Number of results that are still being recorded.
    remaining: usize,
    error: Option<ProposalError>,
}

/// Grants items to gateways.
pub(super) struct WorkDispatcher {
    lease_manager: LeaseManager,
    capacity: ItemCapacity,
    gateways: GatewayDirectory,
    recordings: PendingTable<ResultRecording>,
    next_log_at: Duration,
}

impl WorkDispatcher {
    pub(super) fn new(now: Duration) -> WorkDispatcher {
        WorkDispatcher {
            lease_manager: LeaseManager::default(),
            capacity: ItemCapacity::default(),
            gateways: GatewayDirectory::default(),
            recordings: PendingTable::default(),
            next_log_at: now,
        }
    }

    /// Records the results that a gateway reports. Without any results, the grant is submitted at once.
    pub(super) fn handle_work<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        token: Token,
        request: WorkRequest,
    ) {
        let load = request.load;
        self.capacity.record_report(&request.gateway, load.live_requests, load.slots, now);
        self.gateways.record_work_request(now, &request);
        let results = request.finished;
        let work = WorkCall {
            token,
            finished: results.iter().map(|result| result.id.clone()).collect(),
            running: request.running,
            gateway: request.gateway,
            capacity: request.capacity as usize,
            zone: request.zone,
            peers_digest: request.peers_digest,
        };
        if results.is_empty() {
            ctx.read_index(now, PendingOperation::GrantWork(work));
            return;
        }
        let remaining = results.len();
        let recording = self.recordings.insert(ResultRecording { work, remaining, error: None });
        for finished in results {
            let (job, item) = (finished.id.job, finished.id.item);
            let operation = Operation::RecordResult { job, item, outcome: finished.outcome };
            ctx.propose(now, operation, PendingOperation::RecordResult { recording });
        }
    }

    /// Handles a result that was recorded, or that failed with `error`. After the last result of the request
    /// the gateway is granted work, or receives the error.
    pub(super) fn on_result_recorded<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        id: u64,
        error: Option<ProposalError>,
    ) {
        let Some(recording) = self.recordings.get_mut(id) else { return };
        recording.remaining -= 1;
        recording.error = error.or(recording.error.take());
        if recording.remaining > 0 {
            return;
        }
        let Some(recording) = self.recordings.remove(id) else { return };
        match recording.error {
            Some(e) => ctx.reply(recording.work.token, rejection_reply(e)),
            None => ctx.read_index(now, PendingOperation::GrantWork(recording.work)),
        }
    }

    /// Renews a gateway's leases and grants it further items. The chain must have confirmed the read.
    pub(super) fn grant<S: Storage>(&mut self, ctx: &mut Context<S>, time: Time, work: WorkCall) {
        let now = time.monotonic;
        let jobs = ctx.jobs();
        self.lease_manager.enter_view(ctx.chain().replica().view().number, now);
        let may_grant = self.lease_manager.may_grant(now);
        let leases = &mut self.lease_manager.leases;
        work.finished.iter().for_each(|id| leases.finish(id, now));
        leases.remove_expired(now);
        let running = work.running.len();
        let terms = LeaseTerms { gateway: &work.gateway, now, duration: LEASE_DURATION };
        let stop = leases.renew(&terms, jobs, work.running);
        let available_in_total = self.capacity.max_running_items().saturating_sub(leases.len());
        let available_to_gateway = self.capacity.max_running_items_per_gateway().saturating_sub(running);
        let max_items =
            if may_grant { work.capacity.min(available_in_total).min(available_to_gateway) } else { 0 };
        let granted = leases.grant(&terms, jobs, max_items, time.wall_ms);
        let reply = WorkReply {
            granted: granted.iter().filter_map(|id| granted_item(jobs, id)).collect(),
            stop,
            lease_ms: u32::try_from(LEASE_DURATION.as_millis()).unwrap_or(u32::MAX),
            peers: self.gateways.peers_of(&work.gateway, &work.zone, work.peers_digest),
            zone_loads: self.gateways.zone_loads(),
            gateway_count: self.gateways.count(),
            live_requests: self.capacity.live_requests() as f32,
        };
        ctx.reply(work.token, StoreReply::Work(reply));
    }

    /// Logs the numbers of open and leased items, as the head, every [`LOG_INTERVAL`].
    pub(super) fn log_items<S: Storage>(&mut self, ctx: &Context<S>, now: Duration) {
        if now < self.next_log_at {
            return;
        }
        self.next_log_at = now + LOG_INTERVAL;
        if !ctx.chain().is_head() {
            return;
        }
        let open: usize = ctx.jobs().open_jobs().map(|(_, job)| job.total() - job.results().len()).sum();
        if open == 0 {
            return;
        }
        info!(
            open,
            leased = self.lease_manager.leases.len(),
            max_running = self.capacity.max_running_items(),
            live_requests = self.capacity.live_requests(),
            "batch items"
        );
    }
}

fn granted_item(jobs: &BatchState, id: &ItemId) -> Option<GrantedItem> {
    let job = jobs.job(&id.job)?;
    Some(GrantedItem {
        id: id.clone(),
        host: job.host.clone(),
        route: job.route.clone(),
        item: job.pending_item(id.item)?.clone(),
        accepted_at_ms: job.accepted_at_ms,
    })
}
