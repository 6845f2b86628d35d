//! The coordinator's program: sockets, files, threads and clocks round [`marblecroft_control_plane_core::coordinator`].

use crate::calls::{PendingReplies, ThreadPool};
use crate::event_loop::{self, Clock, Next, FLUSH_TIME};
use crate::server_list_client::ServerListClient;
use crate::storage;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Replica, View};
use marblecroft_control_plane_core::coordinator::{Coordinator, Input, Output, Settings as CoreSettings};
use marblecroft_control_plane_core::member;
use marblecroft_control_plane_core::operator::{Call, Method};
use marblecroft_control_state::ControlState;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::{coordinator_address, internal_address};
use marblecroft_rpc::http::{Reply, Request};
use marblecroft_rpc::{http, random_id, serve, Caller, Service};
use marblecroft_settings::Settings;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::info;

/// The first view, where this process is one of those that begin it.
fn founding_view(settings: &Settings) -> Option<(u64, View)> {
    let own = settings.bind.control_plane.filter(|_| settings.bootstrap)?;
    member::founding_view(own, &settings.seeds, |seed| coordinator_address(seed, settings.ephemeral_ports))
}

fn core_settings(settings: &Settings, address: SocketAddr) -> CoreSettings {
    let seeds = settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports));
    CoreSettings {
        node_name: settings.node_name.clone(),
        address,
        seeds: seeds.collect(),
        operator_port: settings.bind.control_plane.map(|own| own.port()),
        tolerated_machines: settings.tolerated_machines,
        grace_period: settings.bounds.grace_period,
        reads_server_list: settings.cloud_api.is_some(),
        is_durable: settings.data_dir.is_some(),
        session: random_id(),
    }
}

/// What the threads of a coordinator share.
#[derive(Clone)]
struct Shell {
    inputs: Sender<Input>,
    caller: Caller,
    pool: ThreadPool,
    list: Option<ServerListClient>,
    requests: Arc<PendingReplies<CoordinatorReply>>,
    operators: Arc<PendingReplies<Reply>>,
}

/// Runs a coordinator until the process ends.
pub fn run(settings: &Settings) -> io::Result<()> {
    let missing = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("{what} is missing"));
    let control_plane = settings.bind.control_plane.ok_or_else(|| missing("bind_addresses.control_plane"))?;
    let address = internal_address(IpAddr::V4(settings.ip), settings.ephemeral_ports);
    match &settings.data_dir {
        Some(folder) => {
            run_with(settings, control_plane, address, storage::open(folder, founding_view(settings))?)
        }
        None => run_with(settings, control_plane, address, storage::without(founding_view(settings))?),
    }
}

fn run_with<S: Storage>(
    settings: &Settings,
    control_plane: SocketAddr,
    address: SocketAddr,
    replica: Replica<ControlState, S>,
) -> io::Result<()> {
    info!("coordinator {:x} starts in view {}", replica.identity(), replica.view().number);
    let clock = Clock::start();
    let mut node = Coordinator::new(core_settings(settings, address), replica, clock.time().monotonic);
    let (inputs, received) = channel();
    let shell = Shell {
        inputs,
        caller: Caller::new(Service::Coordinators),
        pool: ThreadPool::default(),
        list: settings.cloud_api.clone().map(ServerListClient::new),
        requests: Arc::default(),
        operators: Arc::default(),
    };
    event_loop::forward_signals(shell.inputs.clone(), || Input::Terminate)?;
    let internal = shell.clone();
    serve(http::listen(address)?, Service::Coordinators, move |request| internal.answer(request))?;
    let api = shell.clone();
    http::serve(http::listen(control_plane)?, move |request| api.answer_operator(request))?;
    event_loop::run(&mut node, clock, &received, || Input::Wake, |output| shell.carry_out(output));
    thread::sleep(FLUSH_TIME);
    Ok(())
}

impl Shell {
    fn hand_in(&self, input: Input) {
        // The process ends when nobody takes inputs any more.
        drop(self.inputs.send(input));
    }

    fn answer(&self, request: CoordinatorRequest) -> Option<CoordinatorReply> {
        self.requests.call(|token| self.hand_in(Input::Request { token, request }))
    }

    fn answer_operator(&self, request: Request) -> Reply {
        let method = match request.method {
            tiny_http::Method::Get => Method::Get,
            tiny_http::Method::Post => Method::Post,
            _ => Method::Other,
        };
        let base = request.header("X-Base-Version").map(str::to_owned);
        let call = Call { method, base, url: request.url, body: request.body };
        let reply = self.operators.call(|token| self.hand_in(Input::Operator { token, call }));
        reply.unwrap_or_else(|| Reply::text(504, "the outcome is not known; send it again"))
    }

    fn carry_out(&self, output: Output) -> Next {
        match output {
            Output::Answer { token, reply } => self.requests.reply(token, reply),
            Output::AnswerOperator { token, reply } => self.operators.reply(token, reply),
            Output::Call { call, to, request, timeout: within } => self.call(call, to, request, within),
            Output::ReadServerList => self.read_list(),
            Output::Exit => return Next::Exit,
        }
        Next::Continue
    }

    fn call(&self, call: u64, to: SocketAddr, request: CoordinatorRequest, within: Duration) {
        let shell = self.clone();
        self.pool.run(move || {
            let reply = shell.caller.call(to, &request, within).ok();
            shell.hand_in(Input::Reply { call, reply });
        });
    }

    fn read_list(&self) {
        let shell = self.clone();
        self.pool.run(move || {
            let servers = shell.list.as_ref().and_then(ServerListClient::read);
            shell.hand_in(Input::ServerList(servers));
        });
    }
}
