//! The network: random delays, lost, late and duplicated messages, and faulty links.

use super::links::LinkFault;
use super::machine::Role;
use super::message::{Origin, Request, Response};
use super::process::Input;
use super::state::{Cluster, Event};
use std::time::Duration;

/// Lower bound of the delay of a message, in microseconds.
const MIN_DELAY_MICROS: u64 = 200;
/// Upper bound of the delay of a message without a fault, in microseconds.
const MAX_DELAY_MICROS: u64 = 2500;
/// Upper bound of the extra delay of a message with a fault, in milliseconds.
const MAX_EXTRA_DELAY_MILLIS: u64 = 3000;

impl Cluster {
    /// Draws the delay of a message.
    pub(super) fn draw_delay(&mut self) -> Duration {
        let delay = Duration::from_micros(self.rng.u64(MIN_DELAY_MICROS..MAX_DELAY_MICROS));
        if self.draw_message_fault() {
            delay + Duration::from_millis(self.rng.u64(0..MAX_EXTRA_DELAY_MILLIS))
        } else {
            delay
        }
    }

    /// Draws whether a message has a fault. Nothing is drawn while the network is reliable.
    pub(super) fn draw_message_fault(&mut self) -> bool {
        self.message_fault_permille > 0 && self.rng.u32(0..1000) < self.message_fault_permille
    }

    /// Sends a request. Its origin receives only the earliest of a response, a reset and a timeout.
    pub(super) fn send_request(
        &mut self,
        from: Option<usize>,
        to: usize,
        origin: Origin,
        request: Request,
        timeout: Duration,
    ) {
        self.pending_calls.insert(origin);
        self.schedule_event(timeout, Event::ResponseArrives { origin, response: None });
        match self.links.fault(from, Some(to)) {
            Some(LinkFault::Drop) => return,
            Some(LinkFault::Reset) => {
                let after = self.draw_delay();
                self.schedule_event(after, Event::ResponseArrives { origin, response: None });
                return;
            }
            None => {}
        }
        if self.draw_message_fault() {
            return;
        }
        let after = self.draw_delay();
        // Calls of clients are never duplicated, because there is no intermediary that retries them.
        if from.is_some() && self.draw_message_fault() {
            let duplicate_after = after + self.draw_delay();
            let (origin, request) = (Origin::Duplicate, request.clone());
            self.schedule_event(duplicate_after, Event::RequestArrives { machine: to, origin, request });
        }
        self.schedule_event(after, Event::RequestArrives { machine: to, origin, request });
    }

    /// Sends a response, or a reset (`None`), to the origin of a request.
    pub(super) fn send_response(&mut self, from: usize, origin: Origin, response: Option<Response>) {
        let to = match origin {
            Origin::Machine { machine, .. } => Some(machine),
            Origin::Client { .. } => None,
            Origin::Duplicate => return,
        };
        let response = match self.links.fault(Some(from), to) {
            Some(LinkFault::Drop) => return,
            Some(LinkFault::Reset) => None,
            None => response,
        };
        if self.draw_message_fault() {
            return;
        }
        let after = self.draw_delay();
        self.schedule_event(after, Event::ResponseArrives { origin, response });
    }

    /// Passes an arriving request to the process of a machine. Resets the call if no process of the right
    /// role is running; drops it if the machine is off or removed.
    pub(super) fn handle_request_arrival(&mut self, machine: usize, origin: Origin, request: Request) {
        let host = &self.machines[machine];
        if host.powered_off || host.removed {
            return;
        }
        let is_of_role = matches!(
            (&request, host.role),
            (Request::Store(_), Role::Store)
                | (Request::Coordinator(_) | Request::Operator(_), Role::Coordinator)
        );
        if host.running.is_none() || !is_of_role {
            self.send_response(machine, origin, None);
            return;
        }
        self.enqueue(machine, Input::Request { origin, request });
    }

    /// Passes the first response to a call to the origin of the call; drops later ones.
    pub(super) fn handle_response(&mut self, origin: Origin, response: Option<Response>) {
        if !self.pending_calls.remove(&origin) {
            return;
        }
        match origin {
            Origin::Machine { machine, incarnation, call } => {
                if self.incarnation_of(machine) == Some(incarnation) {
                    self.enqueue(machine, Input::Response { call, response });
                }
            }
            Origin::Client { client, call } => {
                self.with_client(client, |client, cluster, number| {
                    client.on_reply(cluster, number, call, response)
                });
            }
            Origin::Duplicate => {}
        }
    }

    /// Makes the link from one machine to another fail.
    pub fn partition(&mut self, from: usize, to: usize, fault: LinkFault) {
        self.links.partition(from, to, fault);
    }

    /// Partitions a machine from all clients.
    pub fn isolate_from_clients(&mut self, machine: usize) {
        self.links.isolate_from_clients(machine);
    }

    /// Repairs all links from and to a machine.
    pub fn heal(&mut self, machine: usize) {
        self.links.heal(machine);
    }
}
