//! Whole clusters of the control plane on a virtual network, virtual disks and virtual clocks, from one seed.
//!
//! The coordinators and stores are those of `control-core`, as the programs run them. [`world::World`] carries their inputs
//! and outputs; [`clients`] are the operators, gateways and batch clients, [`faults`] the troubles, and [`judge`] checks
//! the history of everything that was asked and answered. A seed replays exactly.
#![forbid(unsafe_code)]

pub mod checker;
pub mod clients;
pub mod cluster;
pub mod disk;
pub mod faults;
pub mod scenarios;

pub use cluster::{Cluster, ClusterSpec};
pub use faults::{Fault, Plan};
