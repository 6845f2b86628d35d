//! Fetches newer configurations, server lists and store views from a coordinator, by long polling.
//!
//! Any coordinator can be used. The poller stays with one as long as it responds and is in contact
//! with the other coordinators, and otherwise moves on to the next. Coordinators that are listed in
//! replies are added to those from the settings and never removed, so that a gateway that was
//! disconnected for a long time can still find a running one.

use crate::state::State;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, Pull};
use marblecroft_protocol::coordinator_address;
use marblecroft_rpc::{Caller, Service};
use marblecroft_settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time for which a coordinator holds a request until it has something newer.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// Time limit of a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before the request to the next coordinator.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Polls until the process ends. Returns immediately if the settings list no coordinator. Blocks
/// the thread.
pub fn run(settings: &Settings, state: &Arc<State>) {
    let caller = Caller::new(Service::Coordinators);
    let mut coordinators: Vec<SocketAddr> =
        settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports)).collect();
    if coordinators.is_empty() {
        return;
    }
    // Gateways start with different coordinators.
    let mut current = usize::from(settings.ip.octets()[3]) + usize::from(settings.ip.octets()[1]);
    loop {
        let address = coordinators[current % coordinators.len()];
        if !pull(&caller, address, state, &mut coordinators) {
            current += 1;
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Makes one request and adds the coordinators listed in the reply. Returns whether the reply was
/// usable.
fn pull(caller: &Caller, address: SocketAddr, state: &State, coordinators: &mut Vec<SocketAddr>) -> bool {
    let wait_ms = u32::try_from(PULL_WAIT.as_millis()).unwrap_or(u32::MAX);
    let request = CoordinatorRequest::Pull(Pull { known_versions: state.versions(), wait_ms });
    // Taken before the request is sent: what the reply confirms may have changed since.
    let requested_at = Instant::now();
    let Ok(CoordinatorReply::Updates(updates)) = caller.call(address, &request, REPLY_TIMEOUT) else {
        return false;
    };
    for coordinator in &updates.coordinators {
        if !coordinators.contains(coordinator) {
            coordinators.push(*coordinator);
        }
    }
    // A coordinator without contact to its peers may have stale state.
    let is_fresh = updates.fresh;
    if is_fresh {
        state.update(updates, requested_at);
    }
    is_fresh
}
