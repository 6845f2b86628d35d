//! A coordinator: a member of the chain that keeps the configuration, and where gateways and stores ask.

use crate::disk;
use crate::list_reader;
use crate::membership;
use crate::operator;
use crate::store_views::{self, StoreViews};
use crate::transport::CoordinatorTransport;
use marblecroft_chain::{Chain, Member, Options, View};
use marblecroft_control_state::Control;
use marblecroft_log::Log;
use marblecroft_protocol::coordinator::{
    ConfigurationUpdate, CoordinatorReply, CoordinatorRequest, Pull, StoreDirective, StoreReport, Updates,
};
use marblecroft_protocol::servers::ServerList;
use marblecroft_protocol::{coordinator_address, internal_address};
use marblecroft_settings::Settings;
use marblecroft_wire::{decode, http, serve, Bytes};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::info;

/// A coordinator counts as in touch with the others for so long after the chain was last whole.
const FRESH_FOR: Duration = Duration::from_millis(1000);
/// The longest that a gateway's question is held.
const PULL_MOST: Duration = Duration::from_millis(2000);
/// A question is answered without news after this time where the coordinator is not in touch.
const STALE_PULL: Duration = Duration::from_millis(200);

/// The chain of the coordinators.
pub type ControlChain = Chain<Control, Log, CoordinatorTransport>;

/// What the threads of a coordinator share.
pub struct Coordinator {
    pub settings: Settings,
    pub chain: ControlChain,
    pub address: SocketAddr,
    /// Where coordinators may be found: the seeds, and whoever was in a view.
    known: Mutex<Vec<SocketAddr>>,
    /// Processes that would be members.
    pub joining: Mutex<Vec<Member>>,
    pub store_views: Mutex<StoreViews>,
}

fn options(settings: &Settings) -> Options {
    Options {
        heartbeat: Duration::from_millis(150),
        member_time: Duration::from_millis(350),
        install_time: Duration::from_secs(3),
        copies: settings.tolerated_machines + 1,
        suspect_after: Duration::from_millis(700),
    }
}

/// The first view, where this process is one of those that begin it.
fn founding_view(settings: &Settings) -> Option<(u64, View)> {
    let own = settings.bind.control_plane?;
    let founds = settings.bootstrap && settings.seeds.contains(&own);
    founds.then(|| {
        let founder = |seed: &SocketAddr| Member {
            address: coordinator_address(*seed, settings.ephemeral_ports),
            identity: founder_identity(*seed),
            node: String::new(),
        };
        let members: Vec<Member> = settings.seeds.iter().map(founder).collect();
        (founder_identity(own), View { number: 1, members })
    })
}

/// The identity of a founder: every process works out the same from the seeds, and no other member can have it, as the
/// others' are drawn with the top bit set.
fn founder_identity(seed: SocketAddr) -> u64 {
    let ip = match seed.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(_) => 0,
    };
    (ip << 16) | u64::from(seed.port())
}

/// Runs a coordinator until the process ends.
pub fn run(settings: &Settings) -> io::Result<()> {
    let missing = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("{what} is missing"));
    let control_plane = settings.bind.control_plane.ok_or_else(|| missing("bind_addresses.control_plane"))?;
    let folder = settings.data_dir.as_ref().ok_or_else(|| missing("data_dir"))?;
    let address = internal_address(IpAddr::V4(settings.ip), settings.ephemeral_ports);
    let replica = disk::open::<Control>(folder, &address.to_string(), founding_view(settings))?;
    info!("coordinator {:x} starts in view {}", replica.identity(), replica.view().number);
    let known = settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports));
    let coordinator = Arc::new(Coordinator {
        chain: Chain::new(replica, CoordinatorTransport::default(), options(settings)),
        address,
        known: Mutex::new(known.collect()),
        joining: Mutex::default(),
        store_views: Mutex::default(),
        settings: settings.clone(),
    });
    let internal = coordinator.clone();
    serve(http::listen(address)?, move |request| internal.answer(request))?;
    let api = coordinator.clone();
    http::serve(http::listen(control_plane)?, move |request| operator::answer(&api, &request))?;
    let head = coordinator.clone();
    thread::spawn(move || head.chain.run_head());
    let reader = coordinator.clone();
    thread::spawn(move || list_reader::run(&reader));
    let views = coordinator.clone();
    thread::spawn(move || store_views::run(&views));
    membership::run(&coordinator)
}

impl Coordinator {
    /// Whether this process is in touch with the whole chain.
    pub fn fresh(&self) -> bool {
        self.chain.healthy_age().is_some_and(|age| age < FRESH_FOR)
    }

    /// Where coordinators may be called, without this one.
    pub fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.known.lock().unwrap_or_else(PoisonError::into_inner).clone();
        others.extend(self.chain.status().view.members.iter().map(|member| member.address));
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != self.address);
        others
    }

    fn coordinators(&self) -> Vec<SocketAddr> {
        self.chain.status().view.members.iter().map(|member| member.address).collect()
    }

    fn answer(&self, request: CoordinatorRequest) -> CoordinatorReply {
        match request {
            CoordinatorRequest::Append(append) => CoordinatorReply::Append(self.chain.handle_append(&append)),
            CoordinatorRequest::Install(install) => {
                CoordinatorReply::Append(self.chain.handle_install(&install))
            }
            CoordinatorRequest::Vote(vote) => {
                let before = self.chain.status().view.number;
                let reply = self.chain.with_replica(|replica| replica.answer_vote(&vote));
                if self.chain.status().view.number > before {
                    self.chain.notify_change();
                }
                CoordinatorReply::Vote(reply)
            }
            CoordinatorRequest::Status => CoordinatorReply::Status(self.chain.status()),
            CoordinatorRequest::Join(member) => self.note_joining(member),
            CoordinatorRequest::Pull(pull) => CoordinatorReply::Updates(self.updates(&pull)),
            CoordinatorRequest::Report(report) => self.note_report(report),
        }
    }

    fn note_joining(&self, member: Member) -> CoordinatorReply {
        if !self.chain.is_head() {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        let mut joining = self.joining.lock().unwrap_or_else(PoisonError::into_inner);
        joining.retain(|other| other.address != member.address);
        joining.push(member);
        CoordinatorReply::Noted
    }

    fn note_report(&self, report: StoreReport) -> CoordinatorReply {
        if !self.chain.is_head() || !self.fresh() {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        let fetch_from = {
            let mut views = self.store_views.lock().unwrap_or_else(PoisonError::into_inner);
            let address = report.address;
            views.note(report);
            views.source_for(address)
        };
        let view = self.chain.read_settled(|control| control.store_view().clone()).unwrap_or_default();
        CoordinatorReply::Stores(StoreDirective { view, fetch_from, coordinators: self.coordinators() })
    }

    fn newer(&self, pull: &Pull) -> Option<Updates> {
        let have = pull.have;
        let mut updates = self.chain.read_settled(|control| Updates {
            fresh: true,
            configuration: (control.sequence() > have.configuration).then(|| ConfigurationUpdate {
                sequence: control.sequence(),
                body: Bytes(control.body().unwrap_or_default().to_vec()),
            }),
            servers: None,
            stores: (control.store_view().number > have.stores).then(|| control.store_view().clone()),
            coordinators: Vec::new(),
        })?;
        let list: Option<ServerList> = decode(&self.chain.notice()).ok();
        updates.servers = list.filter(|list| list.version > have.servers);
        Some(updates)
    }

    /// What is newer than what a gateway has; held until there is something.
    fn updates(&self, pull: &Pull) -> Updates {
        let begun = Instant::now();
        let until = begun + Duration::from_millis(pull.wait_ms.into()).min(PULL_MOST);
        let mut updates = Updates::default();
        loop {
            let fresh = self.fresh();
            if let Some(newer) = self.newer(pull).filter(|_| fresh) {
                updates = newer;
                if updates.configuration.is_some() || updates.servers.is_some() || updates.stores.is_some() {
                    break;
                }
            }
            let now = Instant::now();
            if now >= until || (!fresh && now >= begun + STALE_PULL) {
                break;
            }
            self.chain.wait_for_change((until - now).min(STALE_PULL));
        }
        updates.fresh = updates.fresh && self.fresh();
        updates.coordinators = self.coordinators();
        updates
    }
}
