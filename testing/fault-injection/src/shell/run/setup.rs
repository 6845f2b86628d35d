//! Sets up the stand-ins and the processes of a run, plays it, and ends everything.

use super::harness::{Lab, Ports};
use super::measurement::{children_cpu, own_cpu};
use super::{RunSpec, FLEET};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::Event;
use crate::shell::cells::Cells;
use crate::shell::clients::{Clients, Entry};
use crate::shell::lists::{Counts, Door, Platform};
use crate::shell::pay_servers::{Fleet, Server};
use crate::shell::process::Process;
use crate::shell::World;
use rustix::time::ClockId;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

pub(super) async fn set_up_and_play(world: &Rc<World>, spec: &RunSpec) -> Result<(), RunError> {
    let scenario = &world.scenario;
    let fleet = Fleet::new(world);
    let cells = Cells::new(world, FLEET).map_err(RunError::Listen)?;
    let servers: Vec<Rc<Server>> =
        (0..scenario.fleet.pay_servers as u16).map(|i| Server::new(world, &fleet, &cells, i)).collect();
    let mut places = Vec::new();
    for server in &servers {
        places.push((server.start(false).map_err(RunError::Listen)?, 0));
    }
    let counts =
        if scenario.fleet.counter { Some(Counts::new(world).map_err(RunError::Listen)?) } else { None };
    let program = |name: &str| -> Result<PathBuf, RunError> {
        let path = spec.harness.with_file_name(name);
        match path.is_file() {
            true => Ok(path),
            false => Err(RunError::ProgramMissing(path)),
        }
    };
    let log = |end: End| spec.dir.join("logs").join(format!("{end}.log"));
    let processes = |count: u32, end_of: fn(u16) -> End, name: &str| {
        let new_process = |number| {
            let end = end_of(number);
            let process = Process::new(world, end, spec.harness.clone(), program(name)?, log(end));
            Ok((process, Door::open(world, end).map_err(RunError::Listen)?))
        };
        (0..count as u16).map(new_process).collect::<Result<Vec<_>, RunError>>()
    };
    let lists = processes(scenario.fleet.list_service, End::ListService, "marblecroft-discovery")?;
    let coordinators =
        processes(scenario.fleet.coordinators, End::Coordinator, "marblecroft-coordination-server")?;
    let stewards = processes(scenario.fleet.controllers, End::Controller, "marblecroft-controller")?;
    let platform =
        if lists.is_empty() { Some(Platform::new(world).map_err(RunError::Listen)?) } else { None };
    let gateway = match &scenario.fleet.program {
        Some(path) if path.is_file() => path.clone(),
        Some(path) => return Err(RunError::NamedProgramMissing(path.clone())),
        None => program("marblecroft-quota-gateway")?,
    };
    let gateways: Vec<Rc<Process>> = (0..scenario.fleet.gateways as u16)
        .map(End::Gateway)
        .map(|end| Process::new(world, end, spec.harness.clone(), gateway.clone(), log(end)))
        .collect();
    let ports = Ports {
        lists: match &platform {
            Some(platform) => vec![platform.door.port],
            None => lists.iter().map(|(_, door)| door.port).collect(),
        },
        counter: counts.as_ref().map(|counts| counts.door.port),
    };
    let places = Rc::new(RefCell::new(places));
    let mut entries: Vec<Entry> = gateways.iter().cloned().map(Entry::Gateway).collect();
    if entries.is_empty() {
        entries = (0..servers.len() as u16).map(|i| Entry::PayServer(i, places.clone())).collect();
    }
    let lab = Rc::new(Lab {
        world: world.clone(),
        clients: Clients::new(world, entries),
        gateways,
        lists,
        coordinators,
        stewards,
        cells,
        asking: RefCell::new(None),
        owners: RefCell::new(None),
        platform,
        counts,
        registered: RefCell::new(vec![true; servers.len()]),
        servers,
        places,
        ports,
        dir: spec.dir.clone(),
        starts: Cell::new(0),
        failure: RefCell::new(None),
    });
    let result = lab.clone().play(spec).await;
    lab.end().await;
    world
        .record(Event::Finished { harness_cpu: own_cpu(ClockId::ProcessCPUTime), fleet_cpu: children_cpu() });
    world.flush()?;
    result
}
