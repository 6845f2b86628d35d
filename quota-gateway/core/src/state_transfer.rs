//! What others are told of a gateway's accounts: its next process, which must know them, and each of the two what the other does
//! while both live; the operators; the fleet's shares. Nothing is decided here.

use crate::api::{CustomerId, PeerProcessEvent, ServerId, Time};
use crate::arithmetic::sanitize;
use crate::decisions::load_shedding::Shedder;
use crate::decisions::quota::CustomerQuota;
use crate::decisions::server::Server;
use crate::decisions::Gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a gateway's next process must know of this one, to count nothing twice and to learn nothing anew.
#[derive(Clone, Serialize, Deserialize)]
pub struct StateSnapshot {
    started: Option<Time>,
    servers: BTreeMap<ServerId, Server>,
    disabled: BTreeMap<ServerId, Time>,
    customers: BTreeMap<CustomerId, CustomerQuota>,
    shedder: Shedder,
    /// Mean units, mean latency and the longest wait of each class.
    classes: Vec<(f64, f64, f64)>,
    mean_out: f64,
    sends: f64,
    retries: f64,
}

impl Gateway {
    /// Further attempts that may be sent at once.
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget
    }

    /// The share of a customer's traffic that comes through here, as the meter tells.
    pub fn customer_share(&self, customer: CustomerId) -> Option<f64> {
        self.customers.get(&customer).map(|customer| customer.share)
    }

    /// What the next process of this gateway must know. What this one has out is out elsewhere for that one.
    pub fn snapshot(&self) -> StateSnapshot {
        let (mut servers, mut customers) = (self.servers.clone(), self.customers.clone());
        servers.values_mut().for_each(|s| s.elsewhere += std::mem::take(&mut s.in_flight).len() as u32);
        customers.values_mut().for_each(|c| c.elsewhere += std::mem::take(&mut c.in_flight));
        let classes = self.mean_units.iter().zip(&self.mean_latency).zip(&self.longest_first_wait);
        StateSnapshot {
            started: self.started_at,
            servers,
            disabled: self.disabled.clone(),
            customers,
            shedder: self.shedder.clone(),
            classes: classes.map(|((&units, &latency), &wait)| (units, latency, wait)).collect(),
            mean_out: self.mean_in_flight,
            sends: self.recent_sends,
            retries: self.retry_budget,
        }
    }

    /// Takes over from a living process of this gateway, before the first event. What does not fit the
    /// settings is left.
    pub fn restore(&mut self, memory: StateSnapshot) {
        (self.started_at, self.servers, self.disabled) = (memory.started, memory.servers, memory.disabled);
        for (id, customer) in memory.customers {
            if let Some(plan) = self.settings.plans.get(customer.plan_id.0).cloned() {
                self.customers.insert(id, CustomerQuota { plan, ..customer });
            }
        }
        if memory.shedder.priorities.len() == self.shedder.priorities.len() {
            let order = std::mem::take(&mut self.shedder.by_value);
            self.shedder = Shedder { by_value: order, ..memory.shedder };
        }
        for (class, told) in memory.classes.into_iter().enumerate().take(self.settings.classes.len()) {
            (self.mean_units[class], self.mean_latency[class], self.longest_first_wait[class]) = told;
        }
        (self.mean_in_flight, self.recent_sends, self.retry_budget) =
            (memory.mean_out, memory.sends, memory.retries);
    }

    /// Follows what another process of this gateway does: the two keep the same accounts.
    pub(crate) fn on_peer_process_event(&mut self, news: PeerProcessEvent) {
        let now = self.now;
        match news {
            PeerProcessEvent::Sent { customer, plan, gateways, units, server } => {
                if let Some(c) = self.customer(customer, plan, gateways) {
                    c.elsewhere += 1;
                    // Beyond a quota only plans pass whose worth allows it; whether one did is not told here.
                    c.consume(now, sanitize(units), true);
                }
                if let Some(s) = self.servers.get_mut(&server) {
                    (s.elsewhere, s.is_owed_request) = (s.elsewhere + 1, false);
                    s.slow_start_tokens -= if s.warm_share(now, &self.settings) < 1.0 { 1.0 } else { 0.0 };
                }
                self.recent_sends += 1.0;
            }
            PeerProcessEvent::Ended { customer, server, answered } => {
                let fewer = |held: &mut u32| *held = held.saturating_sub(1);
                self.customers.entry(customer).and_modify(|c| fewer(&mut c.elsewhere));
                if let Some(s) = self.servers.get_mut(&server) {
                    fewer(&mut s.elsewhere);
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
