//! The gateways of a simulation, by name, each with the decisions of its own.

use crate::wire::action::WireAction;
use crate::wire::convert::{read_event, write_action, Incoming};
use crate::wire::event::WireEvent;
use crate::wire::{Batch, Reply};
use marblecroft_quota_gateway_core::{Action, Event, Gateway, Time};
use serde_json::value::RawValue;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The gateways that have started and not stopped.
#[derive(Default)]
pub struct Gateways {
    gateways: BTreeMap<String, Gateway>,
    /// Empty between events; kept for its allocation.
    actions: Vec<Action>,
}

impl Gateways {
    /// Passes the events of a batch to their gateways in order, and returns their actions. An event that is malformed or for
    /// no gateway is reported on the standard error and left out.
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

    /// Passes an event to a gateway. One whose decisions panic is reported to the simulator and removed, as its state may be
    /// inconsistent; the others go on.
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
