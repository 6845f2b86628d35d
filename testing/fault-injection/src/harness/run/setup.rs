//! Sets up the stand-ins and the processes of a run, runs the scenario, and ends the processes.

use super::measurement::{children_cpu, own_cpu};
use super::running_fleet::{Ports, RunningFleet};
use super::{RunSpec, FLEET};
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::cells::Cells;
use crate::harness::clients::{Clients, RequestTarget};
use crate::harness::discovery::{CounterStandIn, DiscoveryStandIn, LinkListener};
use crate::harness::pay_servers::{Metering, Server};
use crate::harness::process::Process;
use crate::harness::RunContext;
use crate::history::Event;
use rustix::time::ClockId;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

pub(super) async fn set_up_and_run(context: &Rc<RunContext>, spec: &RunSpec) -> Result<(), RunError> {
    let scenario = &context.scenario;
    let metering = Metering::new(context);
    let cells = Cells::new(context, FLEET).map_err(RunError::Listen)?;
    let servers: Vec<Rc<Server>> =
        (0..scenario.fleet.pay_servers as u16).map(|i| Server::new(context, &metering, &cells, i)).collect();
    let mut server_instances = Vec::new();
    for server in &servers {
        server_instances.push((server.start(false).map_err(RunError::Listen)?, 0));
    }
    let counter = if scenario.fleet.counter {
        Some(CounterStandIn::new(context).map_err(RunError::Listen)?)
    } else {
        None
    };
    let program = |name: &str| -> Result<PathBuf, RunError> {
        let path = spec.harness.with_file_name(name);
        match path.is_file() {
            true => Ok(path),
            false => Err(RunError::ProgramMissing(path)),
        }
    };
    let log = |endpoint: Endpoint| spec.dir.join("logs").join(format!("{endpoint}.log"));
    let processes = |count: u32, endpoint_of: fn(u16) -> Endpoint, name: &str| {
        let new_process = |number| {
            let endpoint = endpoint_of(number);
            let process =
                Process::new(context, endpoint, spec.harness.clone(), program(name)?, log(endpoint));
            Ok((process, LinkListener::open(context, endpoint).map_err(RunError::Listen)?))
        };
        (0..count as u16).map(new_process).collect::<Result<Vec<_>, RunError>>()
    };
    let discovery_processes =
        processes(scenario.fleet.discovery_processes, Endpoint::DiscoveryService, "marblecroft-discovery")?;
    let coordinators =
        processes(scenario.fleet.coordinators, Endpoint::Coordinator, "marblecroft-coordination-server")?;
    let controllers = processes(scenario.fleet.controllers, Endpoint::Controller, "marblecroft-controller")?;
    let discovery = if discovery_processes.is_empty() {
        Some(DiscoveryStandIn::new(context).map_err(RunError::Listen)?)
    } else {
        None
    };
    let gateway = match &scenario.fleet.program {
        Some(path) if path.is_file() => path.clone(),
        Some(path) => return Err(RunError::NamedProgramMissing(path.clone())),
        None => program("marblecroft-quota-gateway")?,
    };
    let gateways: Vec<Rc<Process>> = (0..scenario.fleet.gateways as u16)
        .map(Endpoint::Gateway)
        .map(|endpoint| Process::new(context, endpoint, spec.harness.clone(), gateway.clone(), log(endpoint)))
        .collect();
    let ports = Ports {
        discovery: match &discovery {
            Some(discovery) => vec![discovery.listener.port],
            None => discovery_processes.iter().map(|(_, listener)| listener.port).collect(),
        },
        counter: counter.as_ref().map(|counter| counter.listener.port),
    };
    let server_instances = Rc::new(RefCell::new(server_instances));
    let mut targets: Vec<RequestTarget> = gateways.iter().cloned().map(RequestTarget::Gateway).collect();
    if targets.is_empty() {
        targets = (0..servers.len() as u16)
            .map(|i| RequestTarget::PayServer(i, server_instances.clone()))
            .collect();
    }
    let fleet = Rc::new(RunningFleet {
        context: context.clone(),
        clients: Clients::new(context, targets),
        gateways,
        discovery_processes,
        coordinators,
        controllers,
        cells,
        coordination_client: RefCell::new(None),
        candidates: RefCell::new(None),
        discovery,
        counter,
        registered: RefCell::new(vec![true; servers.len()]),
        servers,
        server_instances,
        ports,
        dir: spec.dir.clone(),
        starts: Cell::new(0),
        failure: RefCell::new(None),
    });
    let result = fleet.clone().run_scenario(spec).await;
    fleet.kill_processes().await;
    context
        .record(Event::Finished { harness_cpu: own_cpu(ClockId::ProcessCPUTime), fleet_cpu: children_cpu() });
    context.flush()?;
    result
}
