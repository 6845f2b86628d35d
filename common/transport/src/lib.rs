//! Network code that the gateway in service and the serving tier's data plane share.
//!
//! [`socket`] lets hyper use a socket that its owner still watches, [`framing`] reads how the heads of requests say where
//! their bodies end, [`link`] is a client connection to a server, and [`system`] asks the kernel about a socket.

pub mod connection;
pub mod framing;
pub mod socket;
pub mod system;
