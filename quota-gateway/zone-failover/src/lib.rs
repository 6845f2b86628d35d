//! Failover between zones and regions, decided by one owner per fleet (`docs/zone-failover.md`). No I/O and
//! no clock: the caller passes in reports, operator commands and instants. The same inputs give the same
//! decision, byte for byte.
//!
//! - [`settings`]: the zones, and the parameters of the decision.
//! - [`evidence`]: aggregates the observations of gateways and bounds the influence of each gateway.
//! - [`verdict`]: the health of each zone according to the evidence.
//! - [`zone`]: the state machine of a zone, driven by verdicts.
//! - [`capacity`]: the estimated capacity of a server.
//! - [`allocation`]: allocates the demand of each zone, to the zone itself within its capacity, then to the
//!   nearest zones.
//! - [`controller`]: combines these modules; takes reports and returns decisions.
//! - [`decision`]: the published decision.
//! - [`gateway_limits`]: the limits that one gateway derives from a decision.
#![forbid(unsafe_code)]

pub mod allocation;
pub mod capacity;
pub mod controller;
pub mod decision;
pub mod evidence;
pub mod gateway_limits;
pub mod settings;
pub mod verdict;
pub mod zone;
