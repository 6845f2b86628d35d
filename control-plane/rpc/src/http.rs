//! A small HTTP server, for calls between processes, the operator's API and readiness checks.

mod message;
mod server;

pub use message::{Reply, Request};
pub use server::{listen, serve};
