//! Cluster membership of a fleet's gateways: which members are present, have left or have failed.
//!
//! The protocol is SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002) with the three Lifeguard extensions (A. Dadgar, J. Phillips,
//! J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018), and with
//! a periodic push-pull synchronization of full states:
//!
//! - [`detector`]: the failure detector. It is sans-I/O: messages and time go in, messages and state changes
//!   come out, and all randomness comes from a seed, so that a simulated run can be replayed.
//! - [`record`]: claims about the state of members, and the order in which claims override each other.
//! - [`wire`]: messages as datagrams, with a version, a cluster name and an authentication tag.
//! - [`config`] and [`output`]: the parameters of the detector, and the effects and counters that it returns.
#![forbid(unsafe_code)]

pub mod config;
pub mod detector;
pub mod output;
pub mod record;
pub mod wire;
