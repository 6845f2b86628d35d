//! Tests of the gateway's program: a real process between stand-ins of a coordinator, of the stores and of
//! model servers, all on the loopback interface.

mod encoded_responses;
mod late_responses;
mod outdated_configuration;
mod repeated_responses;
mod stand_ins;
mod unproven_promises;
