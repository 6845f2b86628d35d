//! Settings and metrics of a candidate.

use crate::keys::Candidate;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The identity of a candidate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the candidate, unique in the fleet.
    pub name: String,
    /// What it publishes of itself.
    pub candidate: Candidate,
    /// Time to live of its session.
    pub session_ttl: Duration,
}

/// Metrics of a candidate.
#[derive(Default)]
pub struct RoleMetrics {
    /// Fencing tokens of the roles that it owns, by role.
    pub owned_roles: RefCell<BTreeMap<String, u64>>,
    /// Publications that were rejected, as another candidate owns the role.
    pub fenced_writes: Rc<Cell<u64>>,
    /// Roles acquired so far.
    pub acquisitions: Cell<u64>,
}
