//! The coordinator's process: sockets, files, threads and clocks for
//! [`marblecroft_control_plane_core::coordinator`].
//!
//! An incoming call, from another process or the operator, blocks its listener's thread until the event loop
//! has replied. Outgoing calls block threads of the pool.

use crate::error::StartError;
use crate::event_loop::{self, Clock, ControlFlow};
use crate::pending_replies::PendingReplies;
use crate::runtime::{seed_coordinators, Runtime};
use crate::server_list_client::ServerListClient;
use crate::storage;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Replica, View};
use marblecroft_control_plane_core::coordinator::{Coordinator, Input, Output, Settings as CoreSettings};
use marblecroft_control_plane_core::member;
use marblecroft_control_plane_core::operator::{Call, Method};
use marblecroft_control_state::ControlState;
use marblecroft_protocol::coordinator::CoordinatorReply;
use marblecroft_protocol::{coordinator_address, internal_address};
use marblecroft_rpc::http::{Reply, Request};
use marblecroft_rpc::{http, random_id, serve, Caller, Service};
use marblecroft_settings::Settings;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tracing::info;

/// Returns the first view and this process's identity in it, or `None` if the process is not a founder.
fn founding_view(settings: &Settings) -> Option<(u64, View)> {
    let local_address = settings.bind.control_plane.filter(|_| settings.bootstrap)?;
    member::founding_view(local_address, &settings.seeds, |seed| {
        coordinator_address(seed, settings.ephemeral_ports)
    })
}

fn core_settings(settings: &Settings, address: SocketAddr) -> CoreSettings {
    CoreSettings {
        node_name: settings.node_name.clone(),
        address,
        seeds: seed_coordinators(settings),
        operator_port: settings.bind.control_plane.map(|address| address.port()),
        tolerated_machines: settings.tolerated_machines,
        grace_period: settings.bounds.grace_period,
        reads_server_list: settings.cloud_api.is_some(),
        is_durable: settings.data_dir.is_some(),
        session: random_id(),
    }
}

/// State shared by the threads of a coordinator.
#[derive(Clone)]
struct Shared {
    runtime: Runtime<Input>,
    caller: Caller,
    server_list: Option<ServerListClient>,
    requests: Arc<PendingReplies<CoordinatorReply>>,
    operator_calls: Arc<PendingReplies<Reply>>,
}

/// Runs a coordinator until the process should exit.
///
/// # Errors
///
/// Returns an error if a setting is missing, a socket or a file cannot be opened, or a thread cannot be
/// started.
pub fn run(settings: &Settings) -> Result<(), StartError> {
    let operator_address =
        settings.bind.control_plane.ok_or(StartError::MissingSetting("bind_addresses.control_plane"))?;
    let founding = founding_view(settings);
    match &settings.data_dir {
        Some(folder) => run_with(settings, operator_address, storage::open(folder, founding)?),
        None => run_with(settings, operator_address, storage::without_disk(founding)?),
    }
}

fn run_with<S: Storage>(
    settings: &Settings,
    operator_address: SocketAddr,
    replica: Replica<ControlState, S>,
) -> Result<(), StartError> {
    let address = internal_address(IpAddr::V4(settings.ip), settings.ephemeral_ports);
    let identity = replica.identity();
    info!(identity = %format_args!("{identity:x}"), view = replica.view().number, "coordinator starts");
    let clock = Clock::start();
    let mut node = Coordinator::new(core_settings(settings, address), replica, clock.time().monotonic);
    let (runtime, inputs) = Runtime::new();
    let shared = Shared {
        runtime,
        caller: Caller::new(Service::Coordinators),
        server_list: settings.cloud_api.clone().map(ServerListClient::new),
        requests: Arc::default(),
        operator_calls: Arc::default(),
    };
    shared.runtime.forward_signals(|| Input::Terminate)?;
    let internal = shared.clone();
    serve(http::listen(address)?, Service::Coordinators, move |request| {
        internal.runtime.request(&internal.requests, |token| Input::Request { token, request })
    })?;
    let operator = shared.clone();
    http::serve(http::listen(operator_address)?, move |request| operator.handle_operator_request(request))?;
    event_loop::run(&mut node, clock, &inputs, || Input::Wake, |output| shared.execute(output));
    Ok(())
}

impl Shared {
    fn handle_operator_request(&self, request: Request) -> Reply {
        let method = match request.method {
            tiny_http::Method::Get => Method::Get,
            tiny_http::Method::Post => Method::Post,
            _ => Method::Other,
        };
        let base = request.header("X-Base-Version").map(str::to_owned);
        let call = Call { method, base, url: request.url, body: request.body };
        self.runtime
            .request(&self.operator_calls, |token| Input::Operator { token, call })
            .unwrap_or_else(|| Reply::text(504, "the outcome is not known; send it again"))
    }

    fn execute(&self, output: Output) -> ControlFlow {
        match output {
            Output::Reply { token, reply } => self.requests.deliver(token, reply),
            Output::ReplyToOperator { token, reply } => self.operator_calls.deliver(token, reply),
            Output::Call { call, to, request, timeout } => {
                let caller = self.caller.clone();
                self.runtime.spawn(move || {
                    let reply = caller.call(to, &request, timeout).ok();
                    Input::Reply { call, reply }
                });
            }
            Output::ReadServerList => {
                let client = self.server_list.clone();
                self.runtime
                    .spawn(move || Input::ServerList(client.as_ref().and_then(ServerListClient::read)));
            }
            Output::Exit => return ControlFlow::Exit,
        }
        ControlFlow::Continue
    }
}
