//! Injection of faults into processes, stand-ins and links, and recovery from them.

use super::running_fleet::RunningFleet;
use super::DRAIN_TIME;
use crate::deployment::{random_stream, DrawnFault, Nanos, RandomStream};
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::discovery::discovery_delay;
use crate::harness::process::Process;
use crate::history::{Event, ProcessChange};
use crate::scenario::{FaultKind, LEADER, ROLES};
use futures_util::future::join_all;
use marblecroft_discovery::format::State;
use std::fs;
use std::rc::Rc;
use tokio::task::spawn_local;

impl RunningFleet {
    /// Runs one fault, from its injection until the recovery.
    pub(super) async fn run_fault(self: Rc<Self>, number: usize, load_from: Nanos) {
        let mut fault = self.context.deployment.faults[number].clone();
        self.context.sleep_until(load_from + fault.at).await;
        self.context.record(Event::FaultBegan { fault: number as u16 });
        tracing::info!(number, kind = ?fault.kind, victims = fault.victims.len(), "a fault begins");
        if let Some(name) = &fault.owner {
            fault.victims = self.resolve_owner(name).await.into_iter().collect();
        }
        if let Some(name) = &fault.from_owner {
            fault.from = self.resolve_owner(name).await.into_iter().collect();
            if fault.from.is_empty() {
                // Without an owner there is no link to cut.
                fault.victims.clear();
            }
        }
        self.inject(number, &fault);
        if let Some(until) = fault.until {
            self.context.sleep_until(load_from + until).await;
            self.end_fault(number, &fault).await;
        }
        self.context.record(Event::FaultEnded { fault: number as u16 });
        tracing::info!(number, kind = ?fault.kind, "a fault has ended");
    }

    /// Returns the current owner of a lock or a role, or the leader of the coordinators.
    pub(super) async fn resolve_owner(&self, name: &str) -> Option<Endpoint> {
        let owner = match name {
            LEADER => self.leader().await,
            name if ROLES.contains(&name) => self.role_owner(name).await,
            name => self.candidates.borrow().as_ref().and_then(|candidates| candidates.lock_owner(name)),
        };
        tracing::info!(name, owner = owner.map(tracing::field::display), "resolved the owner");
        owner
    }

    /// Injects a fault into all victims at once; steps that take time run in tasks of their own.
    pub(super) fn inject(self: &Rc<Self>, number: usize, fault: &DrawnFault) {
        if fault.kind.of_links() {
            self.context.change_link_faults(|link_faults| link_faults.begin(number, fault));
            self.block_cut_callers();
        }
        if fault.kind.of_links() {
            return;
        }
        for &victim in &fault.victims {
            match (victim, self.process(victim)) {
                (Endpoint::PayServer(server), _) => self.fault_pay_server(server, fault),
                (_, Some(process)) => self.fault_process(&process, fault.kind),
                (_, None) => self.fault_stand_in(victim, fault.kind),
            }
        }
    }

    fn fault_pay_server(self: &Rc<Self>, number: u16, fault: &DrawnFault) {
        let server = &self.servers[usize::from(number)];
        match fault.kind {
            FaultKind::Stop => server.set_suspended(true),
            FaultKind::Term => {
                server.drain();
                spawn_local(self.clone().remove_after_drain(number, fault.until.is_none()));
            }
            _ => {
                server.kill();
                self.context.record(Event::ProcessChanged {
                    endpoint: Endpoint::PayServer(number),
                    change: ProcessChange::Ended,
                });
                // Discovery does not show the failure of a server that is restarted before the failure is
                // detected.
                self.registered.borrow_mut()[usize::from(number)] = false;
                let noticed_after = discovery_delay(&self.context, false);
                if fault.until.is_none_or(|until| until > fault.at + noticed_after) {
                    let fleet = self.clone();
                    spawn_local(async move { fleet.remove_from_discovery(number, State::Deleted).await });
                }
            }
        }
    }

    async fn remove_after_drain(self: Rc<Self>, number: u16, permanent: bool) {
        self.remove_from_discovery(number, State::Draining).await;
        if permanent {
            self.context.sleep_until(self.context.now() + DRAIN_TIME).await;
            self.servers[usize::from(number)].kill();
            self.remove_from_discovery(number, State::Deleted).await;
        }
    }

    fn fault_stand_in(&self, victim: Endpoint, kind: FaultKind) {
        match (kind, victim) {
            (FaultKind::Wipe, Endpoint::Counter) => {
                let mut rng = random_stream(self.context.seed, RandomStream::Counter);
                self.counter.iter().for_each(|counter| counter.core.borrow_mut().lose_share(1.0, &mut rng));
            }
            (FaultKind::Stop, _) => {
                self.context.change_link_faults(|link_faults| link_faults.set_suspended(victim, true))
            }
            (kind, _) => {
                self.listeners(victim).iter().for_each(|listener| listener.set_accepting(false));
                if let (FaultKind::Wipe, Endpoint::Cell(number)) = (kind, victim) {
                    self.cells.wipe(number);
                }
            }
        }
    }

    fn fault_process(&self, process: &Rc<Process>, kind: FaultKind) {
        match kind {
            FaultKind::Stop => process.set_suspended(true),
            FaultKind::Term => process.terminate(),
            FaultKind::FullDisk => {
                process.expect_end(matches!(process.endpoint, Endpoint::Coordinator(_)));
                let result = process.fill_disk(true);
                self.record_failure(result.map_err(|error| RunError::File(self.dir.clone(), error)));
            }
            _ => {
                let process = process.clone();
                spawn_local(async move { process.kill().await });
            }
        }
    }

    pub(super) async fn end_fault(self: &Rc<Self>, number: usize, fault: &DrawnFault) {
        if fault.kind.of_links() {
            self.context.change_link_faults(|link_faults| link_faults.end(number));
            self.block_cut_callers();
        }
        if fault.kind.of_links() {
            return;
        }
        let recoveries = fault.victims.iter().map(|&victim| async move {
            match (victim, self.process(victim)) {
                (Endpoint::PayServer(server), _) => {
                    self.recover_pay_server(server, fault.kind);
                    Ok(())
                }
                (_, Some(process)) => self.recover_process(&process, fault.kind).await,
                (_, None) => {
                    self.listeners(victim).iter().for_each(|listener| listener.set_accepting(true));
                    self.context.change_link_faults(|link_faults| link_faults.set_suspended(victim, false));
                    Ok(())
                }
            }
        });
        for result in join_all(recoveries).await {
            self.record_failure(result);
        }
    }

    fn recover_pay_server(self: &Rc<Self>, number: u16, kind: FaultKind) {
        let server = &self.servers[usize::from(number)];
        if kind == FaultKind::Stop {
            server.set_suspended(false);
            return;
        }
        server.kill();
        // Runs in a task, so that the other victims recover meanwhile.
        let fleet = self.clone();
        spawn_local(async move { fleet.record_failure(fleet.restart_pay_server(number).await) });
    }

    async fn recover_process(&self, process: &Rc<Process>, kind: FaultKind) -> Result<(), RunError> {
        match kind {
            FaultKind::Stop => {
                process.set_suspended(false);
                Ok(())
            }
            // A coordinator that cannot write to its disk exits; its supervisor restarts it.
            FaultKind::FullDisk if !process.is_running() => self.restart(process.endpoint, false).await,
            FaultKind::FullDisk => {
                process.expect_end(false);
                let result = process.fill_disk(false);
                result.map_err(|error| RunError::File(self.dir.clone(), error))
            }
            kind => {
                process.wait_ended().await;
                self.restart(process.endpoint, kind == FaultKind::Wipe).await
            }
        }
    }

    pub(super) async fn restart(&self, victim: Endpoint, wiped: bool) -> Result<(), RunError> {
        if wiped {
            let folder = self.dir.join("tmp").join(victim.to_string());
            fs::remove_dir_all(&folder).map_err(|error| RunError::File(folder, error))?;
        }
        match victim {
            Endpoint::Gateway(i) => self.start_gateway(i, !wiped).await,
            Endpoint::DiscoveryService(i) => self.start_discovery_process(i).await,
            Endpoint::Controller(i) => self.start_controller(i).await,
            Endpoint::Coordinator(i) => {
                self.start_coordinator(i).await?;
                if wiped {
                    self.replace_coordinator(i).await?;
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(super) fn block_cut_callers(&self) {
        self.servers.iter().for_each(|server| server.block_cut_callers());
        let listeners = self.discovery_processes.iter().chain(&self.coordinators).chain(&self.controllers);
        listeners.for_each(|(_, listener)| listener.block_cut_callers());
        self.counter.iter().for_each(|counter| counter.listener.block_cut_callers());
        self.discovery.iter().for_each(|discovery| discovery.listener.block_cut_callers());
        self.cells.listeners.iter().for_each(|listener| listener.block_cut_callers());
    }
}
