//! The exchange of load between the gateways of a zone: what an update holds, and what one from a peer changes.
//!
//! Each update holds the sender's full state, not a difference, so that one that is lost is made up for by the next and none
//! need be acknowledged; only the prompt tokens are a difference, and a lost one merely makes a server seem less busy with
//! prefill. A peer that stops sending is forgotten when its last update expires. Servers are named by hash to keep updates
//! within one datagram. The exchange costs O(n) messages a gateway and interval, for n gateways: it is meant for one zone.

use super::outlier::FailureRate;
use super::LoadBalancer;
use crate::hash::fnv1a;
use crate::Now;
use marblecroft_protocol::load::ServerLoad;
use std::collections::HashMap;

/// The load of one peer gateway at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    /// Requests of the peer at the server.
    pub(super) in_flight: u32,
    /// When the peer reported it.
    pub(super) reported_at: Now,
}

/// Prompt tokens that were sent to each server since the last update to the peers, by the servers' hashes.
///
/// This is not a field of the endpoint because it outlives it: peers still learn of the tokens that went to a server which
/// has left the list.
#[derive(Debug, Default)]
pub(super) struct UnreportedTokens(HashMap<u64, u32>);

impl UnreportedTokens {
    pub(super) fn add(&mut self, id: &str, tokens: u32) {
        let unreported = self.0.entry(fnv1a(id.as_bytes())).or_default();
        *unreported = unreported.saturating_add(tokens);
    }

    /// Drops the tokens of servers that are not among `ids_by_hash`.
    pub(super) fn retain_known(&mut self, ids_by_hash: &HashMap<u64, String>) {
        self.0.retain(|server, _| ids_by_hash.contains_key(server));
    }
}

impl LoadBalancer {
    /// Returns the number of requests that were sent or finished so far. An update is due when it has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns what to report to peer gateways: the requests in flight and the failure rate at each server, and the prompt
    /// tokens sent there since the last call. Servers of which there is nothing to report are left out.
    pub fn take_load_update(&mut self, now: Now) -> Vec<ServerLoad> {
        let mut unreported = std::mem::take(&mut self.unreported_tokens.0);
        let mut loads = Vec::new();
        for endpoint in self.endpoints.values() {
            let server = fnv1a(endpoint.server.id.as_bytes());
            // The conversion saturates.
            let failure_share = (endpoint.failure_rate.decayed(&self.tuning, now) * f64::from(u8::MAX)) as u8;
            let prompt_tokens = unreported.remove(&server).unwrap_or(0);
            if endpoint.in_flight > 0 || prompt_tokens > 0 || failure_share > 0 {
                loads.push(ServerLoad {
                    server,
                    in_flight: endpoint.in_flight,
                    prompt_tokens,
                    failure_share,
                });
            }
        }
        let departed = unreported.into_iter();
        loads.extend(departed.map(|(server, prompt_tokens)| ServerLoad {
            server,
            in_flight: 0,
            prompt_tokens,
            failure_share: 0,
        }));
        loads
    }

    /// Handles the update of the gateway whose name hashes to `peer`. It replaces what that gateway reported before.
    pub fn on_peer_load(&mut self, peer: u64, loads: &[ServerLoad], now: Now) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peer_loads.remove(&peer);
        }
        for load in loads {
            let id = self.ids_by_hash.get(&load.server);
            // Lists of servers reach gateways at different times: one that is not known here is passed over.
            let Some(endpoint) = id.and_then(|id| self.endpoints.get_mut(id)) else { continue };
            if load.in_flight > 0 {
                let peer_load = PeerLoad { in_flight: load.in_flight, reported_at: now };
                endpoint.peer_loads.insert(peer, peer_load);
            }
            endpoint.add_prompt_tokens(&self.tuning, load.prompt_tokens, now);
            let reported = f64::from(load.failure_share) / f64::from(u8::MAX);
            if reported > endpoint.peer_failure_rate.decayed(&self.tuning, now) {
                endpoint.peer_failure_rate = FailureRate::reported(reported, now);
            }
        }
    }
}
