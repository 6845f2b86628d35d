//! What others learn of a gateway's state: its next process, which must know it; each of the two what the other does while
//! both live; the operators; the fleet's fair shares. Nothing is decided here.

use crate::api::{CustomerId, PeerProcessEvent, ServerId, Time};
use crate::arithmetic::sanitize;
use crate::decisions::load_shedding::Shedder;
use crate::decisions::quota::CustomerQuota;
use crate::decisions::server::Server;
use crate::decisions::Gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a gateway's next process must know of this one, to count nothing twice and to learn nothing anew. Written by name: the
/// two processes may be of different versions.
#[derive(Clone, Serialize, Deserialize)]
pub struct StateSnapshot {
    #[serde(rename = "started")]
    started_at: Option<Time>,
    servers: BTreeMap<ServerId, Server>,
    disabled: BTreeMap<ServerId, Time>,
    customers: BTreeMap<CustomerId, CustomerQuota>,
    shedder: Shedder,
    /// Mean units, mean latency and the longest wait of each class.
    classes: Vec<(f64, f64, f64)>,
    #[serde(rename = "mean_out")]
    mean_in_flight: f64,
    #[serde(rename = "sends")]
    recent_sends: f64,
    #[serde(rename = "retries")]
    retry_budget: f64,
}

impl Gateway {
    /// Returns the retry budget: retries that may be sent at once.
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget
    }

    /// Returns the share of a customer's traffic that comes through this gateway, as the meter reports it.
    pub fn customer_share(&self, customer: CustomerId) -> Option<f64> {
        self.customers.get(&customer).map(|customer| customer.share)
    }

    /// Returns what the next process of this gateway must know. For that one, what this one has in flight is in flight
    /// elsewhere.
    pub fn snapshot(&self) -> StateSnapshot {
        let (mut servers, mut customers) = (self.servers.clone(), self.customers.clone());
        servers.values_mut().for_each(|s| s.elsewhere += std::mem::take(&mut s.in_flight).len() as u32);
        customers.values_mut().for_each(|c| c.elsewhere += std::mem::take(&mut c.in_flight));
        let classes = self.mean_units.iter().zip(&self.mean_latency).zip(&self.longest_first_wait);
        StateSnapshot {
            started_at: self.started_at,
            servers,
            disabled: self.disabled.clone(),
            customers,
            shedder: self.shedder.clone(),
            classes: classes.map(|((&units, &latency), &wait)| (units, latency, wait)).collect(),
            mean_in_flight: self.mean_in_flight,
            recent_sends: self.recent_sends,
            retry_budget: self.retry_budget,
        }
    }

    /// Restores the state of a living process of this gateway, before the first event. What does not fit the settings is
    /// ignored.
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
            (self.mean_units[class], self.mean_latency[class], self.longest_first_wait[class]) = means;
        }
        (self.mean_in_flight, self.recent_sends, self.retry_budget) =
            (snapshot.mean_in_flight, snapshot.recent_sends, snapshot.retry_budget);
    }

    /// Handles what another process of this gateway does: the two keep the same state.
    pub(crate) fn on_peer_process_event(&mut self, event: PeerProcessEvent) {
        let now = self.now;
        match event {
            PeerProcessEvent::Sent { customer, plan, gateways, units, server } => {
                if let Some(c) = self.customer(customer, plan, gateways) {
                    c.elsewhere += 1;
                    // Beyond a quota only plans pass whose value allows it; whether one did is not reported here.
                    c.consume(now, sanitize(units), true);
                }
                if let Some(s) = self.servers.get_mut(&server) {
                    (s.elsewhere, s.is_owed_request) = (s.elsewhere + 1, false);
                    s.slow_start_tokens -= if s.warm_share(now, &self.settings) < 1.0 { 1.0 } else { 0.0 };
                }
                self.recent_sends += 1.0;
            }
            PeerProcessEvent::Ended { customer, server, answered } => {
                let decrement = |count: &mut u32| *count = count.saturating_sub(1);
                self.customers.entry(customer).and_modify(|c| decrement(&mut c.elsewhere));
                if let Some(s) = self.servers.get_mut(&server) {
                    decrement(&mut s.elsewhere);
                    if answered {
                        s.last_answer = now;
                        s.answer_rate.add(now, 1.0);
                    }
                }
            }
            PeerProcessEvent::Gone => {
                self.customers.values_mut().for_each(|c| c.elsewhere = 0);
                self.servers.values_mut().for_each(|s| s.elsewhere = 0);
            }
        }
    }
}
