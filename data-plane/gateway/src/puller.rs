//! Pulls what is newer from a coordinator, and from another one where that is silent or out of touch.

use crate::state::State;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, Pull};
use marblecroft_protocol::coordinator_address;
use marblecroft_rpc::{Caller, Service};
use marblecroft_settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long a coordinator may hold a question.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// Time for its answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after an answer without use.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Runs until the process ends.
pub fn run(settings: &Settings, state: &Arc<State>) {
    let caller = Caller::new(Service::Coordinators);
    let mut coordinators: Vec<SocketAddr> =
        settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports)).collect();
    if coordinators.is_empty() {
        return;
    }
    // Gateways begin with different ones.
    let mut at = usize::from(settings.ip.octets()[3]) + usize::from(settings.ip.octets()[1]);
    loop {
        let to = coordinators[at % coordinators.len()];
        let wait_ms = u32::try_from(PULL_WAIT.as_millis()).unwrap_or(u32::MAX);
        let pull = CoordinatorRequest::Pull(Pull { known_versions: state.versions(), wait_ms });
        match caller.call(to, &pull, REPLY_TIMEOUT) {
            Ok(CoordinatorReply::Updates(updates)) => {
                for coordinator in &updates.coordinators {
                    if !coordinators.contains(coordinator) {
                        coordinators.push(*coordinator);
                    }
                }
                if updates.fresh {
                    state.update(updates);
                } else {
                    at += 1;
                    thread::sleep(RETRY_INTERVAL);
                }
            }
            Ok(_) | Err(_) => {
                at += 1;
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}
