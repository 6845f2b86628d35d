//! The simulated gateways, by name. Each has its own decision state.

use crate::wire::action::WireAction;
use crate::wire::convert::{read_event, write_action, Incoming};
use crate::wire::event::WireEvent;
use crate::wire::{Batch, Reply};
use marblecroft_quota_gateway_core::{Action, Event, Gateway, Time};
use serde_json::value::RawValue;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The gateways that have been started and not stopped.
#[derive(Default)]
pub struct Gateways {
    gateways: BTreeMap<String, Gateway>,
    /// Buffer that is empty between events. It is kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Gateways {
    /// Passes the events of a batch to their gateways in order, and returns their actions. An event that is
    /// malformed or addressed to an unknown gateway is reported on standard error and skipped.
    pub fn handle_batch(&mut self, batch: Batch) -> Reply {
        let now = Time(batch.at_time);
        let mut reply = Reply::default();
        for item in batch.items {
            if let Err(cause) = self.handle_item(now, &item, &mut reply) {
                eprintln!("{}: bad event: {cause}", crate::PROGRAM);
            }
        }
        reply
    }

    fn handle_item(
        &mut self,
        now: Time,
        item: &RawValue,
        reply: &mut Reply,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let event: WireEvent = serde_json::from_str(item.get())?;
        let (name, incoming) = read_event(event)?;
        match incoming {
            Incoming::Start { seed, settings } => {
                self.gateways.insert(name, Gateway::new(*settings, seed));
            }
            Incoming::Stop => {
                if self.gateways.remove(&name).is_none() {
                    eprintln!("{}: PowerOff for {name}, which was never started", crate::PROGRAM);
                }
            }
            Incoming::Unused => {
                if !self.gateways.contains_key(&name) {
                    report_unknown_gateway(&name);
                }
            }
            Incoming::Event(event) => self.handle_event(now, &name, event, reply),
        }
        Ok(())
    }

    /// Passes an event to a gateway. If the gateway panics, it is reported to the simulator and removed,
    /// because its state may be inconsistent; the other gateways continue.
    fn handle_event(&mut self, now: Time, name: &str, event: Event, reply: &mut Reply) {
        let Some(gateway) = self.gateways.get_mut(name) else {
            report_unknown_gateway(name);
            return;
        };
        let actions = &mut self.actions;
        let result = catch_unwind(AssertUnwindSafe(|| gateway.handle(now, event, actions)));
        if let Err(panic) = result {
            reply.output.push(WireAction::fault(name, panic_message(panic.as_ref())));
            self.gateways.remove(name);
        }
        reply.output.extend(self.actions.drain(..).map(|action| write_action(name, action)));
    }
}

fn report_unknown_gateway(name: &str) {
    eprintln!("{}: event for {name}, which was never started", crate::PROGRAM);
}

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic in the decisions")
}
