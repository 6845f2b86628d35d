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
    /// The entry that the candidate publishes.
    pub candidate: Candidate,
    /// Time to live of the candidate's session.
    pub session_ttl: Duration,
}

/// Metrics of a candidate.
#[derive(Default)]
pub struct RoleMetrics {
    /// Fencing tokens of the roles that the candidate owns, by role.
    pub owned_roles: RefCell<BTreeMap<String, u64>>,
    /// Number of publications that were rejected because another candidate owns the role.
    pub fenced_writes: Rc<Cell<u64>>,
    /// Number of times that the candidate has acquired a role.
    pub acquisitions: Cell<u64>,
}
