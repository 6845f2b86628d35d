//! The store's process: sockets, files, threads and clocks for [`marblecroft_control_plane_core::store`].
//!
//! An incoming call blocks its listener's thread until the event loop has replied. Outgoing calls block
//! threads of the pool.

use crate::error::StartError;
use crate::event_loop::{self, Clock, ControlFlow};
use crate::pending_replies::PendingReplies;
use crate::runtime::{seed_coordinators, Runtime};
use crate::storage;
use marblecroft_batch_state::BatchState;
use marblecroft_control_plane_core::store::{Input, Output, Settings as CoreSettings, Store};
use marblecroft_protocol::internal_address;
use marblecroft_protocol::store::StoreReply;
use marblecroft_rpc::{http, random_id, serve, Caller, Service};
use marblecroft_settings::Settings;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tracing::info;

fn core_settings(settings: &Settings, address: SocketAddr) -> CoreSettings {
    CoreSettings {
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        address,
        coordinators: seed_coordinators(settings),
        tolerated_machines: settings.tolerated_machines,
        result_retention: settings.bounds.status,
        grace_period: settings.bounds.grace_period,
        session: random_id(),
    }
}

/// State shared by the threads of a store.
#[derive(Clone)]
struct Shared {
    runtime: Runtime<Input>,
    coordinators: Caller,
    stores: Caller,
    requests: Arc<PendingReplies<StoreReply>>,
}

/// Runs a store until the process should exit.
///
/// # Errors
///
/// Returns an error if a setting is missing, a socket or a file cannot be opened, or a thread cannot be
/// started.
pub fn run(settings: &Settings) -> Result<(), StartError> {
    let folder = settings.data_dir.as_ref().ok_or(StartError::MissingSetting("data_dir"))?;
    if settings.seeds.is_empty() {
        return Err(StartError::MissingSetting("seeds"));
    }
    let address = internal_address(IpAddr::V4(settings.ip), settings.ephemeral_ports);
    let replica = storage::open::<BatchState>(folder, None)?;
    let identity = replica.identity();
    info!(identity = %format_args!("{identity:x}"), view = replica.view().number, "store starts");
    let clock = Clock::start();
    let mut node = Store::new(core_settings(settings, address), replica, clock.time().monotonic);
    let (runtime, inputs) = Runtime::new();
    let shared = Shared {
        runtime,
        coordinators: Caller::new(Service::Coordinators),
        stores: Caller::new(Service::Stores),
        requests: Arc::default(),
    };
    shared.runtime.forward_signals(|| Input::Terminate)?;
    let internal = shared.clone();
    serve(http::listen(address)?, Service::Stores, move |request| {
        internal.runtime.request(&internal.requests, |token| Input::Request { token, request })
    })?;
    event_loop::run(&mut node, clock, &inputs, || Input::Wake, |output| shared.execute(output));
    Ok(())
}

impl Shared {
    fn execute(&self, output: Output) -> ControlFlow {
        match output {
            Output::Reply { token, reply } => self.requests.deliver(token, reply),
            Output::CallStore { call, to, request, timeout } => {
                let stores = self.stores.clone();
                self.runtime.spawn(move || {
                    let reply = stores.call(to, &request, timeout).ok();
                    Input::StoreReply { call, reply }
                });
            }
            Output::CallCoordinator { call, to, request, timeout } => {
                let coordinators = self.coordinators.clone();
                self.runtime.spawn(move || {
                    let reply = coordinators.call(to, &request, timeout).ok();
                    Input::CoordinatorReply { call, reply }
                });
            }
            Output::Exit => return ControlFlow::Exit,
        }
        ControlFlow::Continue
    }
}
