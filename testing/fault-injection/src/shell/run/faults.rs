//! Faults: their beginning and their end, at each kind of process and stand-in.

use super::harness::Lab;
use super::DRAIN_TIME;
use crate::deployment::{Drawn, Nanos};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{Event, Life};
use crate::scenario::{FaultKind, LEADER, ROLES};
use crate::shell::lists::lateness;
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
        self.world.record(Event::FaultOver { fault: number as u16 });
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
    pub(super) fn begin(self: &Rc<Self>, number: usize, fault: &Drawn) {
        if fault.kind.of_links() {
            self.world.change_rules(|rules| rules.begin(number, fault));
            self.shut_out();
        }
        for &victim in &fault.victims {
            let process = self.process(victim);
            match (fault.kind, victim) {
                (kind, _) if kind.of_links() => {}
                (FaultKind::Stop, End::PayServer(i)) => self.servers[usize::from(i)].pause(true),
                (FaultKind::Term, End::PayServer(i)) => {
                    self.servers[usize::from(i)].drain();
                    let (lab, for_good) = (self.clone(), fault.until.is_none());
                    spawn_local(async move {
                        lab.leave(i, State::Draining).await;
                        if for_good {
                            lab.world.sleep_until(lab.world.now() + DRAIN_TIME).await;
                            lab.servers[usize::from(i)].kill();
                            lab.leave(i, State::Deleted).await;
                        }
                    });
                }
                (_, End::PayServer(i)) => {
                    self.servers[usize::from(i)].kill();
                    self.world.record(Event::Lived { end: victim, life: Life::Ended });
                    // One that returns soon is gone from no list.
                    self.registered.borrow_mut()[usize::from(i)] = false;
                    let soon = lateness(&self.world, false);
                    if fault.until.is_none_or(|until| until > fault.at + soon) {
                        let lab = self.clone();
                        spawn_local(async move { lab.leave(i, State::Deleted).await });
                    }
                }
                (FaultKind::Wipe, End::Counter) => {
                    let mut rng =
                        crate::deployment::chance(self.world.seed, crate::deployment::Stream::Counter);
                    self.counts.iter().for_each(|counts| counts.core.borrow_mut().lose(1.0, &mut rng));
                }
                (FaultKind::Stop, End::Counter | End::ListService(_) | End::Candidate(_) | End::Cell(_))
                    if process.is_none() =>
                {
                    self.world.change_rules(|rules| rules.stand_still(victim, true));
                }
                (kind, End::Counter | End::ListService(_) | End::Cell(_)) if process.is_none() => {
                    self.doors(victim).iter().for_each(|door| door.set(false));
                    if let (FaultKind::Wipe, End::Cell(i)) = (kind, victim) {
                        self.cells.wipe(i);
                    }
                }
                (kind, _) => {
                    let Some(process) = process else { continue };
                    match kind {
                        FaultKind::Stop => process.pause(true),
                        FaultKind::Term => process.terminate(),
                        FaultKind::FullDisk => {
                            process.expect_end(matches!(victim, End::Coordinator(_)));
                            let filled = process.fill_disk(true);
                            self.note(filled.map_err(|error| RunError::File(self.dir.clone(), error)));
                        }
                        _ => drop(spawn_local(async move { process.kill().await })),
                    }
                }
            }
        }
    }

    pub(super) async fn undo(self: &Rc<Self>, number: usize, fault: &Drawn) {
        if fault.kind.of_links() {
            self.world.change_rules(|rules| rules.end(number));
            self.shut_out();
        }
        let undone = fault.victims.iter().map(|&victim| async move {
            let process = self.process(victim);
            match (fault.kind, victim) {
                (kind, _) if kind.of_links() => Ok(()),
                (FaultKind::Stop, End::PayServer(i)) => {
                    self.servers[usize::from(i)].pause(false);
                    Ok(())
                }
                (_, End::PayServer(i)) => {
                    self.servers[usize::from(i)].kill();
                    // Others go on meanwhile.
                    let lab = self.clone();
                    spawn_local(async move { lab.note(lab.return_server(i).await) });
                    Ok(())
                }
                (_, End::Counter | End::ListService(_) | End::Candidate(_) | End::Cell(_))
                    if process.is_none() =>
                {
                    self.doors(victim).iter().for_each(|door| door.set(true));
                    self.world.change_rules(|rules| rules.stand_still(victim, false));
                    Ok(())
                }
                (kind, _) => {
                    let Some(process) = process else { return Ok(()) };
                    match kind {
                        FaultKind::Stop => {
                            process.pause(false);
                            Ok(())
                        }
                        // A coordinator that could not write has ended, as it must; whoever watches over it starts it again.
                        FaultKind::FullDisk if !process.lives() => self.start_again(victim, false).await,
                        FaultKind::FullDisk => {
                            process.expect_end(false);
                            let emptied = process.fill_disk(false);
                            emptied.map_err(|error| RunError::File(self.dir.clone(), error))
                        }
                        kind => {
                            process.gone().await;
                            self.start_again(victim, kind == FaultKind::Wipe).await
                        }
                    }
                }
            }
        });
        for done in join_all(undone).await {
            self.note(done);
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
            End::Steward(i) => self.start_steward(i).await,
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
