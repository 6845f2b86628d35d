//! Faults: their beginning and their end, at each kind of process and stand-in.

use super::harness::Lab;
use super::DRAIN_TIME;
use crate::deployment::{random_stream, DrawnFault, Nanos, RandomStream};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{Event, ProcessChange};
use crate::scenario::{FaultKind, LEADER, ROLES};
use crate::shell::lists::lateness;
use crate::shell::process::Process;
use futures_util::future::join_all;
use marblecroft_discovery::format::State;
use std::fs;
use std::rc::Rc;
use tokio::task::spawn_local;

impl Lab {
    /// One fault, from its begin until it is undone.
    pub(super) async fn fault(self: Rc<Self>, number: usize, load_from: Nanos) {
        let mut fault = self.world.deployment.faults[number].clone();
        self.world.sleep_until(load_from + fault.at).await;
        self.world.record(Event::FaultBegan { fault: number as u16 });
        tracing::info!(number, kind = ?fault.kind, victims = fault.victims.len(), "a fault begins");
        if let Some(name) = &fault.owner {
            fault.victims = self.owner(name).await.into_iter().collect();
        }
        if let Some(name) = &fault.from_owner {
            fault.from = self.owner(name).await.into_iter().collect();
            if fault.from.is_empty() {
                // Without anybody there is nobody to be cut from.
                fault.victims.clear();
            }
        }
        self.begin(number, &fault);
        if let Some(until) = fault.until {
            self.world.sleep_until(load_from + until).await;
            self.undo(number, &fault).await;
        }
        self.world.record(Event::FaultEnded { fault: number as u16 });
        tracing::info!(number, kind = ?fault.kind, "a fault is over");
    }

    /// Whoever owns what this names, now.
    pub(super) async fn owner(&self, name: &str) -> Option<End> {
        let owner = match name {
            LEADER => self.leader().await,
            name if ROLES.contains(&name) => self.role_owner(name).await,
            name => self.owners.borrow().as_ref().and_then(|owners| owners.owner(name)),
        };
        tracing::info!(name, owner = owner.map(tracing::field::display), "the owner");
        owner
    }

    /// Strikes all victims at once; what takes time goes on by itself.
    pub(super) fn begin(self: &Rc<Self>, number: usize, fault: &DrawnFault) {
        if fault.kind.of_links() {
            self.world.change_rules(|rules| rules.begin(number, fault));
            self.shut_out();
        }
        if fault.kind.of_links() {
            return;
        }
        for &victim in &fault.victims {
            match (victim, self.process(victim)) {
                (End::PayServer(server), _) => self.strike_pay_server(server, fault),
                (_, Some(process)) => self.strike_process(&process, fault.kind),
                (_, None) => self.strike_stand_in(victim, fault.kind),
            }
        }
    }

    fn strike_pay_server(self: &Rc<Self>, number: u16, fault: &DrawnFault) {
        let server = &self.servers[usize::from(number)];
        match fault.kind {
            FaultKind::Stop => server.pause(true),
            FaultKind::Term => {
                server.drain();
                spawn_local(self.clone().leave_after_drain(number, fault.until.is_none()));
            }
            _ => {
                server.kill();
                self.world.record(Event::ProcessChanged {
                    end: End::PayServer(number),
                    change: ProcessChange::Ended,
                });
                // One that returns soon is gone from no list.
                self.registered.borrow_mut()[usize::from(number)] = false;
                let noticed_after = lateness(&self.world, false);
                if fault.until.is_none_or(|until| until > fault.at + noticed_after) {
                    let lab = self.clone();
                    spawn_local(async move { lab.leave(number, State::Deleted).await });
                }
            }
        }
    }

    async fn leave_after_drain(self: Rc<Self>, number: u16, for_good: bool) {
        self.leave(number, State::Draining).await;
        if for_good {
            self.world.sleep_until(self.world.now() + DRAIN_TIME).await;
            self.servers[usize::from(number)].kill();
            self.leave(number, State::Deleted).await;
        }
    }

    fn strike_stand_in(&self, victim: End, kind: FaultKind) {
        match (kind, victim) {
            (FaultKind::Wipe, End::Counter) => {
                let mut rng = random_stream(self.world.seed, RandomStream::Counter);
                self.counts.iter().for_each(|counts| counts.core.borrow_mut().lose(1.0, &mut rng));
            }
            (FaultKind::Stop, _) => self.world.change_rules(|rules| rules.set_suspended(victim, true)),
            (kind, _) => {
                self.doors(victim).iter().for_each(|door| door.set(false));
                if let (FaultKind::Wipe, End::Cell(number)) = (kind, victim) {
                    self.cells.wipe(number);
                }
            }
        }
    }

    fn strike_process(&self, process: &Rc<Process>, kind: FaultKind) {
        match kind {
            FaultKind::Stop => process.pause(true),
            FaultKind::Term => process.terminate(),
            FaultKind::FullDisk => {
                process.expect_end(matches!(process.end, End::Coordinator(_)));
                let filled = process.fill_disk(true);
                self.note(filled.map_err(|error| RunError::File(self.dir.clone(), error)));
            }
            _ => {
                let process = process.clone();
                spawn_local(async move { process.kill().await });
            }
        }
    }

    pub(super) async fn undo(self: &Rc<Self>, number: usize, fault: &DrawnFault) {
        if fault.kind.of_links() {
            self.world.change_rules(|rules| rules.end(number));
            self.shut_out();
        }
        if fault.kind.of_links() {
            return;
        }
        let undone = fault.victims.iter().map(|&victim| async move {
            match (victim, self.process(victim)) {
                (End::PayServer(server), _) => {
                    self.repair_pay_server(server, fault.kind);
                    Ok(())
                }
                (_, Some(process)) => self.repair_process(&process, fault.kind).await,
                (_, None) => {
                    self.doors(victim).iter().for_each(|door| door.set(true));
                    self.world.change_rules(|rules| rules.set_suspended(victim, false));
                    Ok(())
                }
            }
        });
        for done in join_all(undone).await {
            self.note(done);
        }
    }

    fn repair_pay_server(self: &Rc<Self>, number: u16, kind: FaultKind) {
        let server = &self.servers[usize::from(number)];
        if kind == FaultKind::Stop {
            server.pause(false);
            return;
        }
        server.kill();
        // The other victims are repaired meanwhile.
        let lab = self.clone();
        spawn_local(async move { lab.note(lab.return_server(number).await) });
    }

    async fn repair_process(&self, process: &Rc<Process>, kind: FaultKind) -> Result<(), RunError> {
        match kind {
            FaultKind::Stop => {
                process.pause(false);
                Ok(())
            }
            // A coordinator that could not write has ended, as it must; whoever watches over it starts it again.
            FaultKind::FullDisk if !process.lives() => self.start_again(process.end, false).await,
            FaultKind::FullDisk => {
                process.expect_end(false);
                let emptied = process.fill_disk(false);
                emptied.map_err(|error| RunError::File(self.dir.clone(), error))
            }
            kind => {
                process.gone().await;
                self.start_again(process.end, kind == FaultKind::Wipe).await
            }
        }
    }

    pub(super) async fn start_again(&self, victim: End, wiped: bool) -> Result<(), RunError> {
        if wiped {
            let folder = self.dir.join("tmp").join(victim.to_string());
            fs::remove_dir_all(&folder).map_err(|error| RunError::File(folder, error))?;
        }
        match victim {
            End::Gateway(i) => self.start_gateway(i, !wiped).await,
            End::ListService(i) => self.start_list(i).await,
            End::Controller(i) => self.start_steward(i).await,
            End::Coordinator(i) => {
                self.start_coordinator(i).await?;
                if wiped {
                    self.replace_coordinator(i).await?;
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(super) fn shut_out(&self) {
        self.servers.iter().for_each(|server| server.shut_out());
        let doors = self.lists.iter().chain(&self.coordinators).chain(&self.stewards);
        doors.for_each(|(_, door)| door.shut_out());
        self.counts.iter().for_each(|counts| counts.door.shut_out());
        self.platform.iter().for_each(|platform| platform.door.shut_out());
        self.cells.doors.iter().for_each(|door| door.shut_out());
    }
}
