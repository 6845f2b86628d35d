//! Clusters of coordinators and stores on virtual networks, disks and clocks, replayed exactly from a seed.
//!
//! The coordinators and stores are those of `marblecroft-control-plane-core`, as the programs run them. A [`Cluster`] carries
//! their inputs and outputs; [`clients`] are the operators, gateways and batch clients, [`faults`] the faults that are
//! injected, and the [`checker`] checks the history of requests and responses. The [`runner`] puts them together.
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
