//! The running fleet, and the sequence of a run: start, load with faults, end.

use super::measurement::{monitor_harness, progress, run_start_unix_us, unix_us};
use super::{RunSpec, MAX_STARTING};
use crate::deployment::{Nanos, MS};
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::candidates::{Candidates, CLUSTER_START_TIMEOUT};
use crate::harness::cells::Cells;
use crate::harness::clients::Clients;
use crate::harness::discovery::{CounterStandIn, DiscoveryStandIn, LinkListener};
use crate::harness::pay_servers::Server;
use crate::harness::process::Process;
use crate::harness::RunContext;
use crate::history::{Event, Setup};
use crate::scenario::Scenario;
use crate::stand_ins::clients::Arrivals;
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

/// The processes and stand-ins of a run.
pub(super) struct RunningFleet {
    pub(super) context: Rc<RunContext>,
    pub(super) clients: Rc<Clients>,
    pub(super) gateways: Vec<Rc<Process>>,
    pub(super) discovery_processes: Vec<(Rc<Process>, Rc<LinkListener>)>,
    pub(super) coordinators: Vec<(Rc<Process>, Rc<LinkListener>)>,
    pub(super) controllers: Vec<(Rc<Process>, Rc<LinkListener>)>,
    pub(super) cells: Rc<Cells>,
    /// The harness' own client of the coordination service.
    pub(super) coordination_client: RefCell<Option<Client>>,
    pub(super) candidates: RefCell<Option<Rc<Candidates>>>,
    pub(super) discovery: Option<Rc<DiscoveryStandIn>>,
    pub(super) counter: Option<Rc<CounterStandIn>>,
    pub(super) servers: Vec<Rc<Server>>,
    /// Current port of each pay server, and its start in Unix milliseconds; 0 for one that started long ago.
    pub(super) server_instances: Rc<RefCell<Vec<(u16, u64)>>>,
    /// Whether each pay server renews its registration.
    pub(super) registered: RefCell<Vec<bool>>,
    pub(super) ports: Ports,
    pub(super) dir: PathBuf,
    pub(super) starts: Cell<u64>,
    pub(super) failure: RefCell<Option<RunError>>,
}

/// Ports of the discovery service and the counter, for gateways.
#[derive(Clone)]
pub(super) struct Ports {
    pub(super) discovery: Vec<u16>,
    pub(super) counter: Option<u16>,
}

impl RunningFleet {
    pub(super) async fn run_scenario(self: Rc<Self>, spec: &RunSpec) -> Result<(), RunError> {
        let context = self.context.clone();
        spawn_local(monitor_harness(context.clone()));
        self.start_discovery_service().await?;
        self.start_coordinators().await?;
        self.start_controllers().await?;
        let permits = Rc::new(Semaphore::new(MAX_STARTING));
        let starting = (0..self.gateways.len() as u16).map(|i| {
            let (fleet, permits) = (self.clone(), permits.clone());
            async move {
                let _permit =
                    permits.acquire().await.map_err(|_| RunError::NotInTime("the run has ended"))?;
                fleet.start_gateway(i, true).await
            }
        });
        for started in join_all(starting).await {
            started?;
        }
        for i in 0..self.gateways.len() as u16 {
            spawn_local(self.clients.clone().track_health(i));
        }
        if timeout(Duration::from_nanos(CLUSTER_START_TIMEOUT), self.wait_for_first_decisions())
            .await
            .is_err()
        {
            return Err(RunError::NotInTime("the controllers published no decisions in time"));
        }
        // The load starts once all processes run.
        let load_from = context.now() + 500 * MS;
        context.record(Event::Setup(Box::new(self.setup(spec, load_from))));
        context.sleep_until(load_from).await;
        let faults: Vec<_> = (0..context.deployment.faults.len())
            .map(|number| spawn_local(self.clone().run_fault(number, load_from)))
            .collect();
        for server in self.servers.clone() {
            let fleet = self.clone();
            spawn_local(async move {
                server.overload_crash.notified().await;
                fleet.remove_from_discovery(server.number, State::Deleted).await;
            });
        }
        spawn_local(self.clone().send_shard_moves(load_from));
        let progress = spawn_local(progress(self.clients.clone(), load_from));
        let arrivals = Arrivals::new(&context.scenario, &context.deployment, context.seed);
        for arrival in arrivals.ok_or(RunError::NoDemand)? {
            let due = load_from + arrival.at;
            if due > context.now() {
                context.sleep_until(due).await;
            }
            spawn_local(self.clients.clone().run_request(arrival, context.now().saturating_sub(due)));
            if let Some(failure) = self.failure.borrow_mut().take() {
                return Err(failure);
            }
        }
        context.sleep_until(load_from + context.scenario.load.duration_ms * MS).await;
        let rest = Duration::from_millis(context.scenario.site.deadline_ms) + Duration::from_secs(30);
        let ended = self.clients.wait_all_ended(rest).await;
        progress.abort();
        faults.iter().for_each(|fault| fault.abort());
        self.record_write_locations();
        match (self.failure.borrow_mut().take(), ended) {
            (Some(failure), _) => Err(failure),
            (None, false) => Err(RunError::NotInTime("requests are still open 30 s after their deadline")),
            (None, true) => Ok(()),
        }
    }

    pub(super) fn setup(&self, spec: &RunSpec, load_from: Nanos) -> Setup {
        let Scenario { site, load, fleet, .. } = &self.context.scenario;
        let deployment = &self.context.deployment;
        Setup {
            scenario: spec.name.clone(),
            seed: spec.seed,
            text: spec.text.clone(),
            latency_target: site.latency_target_ms * MS,
            deadline: site.deadline_ms * MS,
            duration: load.duration_ms * MS,
            gateways: fleet.gateways as u16,
            quotas: deployment.quotas.clone(),
            plans: deployment.customers.iter().map(|customer| customer.plan as u8).collect(),
            discovery_processes: fleet.discovery_processes as u16,
            coordinators: fleet.coordinators as u16,
            zones: fleet.zones.clone(),
            controllers: fleet.controllers as u16,
            shares: self.context.scenario.tenants.is_some(),
            demand_shift_at: self
                .context
                .scenario
                .tenants
                .as_ref()
                .and_then(|t| t.shift_at_ms)
                .map(|ms| ms * MS),
            shard_map: self.context.scenario.shards.is_some(),
            fencing: fleet.fencing,
            cells: deployment.servers.iter().map(|server| server.cell as u16).collect(),
            firms: deployment.customers.iter().map(|customer| customer.id).collect(),
            faults: deployment.faults.clone(),
            load_from,
            unix_us: run_start_unix_us(unix_us, || self.context.now()),
        }
    }

    /// Records the first failure of the harness, which ends the run.
    pub(super) fn record_failure(&self, result: Result<(), RunError>) {
        if let Err(e) = result {
            self.failure.borrow_mut().get_or_insert(e);
        }
    }

    pub(super) fn process(&self, endpoint: Endpoint) -> Option<Rc<Process>> {
        match endpoint {
            Endpoint::Gateway(i) => self.gateways.get(usize::from(i)).cloned(),
            Endpoint::DiscoveryService(i) => {
                self.discovery_processes.get(usize::from(i)).map(|(process, _)| process.clone())
            }
            Endpoint::Coordinator(i) => {
                self.coordinators.get(usize::from(i)).map(|(process, _)| process.clone())
            }
            Endpoint::Controller(i) => {
                self.controllers.get(usize::from(i)).map(|(process, _)| process.clone())
            }
            _ => None,
        }
    }

    /// Returns the listeners of a stand-in other than a pay server.
    pub(super) fn listeners(&self, endpoint: Endpoint) -> Vec<Rc<LinkListener>> {
        match endpoint {
            Endpoint::Counter => self.counter.iter().map(|counter| counter.listener.clone()).collect(),
            Endpoint::DiscoveryService(_) => {
                self.discovery.iter().map(|discovery| discovery.listener.clone()).collect()
            }
            Endpoint::Cell(i) => self.cells.listeners.get(usize::from(i)).cloned().into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Kills all processes.
    pub(super) async fn kill_processes(&self) {
        let all = self.gateways.iter().chain(
            self.discovery_processes
                .iter()
                .chain(&self.coordinators)
                .chain(&self.controllers)
                .map(|(process, _)| process),
        );
        join_all(all.filter(|process| process.is_running()).map(|process| process.kill())).await;
        // Removes the files of the processes, but not the logs and the history.
        drop(fs::remove_dir_all(self.dir.join("tmp")));
    }
}
