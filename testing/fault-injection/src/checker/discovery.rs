//! Checks of the pay servers that gateways receive from the discovery service or its stand-in.

use super::attempts::FAULT_AFTERMATH;
use super::{seconds, Checker, REGISTRATION_MISSING};
use crate::deployment::{DrawnFault, Nanos, SECOND};
use crate::endpoint::Kind;
use crate::history::ServerState;
use std::collections::HashMap;

/// Maximum replication lag of a replica of the discovery service.
const MAX_REPLICA_LAG: Nanos = 6 * SECOND;

/// The servers that a gateway has received from discovery since its process was started.
#[derive(Default)]
pub(super) struct Gateway {
    pub(super) states: HashMap<u16, (ServerState, Nanos)>,
    pub(super) store: Option<u64>,
    /// Whether the store has changed since the gateway's last request.
    pub(super) store_changed: bool,
    pub(super) since: u64,
}

impl Checker {
    /// Returns the state of a server that a gateway has received or counts as having received, and since
    /// when. The state at the platform's agent counts from the start of the gateway's process, unless a fault
    /// affects the links to the discovery service.
    pub(super) fn effective_state(
        &self,
        gateway: u16,
        server: u16,
        received_state: Option<(ServerState, Nanos)>,
    ) -> Option<(ServerState, Nanos)> {
        let between = |fault: &DrawnFault| {
            fault.kind.of_links()
                && (fault.from.is_empty()
                    || fault
                        .victims
                        .iter()
                        .chain(&fault.from)
                        .any(|endpoint| endpoint.kind() == Kind::DiscoveryService))
        };
        if self.setup.as_ref().is_none_or(|setup| setup.faults.iter().any(between)) {
            return received_state;
        }
        let agent_state = self.agent_states.get(&server).filter(|(state, _)| *state != ServerState::Serving);
        let started = self.started.get(&gateway).copied().unwrap_or(0);
        let agent_state = agent_state.map(|(state, since)| (*state, (*since).max(started)));
        match (received_state, agent_state) {
            (Some((ServerState::Draining | ServerState::Removed, received_at)), Some((_, since)))
                if received_at <= since =>
            {
                received_state
            }
            (_, Some(agent_state)) => Some(agent_state),
            (received_state, None) => received_state,
        }
    }

    pub(super) fn discovery_received(
        &mut self,
        at: Nanos,
        gateway: u16,
        process: u16,
        store: u64,
        full: bool,
        servers: &[(u16, ServerState)],
    ) {
        let gateway_state = self.gateways.entry(gateway).or_default();
        if gateway_state.store.replace(store).is_some_and(|before| before != store) {
            gateway_state.store_changed = true;
        }
        let process_count = self.setup.as_ref().map_or(0, |setup| setup.discovery_processes);
        if full {
            let missing =
                gateway_state.states.keys().filter(|old| !servers.iter().any(|(new, _)| new == *old)).count();
            // A gateway may ignore a response of the discovery service that lacks more than half of the known
            // servers, so such a response does not count as removing them.
            if process_count == 0 || missing * 2 <= gateway_state.states.len() {
                for (old, state) in &mut gateway_state.states {
                    if !servers.iter().any(|(new, _)| new == old) && state.0 != ServerState::Removed {
                        *state = (ServerState::Removed, at);
                    }
                }
            }
        }
        for (server, now) in servers {
            let state = gateway_state.states.entry(*server).or_insert((*now, at));
            let leaves = |state| state != ServerState::Serving;
            if state.0 != *now && !(leaves(state.0) && leaves(*now)) {
                state.1 = at;
            }
            state.0 = *now;
        }
        if full && process_count > 0 {
            let lag = if process == 0 { FAULT_AFTERMATH } else { MAX_REPLICA_LAG };
            let lacks = self
                .registered
                .iter()
                .filter(|(server, since)| {
                    **since + lag < at && !servers.iter().any(|(new, _)| new == *server)
                })
                .map(|(server, since)| (*server, *since))
                .min();
            if let Some((server, since)) = lacks {
                self.add_violation(REGISTRATION_MISSING, || {
                    format!(
                        "pay_servers[{server}] was registered at {}, and the response of discovery at {} lacks it",
                        seconds(since),
                        seconds(at)
                    )
                });
            }
        }
    }
}
