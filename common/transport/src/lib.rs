//! Network code that the quota gateway and the serving tier's data plane share.
//!
//! hyper parses and writes HTTP. These modules add what it does not expose:
//!
//! - [`socket`]: the socket that hyper uses, which its owner can observe and close.
//! - [`framing`]: a scanner for requests whose heads delimit the body ambiguously.
//! - [`connection`]: a client connection to a server.
//! - [`system`]: system calls that none of the dependencies provides.

pub mod connection;
pub mod framing;
pub mod socket;
pub mod system;
