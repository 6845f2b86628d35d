//! Load updates between the gateways of a zone: their content, and how they are built.
//!
//! Each update holds the sender's full state instead of a difference, so a lost update is corrected
//! by the next one and no acknowledgement is needed. Only the prompt tokens are a difference; if
//! they are lost, a server seems less busy with prefill than it is. The load of a peer that stops
//! sending expires with its last update. Servers are identified by hash, which keeps an update
//! within one datagram. For n gateways the exchange costs each gateway O(n) messages per interval,
//! so it is meant for a single zone.

use super::endpoint::Endpoint;
use crate::hash::fnv1a;
use crate::tuning::Tuning;
use crate::Timestamp;
use marblecroft_protocol::load::ServerLoad;
use std::collections::HashMap;

/// Prompt tokens sent to each server since the last update to the peers, by the hash of the server
/// id.
///
/// This is not a field of the endpoint because it outlives it: tokens sent to a server that has
/// left the list are still reported to the peers.
#[derive(Debug, Default)]
pub(super) struct UnreportedTokens(HashMap<u64, u32>);

impl UnreportedTokens {
    pub(super) fn add(&mut self, id: &str, tokens: u32) {
        let unreported = self.0.entry(fnv1a(id.as_bytes())).or_default();
        *unreported = unreported.saturating_add(tokens);
    }

    /// Removes the tokens of servers that are not in `ids_by_hash`.
    pub(super) fn retain_servers(&mut self, ids_by_hash: &HashMap<u64, String>) {
        self.0.retain(|server, _| ids_by_hash.contains_key(server));
    }

    /// Returns the update for the peers: requests in flight and failure rate of each endpoint, and
    /// the prompt tokens sent to it since the last update. Servers with nothing to report are
    /// omitted.
    pub(super) fn take_update<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        tuning: &Tuning,
        now: Timestamp,
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
        // Adds the servers that are no longer endpoints.
        loads.extend(unreported.into_iter().map(|(server, prompt_tokens)| ServerLoad {
            server_hash: server,
            in_flight: 0,
            prompt_tokens,
            failure_share: 0,
        }));
        loads
    }
}
