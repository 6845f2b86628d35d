//! Simulates clusters of coordinators and stores on virtual networks, disks and clocks. A run replays exactly
//! from its seed.
//!
//! The coordinators and stores are those of `marblecroft-control-plane-core`, which the real programs run as
//! well. A [`Cluster`] delivers their inputs and performs their outputs. The [`clients`] are operators,
//! gateways and batch clients. The [`faults`] are injected into the cluster, and the [`checker`] checks the
//! history of requests and responses. The [`runner`] runs a cluster with its clients and faults. Apart from
//! these, [`scenarios`] generates input for the test bench.
#![forbid(unsafe_code)]

pub mod checker;
pub mod clients;
pub mod cluster;
pub mod disk;
pub mod faults;
pub mod runner;
pub mod scenarios;

pub use cluster::{Cluster, ClusterSpec};
pub use faults::{Fault, Plan};
