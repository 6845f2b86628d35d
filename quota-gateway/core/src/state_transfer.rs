//! State that a gateway exchanges with others: snapshots for the process that replaces it, updates between
//! the two processes while both run, and values for operators and for the fair-share allocation. Nothing is
//! decided here.

use crate::api::{CustomerId, PeerProcessEvent, ServerId, Time};
use crate::arithmetic::sanitize;
use crate::decisions::load_shedding::Shedder;
use crate::decisions::quota::CustomerQuota;
use crate::decisions::server::Server;
use crate::decisions::Gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State that a gateway passes to the process that replaces it, so that the new process keeps the counts and
/// averages of this one. Fields are serialized by name because the two processes may run different versions.
#[derive(Clone, Serialize, Deserialize)]
pub struct StateSnapshot {
    #[serde(rename = "started")]
    started_at: Option<Time>,
    servers: BTreeMap<ServerId, Server>,
    disabled: BTreeMap<ServerId, Time>,
    customers: BTreeMap<CustomerId, CustomerQuota>,
    shedder: Shedder,
    /// Mean units, mean latency and longest client timeout of each class.
    classes: Vec<(f64, f64, f64)>,
    #[serde(rename = "mean_out")]
    mean_in_flight: f64,
    #[serde(rename = "sends")]
    recent_sends: f64,
    #[serde(rename = "retries")]
    retry_budget: f64,
}

impl Gateway {
    /// Returns the retry budget: the number of retries that may be sent at once.
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget
    }

    /// Returns the share of a customer's use that passes through this gateway, as derived from the meter.
    pub fn customer_share(&self, customer: CustomerId) -> Option<f64> {
        self.customers.get(&customer).map(|customer| customer.share)
    }

    /// Returns a snapshot for the process that replaces this one. It counts this process's attempts in flight
    /// as those of another process.
    pub fn snapshot(&self) -> StateSnapshot {
        let (mut servers, mut customers) = (self.servers.clone(), self.customers.clone());
        servers.values_mut().for_each(|s| s.peer_in_flight += std::mem::take(&mut s.in_flight).len() as u32);
        customers.values_mut().for_each(|c| c.peer_in_flight += std::mem::take(&mut c.in_flight));
        let classes = self.mean_units.iter().zip(&self.mean_latency).zip(&self.longest_initial_timeout);
        StateSnapshot {
            started_at: self.started_at,
            servers,
            disabled: self.disabled.clone(),
            customers,
            shedder: self.shedder.clone(),
            classes: classes.map(|((&units, &latency), &timeout)| (units, latency, timeout)).collect(),
            mean_in_flight: self.mean_in_flight,
            recent_sends: self.recent_sends,
            retry_budget: self.retry_budget,
        }
    }

    /// Restores the state of a running process of this gateway. Must be called before the first event. State
    /// that does not match the settings is ignored.
    pub fn restore(&mut self, snapshot: StateSnapshot) {
        (self.started_at, self.servers, self.disabled) =
            (snapshot.started_at, snapshot.servers, snapshot.disabled);
        for (id, customer) in snapshot.customers {
            if let Some(plan) = self.settings.plans.get(customer.plan_id.0).cloned() {
                self.customers.insert(id, CustomerQuota { plan, ..customer });
            }
        }
        if snapshot.shedder.priorities.len() == self.shedder.priorities.len() {
            let by_value = std::mem::take(&mut self.shedder.by_value);
            self.shedder = Shedder { by_value, ..snapshot.shedder };
        }
        for (class, means) in snapshot.classes.into_iter().enumerate().take(self.settings.classes.len()) {
            (self.mean_units[class], self.mean_latency[class], self.longest_initial_timeout[class]) = means;
        }
        (self.mean_in_flight, self.recent_sends, self.retry_budget) =
            (snapshot.mean_in_flight, snapshot.recent_sends, snapshot.retry_budget);
    }

    /// Applies the activity of another process of this gateway, so that both keep the same counts.
    pub(crate) fn on_peer_process_event(&mut self, event: PeerProcessEvent) {
        let now = self.now;
        match event {
            PeerProcessEvent::Sent { customer, plan, gateways, units, server } => {
                if let Some(c) = self.customer(customer, plan, gateways) {
                    c.peer_in_flight += 1;
                    // The event does not report whether the request was within its quota, so it is counted as
                    // if it was. Requests over the quota are sent only for plans whose over-quota value
                    // exceeds the cost.
                    c.consume(now, sanitize(units), true);
                }
                if let Some(s) = self.servers.get_mut(&server) {
                    (s.peer_in_flight, s.needs_probe) = (s.peer_in_flight + 1, false);
                    s.slow_start_tokens -= if s.warm_share(now, &self.settings) < 1.0 { 1.0 } else { 0.0 };
                }
                self.recent_sends += 1.0;
            }
            PeerProcessEvent::Ended { customer, server, answered } => {
                let decrement = |count: &mut u32| *count = count.saturating_sub(1);
                self.customers.entry(customer).and_modify(|c| decrement(&mut c.peer_in_flight));
                if let Some(s) = self.servers.get_mut(&server) {
                    decrement(&mut s.peer_in_flight);
                    if answered {
                        s.last_response_at = now;
                        s.response_rate.add(now, 1.0);
                    }
                }
            }
            PeerProcessEvent::Exited => {
                self.customers.values_mut().for_each(|c| c.peer_in_flight = 0);
                self.servers.values_mut().for_each(|s| s.peer_in_flight = 0);
            }
        }
    }
}
