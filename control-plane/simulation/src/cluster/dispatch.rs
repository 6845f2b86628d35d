//! The event loop: takes events in order, and dispatches each to its handler.

use super::message::{Origin, Request};
use super::process::Input;
use super::state::{Client, Cluster, Event};
use std::time::Duration;

impl Cluster {
    /// Runs until an instant, given as time since the start of the run, or until a checker has reported a
    /// violation.
    pub fn run_until(&mut self, until: Duration) {
        while !self.checker.has_violation() {
            let Some((at, event)) = self.events.pop_until(until) else { break };
            self.now = at;
            self.handle_event(event);
        }
        self.now = self.now.max(until);
    }

    /// Handles one event at the current instant.
    pub(super) fn handle_event(&mut self, event: Event) {
        self.update_event_digest(self.now.as_nanos() as u64);
        match event {
            Event::RequestArrives { machine, origin, request } => {
                self.handle_request_arrival(machine, origin, request)
            }
            Event::ResponseArrives { origin, response } => self.handle_response(origin, response),
            Event::PerformOutputs { machine, incarnation, outputs } => {
                if self.incarnation_of(machine) == Some(incarnation) {
                    self.machines[machine].disk.complete();
                    self.perform_outputs(machine, incarnation, outputs);
                }
            }
            Event::RunNextInput { machine, incarnation } => {
                if self.incarnation_of(machine) == Some(incarnation) {
                    self.run_next_input(machine);
                }
            }
            Event::Wake { machine, incarnation } => {
                let now = self.now;
                let running = self.machines[machine]
                    .running
                    .as_mut()
                    .filter(|running| running.incarnation == incarnation);
                if let Some(running) = running.filter(|running| running.wake_at == Some(now)) {
                    running.wake_at = None;
                    self.enqueue(machine, Input::Wake);
                }
            }
            Event::ServerList { machine, incarnation, servers } => {
                if self.incarnation_of(machine) == Some(incarnation) {
                    self.enqueue(machine, Input::ServerList(servers));
                }
            }
            Event::Start { machine } => self.start(machine),
            Event::ClientWakes { client } => {
                self.with_client(client, |client, cluster, number| client.wake(cluster, number))
            }
            Event::Fault(fault) => {
                self.log(|| format!("{fault:?}"));
                fault.inject(self);
            }
        }
    }

    /// Calls a client with access to the cluster that it is part of.
    pub(super) fn with_client(
        &mut self,
        number: usize,
        f: impl FnOnce(&mut dyn Client, &mut Cluster, usize),
    ) {
        let Some(mut client) = self.clients[number].take() else { return };
        f(client.as_mut(), self, number);
        self.clients[number] = Some(client);
    }

    /// Schedules a wake-up of a client.
    pub fn wake_client(&mut self, client: usize, after: Duration) {
        self.schedule_event(after, Event::ClientWakes { client });
    }

    /// Calls a process on behalf of a client, and returns the number of the call. The response, or `None`, is
    /// passed to [`Client::on_reply`].
    pub fn call_from_client(&mut self, client: usize, to: usize, request: Request, timeout: Duration) -> u64 {
        self.client_calls += 1;
        let origin = Origin::Client { client, call: self.client_calls };
        self.send_request(None, to, origin, request, timeout);
        self.client_calls
    }
}
