//! The main loop of the owner of a role. It continues from the published decision, handles reports, decides,
//! and publishes under the lease's fencing token.

use crate::cell_client::CellClient;
use crate::create_role::create_role;
use crate::decision_role::DecisionRole;
use crate::shared::Shared;
use marblecroft_control_messages::published::Stamp;
use marblecroft_control_messages::report::Report;
use marblecroft_singleton_roles::run::{Lease, PublishOutcome};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::warn;

/// Timeout of one attempt to read the published decision.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a role until its lease should finish or is no longer valid.
pub async fn run_role(shared: Rc<Shared>, mut lease: Lease) {
    let mut reports = shared.reports.subscribe(&lease.role);
    let key = lease.keys.decision(&lease.role);
    let Ok(published) = read_published(&lease, &key).await else { return };
    let Some(mut role) = create_role(&shared.config, &lease.role, shared.now(), published.as_deref()) else {
        return;
    };
    let cell_client = role.cell_client();
    let mut stamp = Stamp { token: lease.token, revision: 0 };
    while lease.valid_token().is_some() && !lease.should_finish() {
        let next = Stamp { revision: stamp.revision + 1, ..stamp };
        if let Some(decision) = decide(&shared, role.as_mut(), &mut reports, next) {
            stamp = next;
            match lease.publish(key.clone(), decision).await {
                PublishOutcome::Published => {
                    role.on_published(shared.now(), stamp);
                    shared.published_decisions.set(shared.published_decisions.get() + 1);
                }
                PublishOutcome::Unknown => {}
                PublishOutcome::LeaseLost => return,
            }
        }
        if lease.valid_token().is_some() {
            role.act();
        }
        wait(&shared, &mut lease, cell_client.as_deref()).await;
    }
}

/// The lease ended before the published decision was read.
struct LeaseEnded;

async fn read_published(lease: &Lease, key: &str) -> Result<Option<Vec<u8>>, LeaseEnded> {
    loop {
        match lease.client.read(key, READ_TIMEOUT).await {
            Ok((_, values)) => {
                let value = values.into_iter().find(|(name, ..)| *name == key);
                return Ok(value.map(|(_, value, _)| value));
            }
            Err(e) if lease.valid_token().is_some() => {
                warn!(duty = %lease.role, "{}: failed to read the published decision: {e}", lease.role)
            }
            Err(_) => return Err(LeaseEnded),
        }
    }
}

/// Handles the published entries and the queued reports, and returns the decision to publish, if any.
fn decide(
    shared: &Shared,
    role: &mut dyn DecisionRole,
    reports: &mut mpsc::Receiver<Rc<Report>>,
    stamp: Stamp,
) -> Option<Vec<u8>> {
    let started_at = Instant::now();
    role.handle_view(shared.now(), &shared.view.borrow());
    while let Ok(report) = reports.try_recv() {
        if let Err(why) = role.handle_report(shared.now(), &report) {
            shared.reports.reject(why);
        }
    }
    let decision = role.decide(shared.now(), stamp);
    shared.longest_decision.set(shared.longest_decision.get().max(started_at.elapsed()));
    decision
}

/// Waits until the next decision is due: after the interval, or when a cell replies.
async fn wait(shared: &Shared, lease: &mut Lease, cell_client: Option<&CellClient>) {
    let interval = Duration::from_millis(shared.config.decision_interval_ms);
    match cell_client {
        Some(cell_client) => tokio::select! {
            () = lease.sleep_until_finish(interval) => {}
            () = cell_client.replied() => {}
        },
        None => lease.sleep_until_finish(interval).await,
    }
}
