//! The store's program: sockets, files, threads and clocks round [`marblecroft_control_plane_core::store`].

use crate::calls::{PendingReplies, ThreadPool};
use crate::event_loop::{self, Clock, Next, FLUSH_TIME};
use crate::storage;
use marblecroft_batch_state::BatchState;
use marblecroft_control_plane_core::store::{Input, Output, Settings as CoreSettings, Store};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_protocol::{coordinator_address, internal_address};
use marblecroft_rpc::{http, random_id, serve, Caller, Service};
use marblecroft_settings::Settings;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use tracing::info;

fn core_settings(settings: &Settings, address: SocketAddr) -> CoreSettings {
    let seeds = settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports));
    CoreSettings {
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        address,
        coordinators: seeds.collect(),
        tolerated_machines: settings.tolerated_machines,
        result_retention: settings.bounds.status,
        grace_period: settings.bounds.grace_period,
        session: random_id(),
    }
}

/// What the threads of a store share.
#[derive(Clone)]
struct Shell {
    inputs: Sender<Input>,
    coordinators: Caller,
    stores: Caller,
    pool: ThreadPool,
    requests: Arc<PendingReplies<StoreReply>>,
}

/// Runs a store until the process ends.
pub fn run(settings: &Settings) -> io::Result<()> {
    let missing = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("{what} is missing"));
    let folder = settings.data_dir.as_ref().ok_or_else(|| missing("data_dir"))?;
    if settings.seeds.is_empty() {
        return Err(missing("seeds"));
    }
    let address = internal_address(IpAddr::V4(settings.ip), settings.ephemeral_ports);
    let replica = storage::open::<BatchState>(folder, None)?;
    info!("store {:x} starts in view {}", replica.identity(), replica.view().number);
    let clock = Clock::start();
    let mut node = Store::new(core_settings(settings, address), replica, clock.time().monotonic);
    let (inputs, received) = channel();
    let shell = Shell {
        inputs,
        coordinators: Caller::new(Service::Coordinators),
        stores: Caller::new(Service::Stores),
        pool: ThreadPool::default(),
        requests: Arc::default(),
    };
    event_loop::forward_signals(shell.inputs.clone(), || Input::Terminate)?;
    let internal = shell.clone();
    serve(http::listen(address)?, Service::Stores, move |request| internal.answer(request))?;
    event_loop::run(&mut node, clock, &received, || Input::Wake, |output| shell.carry_out(output));
    thread::sleep(FLUSH_TIME);
    Ok(())
}

impl Shell {
    fn hand_in(&self, input: Input) {
        // The process ends when nobody takes inputs any more.
        drop(self.inputs.send(input));
    }

    fn answer(&self, request: StoreRequest) -> Option<StoreReply> {
        self.requests.call(|token| self.hand_in(Input::Request { token, request }))
    }

    fn carry_out(&self, output: Output) -> Next {
        let shell = self.clone();
        match output {
            Output::Answer { token, reply } => self.requests.reply(token, reply),
            Output::CallStore { call, to, request, timeout: within } => self.pool.run(move || {
                let reply = shell.stores.call(to, &request, within).ok();
                shell.hand_in(Input::StoreReply { call, reply });
            }),
            Output::CallCoordinator { call, to, request, timeout: within } => self.pool.run(move || {
                let reply = shell.coordinators.call(to, &request, within).ok();
                shell.hand_in(Input::CoordinatorReply { call, reply });
            }),
            Output::Exit => return Next::Exit,
        }
        Next::Continue
    }
}
