//! Servers that a retry may go to. A repeated keyed request is dropped only within one set of servers, and
//! only for a limited time.

use super::request::Request;
use super::Gateway;
use crate::api::{DeduplicationScope, Effect, Placement, ServerInfo, Time};

impl Gateway {
    /// When servers stop recognizing a retry of this request, less one tick. No attempt may begin at this
    /// time or later. `None` if the class has no such window, or no attempt can have been executed yet.
    pub(super) fn deduplication_window_end(&self, request: &Request) -> Option<Time> {
        let Effect::Keyed { window, .. } = self.settings.classes[request.class].effect else { return None };
        let first = request.first_possibly_executed()?;
        Some(first.sent.after(window.saturating_sub(self.settings.tick)))
    }

    /// Returns a predicate for the servers that the next attempt of a request may go to; `None` if the class
    /// allows no further attempt.
    pub(super) fn retry_constraint(&self, request: &Request) -> Option<impl Fn(&ServerInfo) -> bool + use<>> {
        let effect = self.settings.classes[request.class].effect;
        let group = match (effect, request.first_possibly_executed()) {
            (_, None) | (Effect::Safe, _) => None,
            (Effect::Keyed { group, .. }, Some(first))
                if self.deduplication_window_end(request)? > self.now =>
            {
                self.servers.get(&first.server).map(|server| (group, server.info.zone, server.info.cell))
            }
            (_, Some(_)) => return None,
        };
        let placement = request.placement;
        Some(move |server: &ServerInfo| match (placement, group) {
            (Placement::Cell(cell), _) if server.cell != cell => false,
            (_, Some((DeduplicationScope::Zone, zone, _))) => server.zone == zone,
            (_, Some((DeduplicationScope::Cell, _, cell))) => server.cell == cell,
            _ => true,
        })
    }
}
