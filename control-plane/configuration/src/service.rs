//! Services, and the limits on clients.

use std::time::Duration;

/// A service: a pool of servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the servers' health checks. Default: `/health`.
    pub health_path: String,
    /// Number of connections that a server accepts from all gateways together; 0, the default, means unknown.
    pub max_connections: u32,
    /// Number of requests that a server runs concurrently; 0, the default, means unknown.
    pub slots: u32,
    /// Number of tokens that fit into a server's KV cache; 0, the default, means unknown.
    pub kv_cache_tokens: u64,
}

/// Limits on the size of clients' requests and on the time that clients take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head. Default: 16 KiB.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body. Default: 4 MiB.
    pub max_body_bytes: usize,
    /// Time within which the head of a request must arrive. Default: 3 s.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed. Default: 15 s.
    pub idle_timeout: Duration,
}
