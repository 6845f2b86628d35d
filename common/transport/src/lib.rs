//! Network code that the quota gateway and the serving tier's data plane share.
//!
//! hyper parses and writes HTTP; what it does not expose is added here, below it and beside it:
//!
//! - [`socket`] is the socket under hyper, which its owner can observe and close in its own way.
//! - [`framing`] scans the bytes that a client sends for heads whose body length is ambiguous.
//! - [`connection`] is a client connection to a server.
//! - [`system`] holds the calls to the kernel that no crate in use offers.

pub mod connection;
pub mod framing;
pub mod socket;
pub mod system;
