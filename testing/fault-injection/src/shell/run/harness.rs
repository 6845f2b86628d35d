//! Everything that runs, and the way of a run: start, load and faults, end.

use super::measurement::{heartbeat, progress, unix_us};
use super::{RunSpec, MAX_STARTING};
use crate::deployment::{Nanos, MS};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{Event, Setup};
use crate::scenario::Scenario;
use crate::shell::cells::Cells;
use crate::shell::clients::Clients;
use crate::shell::lists::{Counts, Door, Platform};
use crate::shell::owners::{Owners, BEGIN_MOST};
use crate::shell::pay_servers::Server;
use crate::shell::process::Process;
use crate::shell::World;
use crate::stand::clients::Arrivals;
use futures_util::future::join_all;
use marblecroft_coordination::client::Client;
use marblecroft_discovery::format::State;
use std::cell::{Cell, RefCell};
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Everything that runs.
pub(super) struct Lab {
    pub(super) world: Rc<World>,
    pub(super) clients: Rc<Clients>,
    pub(super) gateways: Vec<Rc<Process>>,
    pub(super) lists: Vec<(Rc<Process>, Rc<Door>)>,
    pub(super) coordinators: Vec<(Rc<Process>, Rc<Door>)>,
    pub(super) stewards: Vec<(Rc<Process>, Rc<Door>)>,
    pub(super) cells: Rc<Cells>,
    /// Whoever sets up the fleet asks the coordination service by it.
    pub(super) asking: RefCell<Option<Client>>,
    pub(super) owners: RefCell<Option<Rc<Owners>>>,
    pub(super) platform: Option<Rc<Platform>>,
    pub(super) counts: Option<Rc<Counts>>,
    pub(super) servers: Vec<Rc<Server>>,
    /// Ports of the servers now, and when each was started, in Unix time; 0 for long ago.
    pub(super) places: Rc<RefCell<Vec<(u16, u64)>>>,
    /// Which servers have a process that renews its registration.
    pub(super) registered: RefCell<Vec<bool>>,
    pub(super) ports: Ports,
    pub(super) dir: PathBuf,
    pub(super) starts: Cell<u64>,
    pub(super) failure: RefCell<Option<RunError>>,
}

/// Where gateways find what is not a pay server.
#[derive(Clone)]
pub(super) struct Ports {
    pub(super) lists: Vec<u16>,
    pub(super) counter: Option<u16>,
}

impl Lab {
    pub(super) async fn play(self: Rc<Self>, spec: &RunSpec) -> Result<(), RunError> {
        let world = self.world.clone();
        spawn_local(heartbeat(world.clone()));
        self.begin_lists().await?;
        self.begin_coordinators().await?;
        self.begin_stewards().await?;
        let places = Rc::new(Semaphore::new(MAX_STARTING));
        let starting = (0..self.gateways.len() as u16).map(|i| {
            let (lab, places) = (self.clone(), places.clone());
            async move {
                let _place = places.acquire().await.map_err(|_| RunError::NotInTime("the run ends"))?;
                lab.start_gateway(i, true).await
            }
        });
        for started in join_all(starting).await {
            started?;
        }
        for i in 0..self.gateways.len() as u16 {
            spawn_local(self.clients.clone().follow(i));
        }
        if timeout(Duration::from_nanos(BEGIN_MOST), self.decided_first()).await.is_err() {
            return Err(RunError::NotInTime("nothing is decided in common"));
        }
        // The load begins once all are there.
        let from = world.now() + 500 * MS;
        world.record(Event::Setup(Box::new(self.setup(spec, from))));
        world.sleep_until(from).await;
        let faults: Vec<_> = (0..world.deployment.faults.len())
            .map(|number| spawn_local(self.clone().fault(number, from)))
            .collect();
        for server in self.servers.clone() {
            let lab = self.clone();
            spawn_local(async move {
                server.fell.notified().await;
                lab.leave(server.number, State::Deleted).await;
            });
        }
        spawn_local(self.clone().say_moves(from));
        let progress = spawn_local(progress(self.clients.clone(), from));
        let arrivals = Arrivals::new(&world.scenario, &world.deployment, world.seed);
        for arrival in arrivals.ok_or(RunError::NoDemand)? {
            let due = from + arrival.at;
            if due > world.now() {
                world.sleep_until(due).await;
            }
            spawn_local(self.clients.clone().ask(arrival, world.now().saturating_sub(due)));
            if let Some(failure) = self.failure.borrow_mut().take() {
                return Err(failure);
            }
        }
        world.sleep_until(from + world.scenario.load.duration_ms * MS).await;
        let rest = Duration::from_millis(world.scenario.site.deadline_ms) + Duration::from_secs(30);
        let ended = self.clients.all_ended(rest).await;
        progress.abort();
        faults.iter().for_each(|fault| fault.abort());
        self.note_cells();
        match (self.failure.borrow_mut().take(), ended) {
            (Some(failure), _) => Err(failure),
            (None, false) => Err(RunError::NotInTime("requests are open long after their time")),
            (None, true) => Ok(()),
        }
    }

    pub(super) fn setup(&self, spec: &RunSpec, load_from: Nanos) -> Setup {
        let Scenario { site, load, fleet, .. } = &self.world.scenario;
        let deployment = &self.world.deployment;
        Setup {
            scenario: spec.name.clone(),
            seed: spec.seed,
            text: spec.text.clone(),
            latency_target: site.aim_ms * MS,
            deadline: site.deadline_ms * MS,
            duration: load.duration_ms * MS,
            gateways: fleet.gateways as u16,
            quotas: deployment.quotas.clone(),
            plans: deployment.customers.iter().map(|customer| customer.plan as u8).collect(),
            list_processes: fleet.list_service as u16,
            coordinators: fleet.coordinators as u16,
            zones: fleet.zones.clone(),
            controllers: fleet.controllers as u16,
            shares: self.world.scenario.tenants.is_some(),
            demand_shift_at: self
                .world
                .scenario
                .tenants
                .as_ref()
                .and_then(|t| t.shift_at_ms)
                .map(|ms| ms * MS),
            shard_map: self.world.scenario.shards.is_some(),
            fencing: fleet.fencing,
            cells: deployment.servers.iter().map(|server| server.cell as u16).collect(),
            firms: deployment.customers.iter().map(|customer| customer.id).collect(),
            faults: deployment.faults.clone(),
            load_from,
            unix_us: unix_us().saturating_sub(self.world.now() / 1000),
        }
    }

    /// A failure of the lab ends the run.
    pub(super) fn note(&self, done: Result<(), RunError>) {
        if let Err(e) = done {
            self.failure.borrow_mut().get_or_insert(e);
        }
    }

    pub(super) fn process(&self, end: End) -> Option<Rc<Process>> {
        match end {
            End::Gateway(i) => self.gateways.get(usize::from(i)).cloned(),
            End::ListService(i) => self.lists.get(usize::from(i)).map(|(process, _)| process.clone()),
            End::Coordinator(i) => self.coordinators.get(usize::from(i)).map(|(process, _)| process.clone()),
            End::Controller(i) => self.stewards.get(usize::from(i)).map(|(process, _)| process.clone()),
            _ => None,
        }
    }

    /// The doors of a stand-in that is no pay server.
    pub(super) fn doors(&self, end: End) -> Vec<Rc<Door>> {
        match end {
            End::Counter => self.counts.iter().map(|counts| counts.door.clone()).collect(),
            End::ListService(_) => self.platform.iter().map(|platform| platform.door.clone()).collect(),
            End::Cell(i) => self.cells.doors.get(usize::from(i)).cloned().into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Ends all processes.
    pub(super) async fn end(&self) {
        let all = self.gateways.iter().chain(
            self.lists.iter().chain(&self.coordinators).chain(&self.stewards).map(|(process, _)| process),
        );
        join_all(all.filter(|process| process.lives()).map(|process| process.kill())).await;
        // Files of the processes; logs and the history stay.
        drop(fs::remove_dir_all(self.dir.join("tmp")));
    }
}
