//! Pulls newer configurations, lists of servers and views of the stores from a coordinator, by long polling.
//!
//! Any coordinator will do. The puller stays with one while it answers and is in touch with the others, and goes on to the
//! next one otherwise. Coordinators that replies name are added to those of the settings and never removed: a gateway that
//! was cut off for long must still find one that is alive.

use crate::state::State;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, Pull};
use marblecroft_protocol::coordinator_address;
use marblecroft_rpc::{Caller, Service};
use marblecroft_settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long a coordinator may hold a request until it has something newer.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// The time limit of a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// The delay before the request to the next coordinator.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Pulls until the process ends; returns at once where the settings name no coordinator. Blocks the thread.
pub fn run(settings: &Settings, state: &Arc<State>) {
    let caller = Caller::new(Service::Coordinators);
    let mut coordinators: Vec<SocketAddr> =
        settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports)).collect();
    if coordinators.is_empty() {
        return;
    }
    // Gateways begin with different coordinators.
    let mut current = usize::from(settings.ip.octets()[3]) + usize::from(settings.ip.octets()[1]);
    loop {
        let address = coordinators[current % coordinators.len()];
        if !pull(&caller, address, state, &mut coordinators) {
            current += 1;
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Makes one request; whether the coordinator's reply was of use. Adds the coordinators that it names.
fn pull(caller: &Caller, address: SocketAddr, state: &State, coordinators: &mut Vec<SocketAddr>) -> bool {
    let wait_ms = u32::try_from(PULL_WAIT.as_millis()).unwrap_or(u32::MAX);
    let request = CoordinatorRequest::Pull(Pull { known_versions: state.versions(), wait_ms });
    let Ok(CoordinatorReply::Updates(updates)) = caller.call(address, &request, REPLY_TIMEOUT) else {
        return false;
    };
    for coordinator in &updates.coordinators {
        if !coordinators.contains(coordinator) {
            coordinators.push(*coordinator);
        }
    }
    // One that is out of touch with its peers may have old state.
    let is_fresh = updates.fresh;
    if is_fresh {
        state.update(updates);
    }
    is_fresh
}
