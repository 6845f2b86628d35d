//! What operators can ask of a running gateway, and who is told of it.

use crate::discovery::{ListMetrics, ServerIds};
use crate::engine::Engine;
use crate::fleet_decisions::observer::Observer;
use crate::server::ClientServer;
use marblecroft_quota_gateway_core::{Event, Gateway};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::info;

/// What is asked. A change asked for twice is made once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Ready,
    /// Where did requests' time go?
    Metrics,
    Change(Change),
}

/// What is said to a call that was carried out.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    Yes,
    /// A text, and of what type it is.
    Text(Vec<u8>, String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Leave the pay server of this id out ...
    Disable(String),
    /// ... and put it back.
    Enable(String),
    Drain,
    Undrain,
}

/// Why it was not done.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The process takes no clients, not yet or not any more.
    NotReady,
    /// No account is kept.
    NoAccount,
    /// No pay server of this id was ever told of.
    Unknown(String),
}

pub struct Operations {
    pub engine: Rc<Engine>,
    pub gateway: Rc<RefCell<Gateway>>,
    pub server: Rc<ClientServer>,
    pub ids: Rc<RefCell<ServerIds>>,
    /// Of the project's own list service, where that is followed.
    pub list_metrics: Option<Rc<ListMetrics>>,
    /// Of shares and books, where the fleet decides on them.
    pub fleet: Option<Rc<Observer>>,
}

impl Operations {
    pub fn perform(&self, call: &Call) -> Result<Reply, Refusal> {
        match call {
            Call::Ready => self.server.takes_clients().then_some(Reply::Yes).ok_or(Refusal::NotReady),
            Call::Metrics => {
                let left = self.gateway.borrow().retry_budget();
                let ledger = self.engine.accounts.totals.as_ref();
                if let Some(ledger) = ledger {
                    for (name, help, value) in self.metrics() {
                        ledger.set_gauge(name, help, value).map_err(|_| Refusal::NoAccount)?;
                    }
                }
                let text = ledger.map(|ledger| ledger.exposition(left));
                let (text, format) = text.and_then(Result::ok).ok_or(Refusal::NoAccount)?;
                Ok(Reply::Text(text, format))
            }
            Call::Change(change) => {
                // Also where it is unknown here: the other process may have heard of more.
                self.engine.links.changed(change);
                self.apply(change).map(|()| Reply::Yes)
            }
        }
    }

    /// What is known beside the budgets, where there is somebody who can tell: of the list, of the fleet.
    fn metrics(&self) -> Vec<(&'static str, &'static str, f64)> {
        let list = self.list_metrics.iter().flat_map(|list| {
            let (age, suspects) = list.now();
            let help = "Time since a list service last said how things are.";
            let held = "Servers held though the last whole list lacked them.";
            [
                ("marblecroft_list_age_seconds", help, age.unwrap_or(f64::INFINITY)),
                ("marblecroft_list_suspects", held, suspects as f64),
            ]
        });
        list.chain(self.fleet.iter().flat_map(|fleet| fleet.figures())).collect()
    }

    /// Makes a change in this process.
    pub fn apply(&self, change: &Change) -> Result<(), Refusal> {
        match change {
            Change::Disable(name) | Change::Enable(name) => {
                let disabled = matches!(change, Change::Disable(_));
                let id = self.ids.borrow_mut().disable(name, disabled);
                let id = id.ok_or_else(|| Refusal::Unknown(name.clone()))?;
                self.engine.post(if disabled { Event::ServerDisabled(id) } else { Event::ServerEnabled(id) });
            }
            Change::Drain => self.server.drain(),
            Change::Undrain => self.server.undrain(),
        }
        info!(change = ?change, "operators: {change:?}");
        Ok(())
    }
}
