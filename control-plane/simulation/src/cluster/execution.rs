//! Runs processes. A process handles one input at a time and is busy until the writes of the input are
//! synced; then its outputs are performed.

use super::message::{Origin, Request, Response};
use super::process::{Input, Output};
use super::state::{Cluster, Event};
use marblecroft_chain_replication::Token;
use marblecroft_control_plane_core::{coordinator, store, Time};
use marblecroft_protocol::servers::Server;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of consecutive inputs after each of which a process may request an immediate wake-up. A
/// process that always does so would run in a busy loop.
const MAX_IMMEDIATE_WAKES: u32 = 200;

impl Cluster {
    /// Adds an input to the inbox of a machine's process, if it is running.
    pub(super) fn enqueue(&mut self, machine: usize, input: Input) {
        let Some(running) = &mut self.machines[machine].running else { return };
        running.inbox.push_back(input);
        self.schedule_processing(machine);
    }

    /// Schedules the next input of a process for the instant from which it is not busy.
    pub(super) fn schedule_processing(&mut self, machine: usize) {
        let host = &self.machines[machine];
        let Some(running) = &host.running else { return };
        if !host.frozen {
            let (incarnation, after) = (running.incarnation, running.busy_until.saturating_sub(self.now));
            self.schedule_event(after, Event::RunNextInput { machine, incarnation });
        }
    }

    /// Passes the next input to a process that is not busy or frozen, and schedules the resulting events.
    pub(super) fn run_next_input(&mut self, machine: usize) {
        let now = self.now;
        let host = &mut self.machines[machine];
        let Some(running) = host.running.as_mut().filter(|running| running.busy_until <= now) else {
            return;
        };
        if host.frozen {
            return;
        }
        let Some(input) = running.inbox.pop_front() else { return };
        let monotonic = (now - running.started_at).mul_f64(running.clock_rate);
        let time = Time { monotonic, wall_ms: 1_700_000_000_000 + now.as_millis() as u64 };
        let (outputs, next_wake) = running.handle(time, input);
        running.immediate_wakes = if next_wake <= monotonic { running.immediate_wakes + 1 } else { 0 };
        if running.immediate_wakes > MAX_IMMEDIATE_WAKES {
            let text =
                format!("{} keeps requesting immediate wake-ups: {next_wake:?} at {monotonic:?}", host.name);
            self.checker.report(text);
            return;
        }
        let (incarnation, busy_time) = (running.incarnation, host.disk.take_write_time());
        running.busy_until = now + busy_time;
        if let Some(wake_at) = running.reset_timer(now, next_wake) {
            self.schedule_event(wake_at - now, Event::Wake { machine, incarnation });
        }
        if busy_time.is_zero() {
            self.perform_outputs(machine, incarnation, outputs);
        } else {
            self.schedule_event(busy_time, Event::PerformOutputs { machine, incarnation, outputs });
        }
        if self.machines[machine].running.as_ref().is_some_and(|running| !running.inbox.is_empty()) {
            self.schedule_processing(machine);
        }
        self.check_view(machine);
    }

    /// Performs outputs in their order, until one ends the process.
    pub(super) fn perform_outputs(&mut self, machine: usize, incarnation: u64, outputs: Vec<Output>) {
        for output in outputs {
            if self.incarnation_of(machine) != Some(incarnation) {
                return;
            }
            match output {
                Output::Coordinator(output) => self.perform_coordinator_output(machine, incarnation, output),
                Output::Store(output) => self.perform_store_output(machine, incarnation, output),
            }
        }
    }

    pub(super) fn perform_coordinator_output(
        &mut self,
        machine: usize,
        incarnation: u64,
        output: coordinator::Output,
    ) {
        use coordinator::Output as Out;
        match output {
            Out::Reply { token, reply } => self.respond(machine, token, Response::Coordinator(reply)),
            Out::ReplyToOperator { token, reply } => self.respond(machine, token, Response::Operator(reply)),
            Out::Call { call, to, request, timeout } => {
                self.call(machine, incarnation, call, to, Request::Coordinator(request), timeout);
            }
            Out::ReadServerList => self.read_server_list(machine, incarnation),
            Out::Exit => self.exit(machine),
        }
    }

    pub(super) fn perform_store_output(&mut self, machine: usize, incarnation: u64, output: store::Output) {
        use store::Output as Out;
        match output {
            Out::Reply { token, reply } => self.respond(machine, token, Response::Store(reply)),
            Out::CallStore { call, to, request, timeout } => {
                self.call(machine, incarnation, call, to, Request::Store(request), timeout);
            }
            Out::CallCoordinator { call, to, request, timeout } => {
                self.call(machine, incarnation, call, to, Request::Coordinator(request), timeout);
            }
            Out::Exit => self.exit(machine),
        }
    }

    /// Sends a response to the origin of the request that the token identifies.
    pub(super) fn respond(&mut self, machine: usize, token: Token, response: Response) {
        let origin =
            self.machines[machine].running.as_mut().and_then(|running| running.origins.remove(&token));
        match origin {
            Some(origin) => self.send_response(machine, origin, Some(response)),
            None => self.checker.report(format!(
                "{} replies to a call twice, or to an unknown call",
                self.machines[machine].name
            )),
        }
    }

    /// Calls a process on behalf of another process.
    pub(super) fn call(
        &mut self,
        machine: usize,
        incarnation: u64,
        call: u64,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) {
        let origin = Origin::Machine { machine, incarnation, call };
        match self.machine_at(to) {
            Some(to) => self.send_request(Some(machine), to, origin, request, timeout),
            None => self.schedule_event(timeout, Event::ResponseArrives { origin, response: None }),
        }
    }

    /// Reads the platform's server list, whose only server has the instant of the read as its id.
    pub(super) fn read_server_list(&mut self, machine: usize, incarnation: u64) {
        let read_at = self.now.as_millis();
        let server = Server {
            id: format!("{read_at:012}"),
            backend: "s".to_owned(),
            address: SocketAddr::from(([10, 9, 0, 1], 80)),
            zone: "a".to_owned(),
            slots: 8,
            draining: false,
            warmup_left_ms: 0,
        };
        let servers = if self.draw_message_fault() { None } else { Some(vec![server]) };
        let after = self.draw_delay() + self.draw_delay();
        self.schedule_event(after, Event::ServerList { machine, incarnation, servers });
    }
}
