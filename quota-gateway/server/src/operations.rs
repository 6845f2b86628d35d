//! Carries out the operators' commands.

use crate::commands::{Change, Command, CommandError, CommandOutput};
use crate::discovery::endpoint_follower::EndpointListMetrics;
use crate::discovery::server_ids::ServerIds;
use crate::engine::Engine;
use crate::fleet_decisions::observer::Observer;
use crate::metric::Metric;
use crate::server::ClientServer;
use marblecroft_quota_gateway_core::{Event, Gateway};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::info;

/// The parts of the gateway that commands read or change.
pub struct Operations {
    /// The engine, which handles the events of commands that change the gateway.
    pub engine: Rc<Engine>,
    /// The core, which provides the retry budget.
    pub gateway: Rc<RefCell<Gateway>>,
    /// The server for clients, which provides readiness and draining.
    pub server: Rc<ClientServer>,
    /// The servers' ids and numbers.
    pub ids: Rc<RefCell<ServerIds>>,
    /// Set if the endpoint list comes from the project's own discovery service.
    pub endpoint_list_metrics: Option<Rc<EndpointListMetrics>>,
    /// Set if the gateway is a member of a fleet.
    pub fleet: Option<Rc<Observer>>,
}

impl Operations {
    /// Carries out a command.
    ///
    /// # Errors
    /// Fails if the process does not accept clients, records no metrics, or has no server with the given
    /// name.
    pub fn perform(&self, command: &Command) -> Result<CommandOutput, CommandError> {
        match command {
            Command::Ready if self.server.accepts_clients() => Ok(CommandOutput::Done),
            Command::Ready => Err(CommandError::NotReady),
            Command::Metrics => self.metrics(),
            Command::Change(change) => {
                // Passed on even if the server is unknown here, because the other process may have listed it.
                self.engine.peer_links.send_change(change);
                self.apply(change).map(|()| CommandOutput::Done)
            }
        }
    }

    fn metrics(&self) -> Result<CommandOutput, CommandError> {
        let retry_budget = self.gateway.borrow().retry_budget();
        let totals = self.engine.budgets.totals.as_ref().ok_or(CommandError::MetricsUnavailable)?;
        for Metric { name, help, value } in self.gauges() {
            totals.set_gauge(name, help, value).map_err(|_| CommandError::MetricsUnavailable)?;
        }
        let (body, content_type) =
            totals.exposition(retry_budget).map_err(|_| CommandError::MetricsUnavailable)?;
        Ok(CommandOutput::Text { body, content_type })
    }

    /// The gauges of the endpoint list and of the fleet, if the configuration has them.
    fn gauges(&self) -> Vec<Metric> {
        let list = self.endpoint_list_metrics.iter().flat_map(|list| list.metrics());
        list.chain(self.fleet.iter().flat_map(|fleet| fleet.metrics())).collect()
    }

    /// Applies a change in this process only.
    ///
    /// # Errors
    /// Fails if the server is not known here.
    pub fn apply(&self, change: &Change) -> Result<(), CommandError> {
        match change {
            Change::Disable(name) | Change::Enable(name) => {
                let is_disabled = matches!(change, Change::Disable(_));
                let id = self.ids.borrow_mut().set_disabled(name, is_disabled);
                let id = id.ok_or_else(|| CommandError::UnknownServer(name.clone()))?;
                self.engine.post(if is_disabled {
                    Event::ServerDisabled(id)
                } else {
                    Event::ServerEnabled(id)
                });
            }
            Change::Drain => self.server.drain(),
            Change::Undrain => self.server.undrain(),
        }
        info!(change = ?change, "applied an operator command: {change:?}");
        Ok(())
    }
}
