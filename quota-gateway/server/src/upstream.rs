//! The servers that requests are sent to.
//!
//! [`attempt`] takes a connection from the [`pool`] or establishes one, checks immediately before writing
//! that the attempt is still valid, and writes the request. [`response`] reads the response and determines
//! how the attempt ended, with the [`load_report`] that the server attached. [`endpoints`] follows the
//! endpoint list.

mod attempt;
mod endpoints;
mod load_report;
mod pool;
pub mod request;
mod response;

use crate::shard_map::ShardRouting;
use endpoints::Endpoints;
pub use endpoints::ServerProcess;
use load_report::LoadReportReader;
use marblecroft_quota_gateway_core::{Scope, ServerId, ServerInfo, Time};
use pool::{ConnectionPool, PoolSettings, PooledConnection};
use request::UpstreamRequest;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The endpoints, the connections to them, and the state that all attempts share.
pub struct Upstream {
    endpoints: Endpoints,
    pool: ConnectionPool,
    load_reports: LoadReportReader,
    shard_routing: Option<Rc<ShardRouting>>,
}

impl Upstream {
    /// Creates an upstream without endpoints.
    ///
    /// A connect may take at most `connect_timeout`; servers close connections that are idle for
    /// `server_idle_timeout`; at most `max_connections` may be open.
    pub fn new(
        connect_timeout: Duration,
        server_idle_timeout: Duration,
        max_connections: usize,
        shard_routing: Option<Rc<ShardRouting>>,
    ) -> Upstream {
        let settings = PoolSettings { connect_timeout, server_idle_timeout, max_connections };
        Upstream {
            endpoints: Endpoints::default(),
            pool: ConnectionPool::new(settings),
            load_reports: LoadReportReader::default(),
            shard_routing,
        }
    }

    /// Changes the maximum number of open connections, and closes excess idle ones.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pool.set_max_connections(max_connections);
    }

    /// Applies an endpoint list, and closes idle connections to processes that drain, are unlisted or have
    /// restarted.
    pub fn on_endpoint_list(
        &self,
        scope: Scope,
        servers: &[ServerInfo],
        addresses: &[(ServerId, SocketAddr)],
    ) {
        self.endpoints.on_endpoint_list(scope, servers, addresses);
        self.pool.retain(|process| self.endpoints.is_running(process));
    }

    /// The current process of a server, if it is listed.
    pub fn process_of(&self, server: ServerId) -> Option<ServerProcess> {
        self.endpoints.process_of(server)
    }

    /// Disables a server, or enables it again, on an operator's command.
    pub fn set_disabled(&self, server: ServerId, is_disabled: bool) {
        self.endpoints.set_disabled(server, is_disabled);
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Closes the connection that has been idle the longest. Returns whether there was one.
    pub fn close_one_idle(&self) -> bool {
        self.pool.close_one_idle()
    }

    /// Returns whether an attempt may still be written. While its connection was established, the client may
    /// have disconnected, the server may have begun to drain, and the attempt's window may have ended.
    fn may_write(&self, process: &ServerProcess, request: &UpstreamRequest, begin_by: Option<Time>) -> bool {
        !request.is_finished.get()
            && self.endpoints.is_running(process)
            && !self.endpoints.is_disabled(process.server)
            && begin_by.is_none_or(|begin_by| request.budget.is_before(begin_by))
    }

    /// Records activity on a connection to this process, including its close.
    fn on_activity(&self, process: ServerProcess) {
        // An attempt may outlast its server's listing. Its entry would then never be removed.
        if self.endpoints.is_running(&process) {
            self.pool.on_activity(process);
        }
    }

    /// Returns a connection to the pool, unless it is closed or its process is no longer running.
    fn put_back(&self, process: ServerProcess, connection: PooledConnection) {
        if !connection.is_closed() && self.endpoints.is_running(&process) {
            self.pool.put_back(process, connection);
        }
    }
}
