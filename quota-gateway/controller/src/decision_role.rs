//! The interface of the roles. A role handles reports and published entries, and returns decisions.

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

/// An instant of the monotonic clock, as the time since the process started.
pub type Now = Duration;

/// A role that makes decisions for the fleet. It is run by its owner.
pub trait DecisionRole {
    /// Handles the report of a gateway.
    ///
    /// # Errors
    ///
    /// Returns the reason if the report was rejected, which leaves the role unchanged.
    fn handle_report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError>;
    /// Handles the entries that operators and other roles have published.
    fn handle_view(&mut self, now: Now, view: &View);
    /// Returns an encoded decision to publish under this stamp, or `None` if nothing needs to be published.
    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>>;
    /// Called when the last decision has been published under this stamp.
    fn on_published(&mut self, _: Now, _: Stamp) {}
    /// Executes operations that follow from the published decision. Called only while the lease is valid.
    fn act(&mut self) {}
    /// Returns the client whose replies trigger the next decision immediately.
    fn cell_client(&self) -> Option<Rc<CellClient>> {
        None
    }
}

/// Decodes the published decision of a role. Returns `None` if there is none, or if it cannot be decoded, for
/// example because another version wrote it. The owner then decides without a previous decision.
pub fn decode_decision<T: Body>(fleet: Fleet, role: &str, published: Option<&[u8]>) -> Option<Decision<T>> {
    let decision = decode::<Decision<T>>(fleet, published?);
    decision
        .inspect_err(|why| warn!(duty = role, "{role}: the published decision cannot be read: {why}"))
        .ok()
}

/// Returns the published decision on the zones, or `None` if there is none or it cannot be decoded.
pub fn published_zones(fleet: Fleet, keys: &Keys, view: &View) -> Option<ZonesDecision> {
    let bytes = view.get(&keys.decision("zones"))?;
    decode::<Decision<ZonesDecision>>(fleet, bytes).ok().map(|decision| decision.body)
}
