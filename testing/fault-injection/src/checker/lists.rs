//! What gateways are told of pay servers, by the list service or its stand-in.

use super::tries::FAULT_AFTERMATH;
use super::{seconds, Checker, LIST_LACKS_SERVER};
use crate::deployment::{Drawn, Nanos, SECOND};
use crate::endpoint::Kind;
use crate::history::Told;
use std::collections::HashMap;

/// A replica of the list service may be this far behind.
const MAX_REPLICA_LAG: Nanos = 6 * SECOND;

/// What a gateway has been told, in one life of its process.
#[derive(Default)]
pub(super) struct Gateway {
    pub(super) told: HashMap<u16, (Told, Nanos)>,
    pub(super) store: Option<u64>,
    /// The store may have changed since the last call.
    pub(super) moved: bool,
    pub(super) since: u64,
}

impl Checker {
    /// What a gateway was told of a server, or counts as told of: what its agent holds, from the first moment of its process, while
    /// no fault lies between the two.
    pub(super) fn counts_as_told(
        &self,
        gateway: u16,
        server: u16,
        told: Option<(Told, Nanos)>,
    ) -> Option<(Told, Nanos)> {
        let between = |fault: &Drawn| {
            fault.kind.of_links()
                && (fault.from.is_empty()
                    || fault.victims.iter().chain(&fault.from).any(|end| end.kind() == Kind::ListService))
        };
        if self.setup.as_ref().is_none_or(|setup| setup.faults.iter().any(between)) {
            return told;
        }
        let held = self.held.get(&server).filter(|(held, _)| *held != Told::Serving);
        let started = self.started.get(&gateway).copied().unwrap_or(0);
        let held = held.map(|(held, since)| (*held, (*since).max(started)));
        match (told, held) {
            (Some((Told::Draining | Told::Gone, told_at)), Some((_, since))) if told_at <= since => told,
            (_, Some(held)) => Some(held),
            (told, None) => told,
        }
    }

    pub(super) fn told(
        &mut self,
        at: Nanos,
        gateway: u16,
        list: u16,
        store: u64,
        full: bool,
        servers: &[(u16, Told)],
    ) {
        let seen = self.gateways.entry(gateway).or_default();
        if seen.store.replace(store).is_some_and(|before| before != store) {
            seen.moved = true;
        }
        let processes = self.setup.as_ref().map_or(0, |setup| setup.list_processes);
        if full {
            let missing = seen.told.keys().filter(|old| !servers.iter().any(|(new, _)| new == *old)).count();
            // What lacks most of the servers at once may be held for a while, where the list service is followed.
            if processes == 0 || missing * 2 <= seen.told.len() {
                for (old, state) in &mut seen.told {
                    if !servers.iter().any(|(new, _)| new == old) && state.0 != Told::Gone {
                        *state = (Told::Gone, at);
                    }
                }
            }
        }
        for (server, now) in servers {
            let state = seen.told.entry(*server).or_insert((*now, at));
            let leaves = |told| told != Told::Serving;
            if state.0 != *now && !(leaves(state.0) && leaves(*now)) {
                state.1 = at;
            }
            state.0 = *now;
        }
        if full && processes > 0 {
            let lag = if list == 0 { FAULT_AFTERMATH } else { MAX_REPLICA_LAG };
            let lacks = self
                .registered
                .iter()
                .filter(|(server, since)| {
                    **since + lag < at && !servers.iter().any(|(new, _)| new == *server)
                })
                .map(|(server, since)| (*server, *since))
                .min();
            if let Some((server, since)) = lacks {
                self.broken(LIST_LACKS_SERVER, || {
                    format!(
                        "pay_servers[{server}] was registered at {}, and the list told at {} lacks it",
                        seconds(since),
                        seconds(at)
                    )
                });
            }
        }
    }
}
