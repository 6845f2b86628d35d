//! Membership of a fleet's gateways: who is present, who has left, who has failed.
//!
//! SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2018): probes, direct and by
//! others; suspicion that the suspect can refute by a higher incarnation; awareness of the own health; news carried by the
//! probes themselves.
//!
//! - [`record`]: what is said of a member, and how two sayings are merged.
//! - [`core`]: the failure detector. Sans-I/O: messages and time in, messages and changes out, chance from a seed.
//! - [`wire`]: messages as datagrams, with a version, a cluster and an authentication code.
#![forbid(unsafe_code)]

pub mod core;
pub mod record;
pub mod wire;
