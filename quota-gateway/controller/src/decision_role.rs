//! The interface of the roles: reports and what is published in the fleet go in, a decision comes out.

use crate::cell_client::CellClient;
use marblecroft_control_messages::frame::{decode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Body, Decision, Stamp};
use marblecroft_control_messages::report::Report;
use marblecroft_singleton_roles::keys::Keys;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::decision::ZonesDecision;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// An instant of this process's monotonic clock, as the time since its start.
pub type Now = Duration;

/// A role that decides for the fleet, as run by its owner.
pub trait DecisionRole {
    /// Handles the report of a gateway.
    ///
    /// # Errors
    ///
    /// Why the report was rejected; it changed nothing.
    fn handle_report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError>;
    /// Handles what operators and other roles have published.
    fn handle_view(&mut self, now: Now, view: &View);
    /// Returns a decision, encoded, to be published under this stamp; `None` if there is nothing new.
    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>>;
    /// The last decision was published under this stamp.
    fn on_published(&mut self, _: Now, _: Stamp) {}
    /// Acts on what is published. Called only while the lease is valid.
    fn act(&mut self) {}
    /// Returns the client whose replies should be handled at once.
    fn cell_client(&self) -> Option<Rc<CellClient>> {
        None
    }
}

/// Decodes the published decision of a role. `None` if there is none or another version wrote it: the owner then decides anew.
pub fn decode_decision<T: Body>(fleet: Fleet, duty: &str, published: Option<&[u8]>) -> Option<Decision<T>> {
    let decision = decode::<Decision<T>>(fleet, published?);
    decision.inspect_err(|why| warn!(duty, "{duty}: the decision that stands cannot be read: {why}")).ok()
}

/// Returns the published decision on the zones; `None` if there is none or it cannot be decoded.
pub fn published_zones(fleet: Fleet, keys: &Keys, view: &View) -> Option<ZonesDecision> {
    let bytes = view.get(&keys.decision("zones"))?;
    decode::<Decision<ZonesDecision>>(fleet, bytes).ok().map(|decision| decision.body)
}
