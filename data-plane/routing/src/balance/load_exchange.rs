//! The exchange of load between the gateways of a zone: what an update holds, and what one from a peer changes.
//!
//! Each update holds the sender's full state, not a difference, so that one that is lost is made up for by the next and none
//! need be acknowledged; only the prompt tokens are a difference, and a lost one merely makes a server seem less busy with
//! prefill. A peer that stops sending is forgotten when its last update expires. Servers are named by hash to keep updates
//! within one datagram. The exchange costs O(n) messages a gateway and interval, for n gateways: it is meant for one zone.

use super::endpoint::Endpoint;
use crate::hash::fnv1a;
use crate::tuning::Tuning;
use crate::Now;
use marblecroft_protocol::load::ServerLoad;
use std::collections::HashMap;

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

    /// Returns the update for the peers: the requests in flight and the failure rate at each endpoint, and the prompt tokens
    /// sent since the last update. Servers of which there is nothing to report are left out.
    pub(super) fn take_update<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        tuning: &Tuning,
        now: Now,
    ) -> Vec<ServerLoad> {
        let mut unreported = std::mem::take(&mut self.0);
        let mut loads = Vec::new();
        for endpoint in endpoints {
            let server = fnv1a(endpoint.server.id.as_bytes());
            // The conversion saturates.
            let failure_share = (endpoint.failure_rate.decayed(tuning, now) * f64::from(u8::MAX)) as u8;
            let prompt_tokens = unreported.remove(&server).unwrap_or(0);
            if endpoint.in_flight > 0 || prompt_tokens > 0 || failure_share > 0 {
                loads.push(ServerLoad {
                    server_hash: server,
                    in_flight: endpoint.in_flight,
                    prompt_tokens,
                    failure_share,
                });
            }
        }
        // Servers that are no longer endpoints.
        loads.extend(unreported.into_iter().map(|(server, prompt_tokens)| ServerLoad {
            server_hash: server,
            in_flight: 0,
            prompt_tokens,
            failure_share: 0,
        }));
        loads
    }
}
