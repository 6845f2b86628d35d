//! Follows the endpoint list and passes it to the engine.
//!
//! A watch asks the agent for changes since the version of the list in force. After a failure the next
//! address is asked, with a backoff ([`follow_timing`]). The [`endpoint_follower`] merges the lists that
//! [`call`](mod@call) returns if they come from the project's own discovery service, several processes of
//! which may contradict each other. Then the list is applied: ids and names are mapped to numbers
//! ([`server_ids`], [`name_table`]). While discovery fails, the old list stays in force.

mod call;
pub mod endpoint_follower;
pub mod follow_timing;
mod name_table;
pub mod server_ids;

use crate::engine::Engine;
use call::{call, Connection, FetchError, FetchRequest, Fetched, WatchFrom};
use endpoint_follower::{EndpointFollower, MergeError};
use follow_timing::{jitter, FollowTiming};
use futures_util::stream::{FuturesUnordered, StreamExt};
use marblecroft_discovery::format::{Entry, Host, HostList, State};
use marblecroft_quota_gateway_core::{
    Discovery as Method, Event, Lifecycle, Random, Scope, ServerInfo, Time,
};
use name_table::NameTable;
use server_ids::ServerIds;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::warn;

/// The settings of a [`Discovery`].
pub struct DiscoverySettings {
    /// The names of zones that have fixed numbers.
    pub zones: Vec<String>,
    /// The names of kinds of machine that have fixed numbers.
    pub kinds: Vec<String>,
    /// Whether the endpoint list is polled or pushed.
    pub method: Method,
    /// The number of gateways that follow the list.
    pub gateways: u32,
    /// Seeds the jitter of calls.
    pub seed: u64,
}

/// Follows the endpoint list.
pub struct Discovery {
    engine: Rc<Engine>,
    /// The addresses to ask: the agent, and others that serve the same list. A new configuration may change
    /// them.
    agents: watch::Receiver<Vec<SocketAddr>>,
    /// Set if the list comes from the project's own service.
    service: Option<EndpointFollower>,
    zones: NameTable,
    kinds: NameTable,
    ids: Rc<RefCell<ServerIds>>,
    /// The version of the list in force; `None` if the full list must be fetched.
    version: Option<u64>,
    /// The source of jitter, which spreads calls that many gateways would otherwise make at the same time.
    random: Random,
    timing: FollowTiming,
    /// The time over which the calls of all gateways are spread.
    call_spread: Duration,
    has_logged_malformed_entry: bool,
}

/// The state of a watch on one set of addresses.
struct WatchState {
    connection: Option<Connection>,
    address_index: usize,
    backoff: Duration,
    /// Whether the current outage has been logged.
    is_outage_logged: bool,
    /// Whether the full list is fetched next because the last call failed.
    needs_full_fetch: bool,
    /// Whether the last call was rejected with "busy".
    is_busy: bool,
}

/// A change of one server, read from an entry of the list.
struct ServerChange {
    info: ServerInfo,
    addr: SocketAddr,
}

impl Discovery {
    /// Creates a follower without a list.
    pub fn new(
        engine: Rc<Engine>,
        agents: watch::Receiver<Vec<SocketAddr>>,
        service: Option<EndpointFollower>,
        settings: DiscoverySettings,
    ) -> Discovery {
        let timing = FollowTiming::of(settings.method, service.is_some());
        Discovery {
            engine,
            agents,
            service,
            zones: NameTable::new(settings.zones),
            kinds: NameTable::new(settings.kinds),
            ids: Rc::default(),
            version: None,
            random: Random(settings.seed),
            timing,
            call_spread: timing.call_spread(settings.gateways),
            has_logged_malformed_entry: false,
        }
    }

    /// The servers' ids and numbers, kept up to date.
    pub fn ids(&self) -> Rc<RefCell<ServerIds>> {
        self.ids.clone()
    }

    /// Applies the list of another process of this gateway, and returns whether that process had one. The
    /// other process may not have passed on all that the agent sent to it, so the full list is fetched next.
    pub fn adopt(&mut self, ids: ServerIds) -> bool {
        let servers: Vec<Entry> = ids.listed_hosts().cloned().map(Entry::Readable).collect();
        for server in ids.disabled() {
            self.engine.upstream.set_disabled(server, true);
        }
        self.ids.replace(ids);
        if servers.is_empty() {
            return false;
        }
        self.on_endpoint_list(HostList { version: 0, full: true, store: None, epoch: 0, servers });
        self.version = None;
        true
    }

    /// Applies a list.
    pub fn on_endpoint_list(&mut self, list: HostList) {
        self.version = Some(list.version);
        let scope = if list.full { Scope::Full } else { Scope::Delta };
        let mut servers = Vec::with_capacity(list.servers.len());
        let mut addresses = Vec::with_capacity(list.servers.len());
        for entry in list.servers {
            let change = match entry {
                Entry::Readable(host) => Some(self.on_host(host)),
                Entry::Malformed(id) => self.on_malformed_entry(id),
            };
            if let Some(ServerChange { info, addr }) = change {
                addresses.push((info.id, addr));
                servers.push(info);
            }
        }
        self.ids.borrow_mut().on_endpoint_list(scope, &servers, Instant::now());
        self.engine.upstream.on_endpoint_list(scope, &servers, &addresses);
        self.engine.post(Event::Servers { scope, servers });
    }

    fn on_host(&mut self, host: Host) -> ServerChange {
        let id = self.ids.borrow_mut().on_host(&host);
        let info = ServerInfo {
            id,
            zone: self.zones.index(host.zone),
            cell: host.cell,
            kind: self.kinds.index(host.kind),
            lifecycle: match host.state {
                State::Serving => Lifecycle::Running,
                State::Draining => Lifecycle::Draining,
                State::Deleted => Lifecycle::Unlisted,
            },
            capacity: host.weight,
            started: (host.started_ms > 0).then(|| Time(host.started_ms.saturating_mul(1_000_000))),
        };
        ServerChange { info, addr: host.addr }
    }

    /// Handles an entry that cannot be read. If it names a server that is in use, that server counts as
    /// unlisted.
    fn on_malformed_entry(&mut self, id: Option<String>) -> Option<ServerChange> {
        if !std::mem::replace(&mut self.has_logged_malformed_entry, true) {
            warn!("discovery: an entry cannot be read, further ones are not logged");
        }
        let id = self.ids.borrow_mut().number(&id?);
        let addr = self.engine.upstream.process_of(id)?.addr;
        let info = ServerInfo { id, lifecycle: Lifecycle::Unlisted, ..ServerInfo::default() };
        Some(ServerChange { info, addr })
    }

    /// Follows the list forever. Calls `on_endpoints_received` after each successful call.
    pub async fn follow(mut self, on_endpoints_received: impl Fn()) {
        let mut agents = self.agents.clone();
        loop {
            let addresses = agents.borrow_and_update().clone();
            tokio::select! {
                // The call in flight and its connection are dropped together with the old agent.
                changed = agents.changed() => if changed.is_err() { return },
                () = self.watch(&addresses, &on_endpoints_received) => {}
            }
            // A new agent's versions need not continue those of the old one, so the full list is fetched.
            // Until it arrives, the old list stays in force.
            self.version = None;
            self.service.iter_mut().for_each(EndpointFollower::on_agents_changed);
        }
    }

    /// Watches the list at one of these addresses until dropped. After a failure it moves on to the next
    /// address.
    async fn watch(&mut self, addresses: &[SocketAddr], on_endpoints_received: impl Fn()) {
        let mut state = WatchState {
            connection: None,
            address_index: 0,
            backoff: self.timing.backoff.first,
            is_outage_logged: false,
            needs_full_fetch: false,
            is_busy: false,
        };
        if self.version.is_some() {
            // A list is already in force, so the call can be delayed: other gateways may have restarted at
            // the same time.
            sleep(jitter(self.call_spread, &mut self.random)).await;
        }
        loop {
            match self.fetch(addresses, &mut state).await {
                // The next call follows at once: a watch continues only if it comes within 200 ms.
                Ok(()) => on_endpoints_received(),
                Err(cause) => self.back_off(addresses, &mut state, &cause).await,
            }
        }
    }

    /// Makes a call and applies its result.
    async fn fetch(&mut self, addresses: &[SocketAddr], state: &mut WatchState) -> Result<(), String> {
        self.remove_expired();
        let request = self.next_request(state);
        state.is_busy = false;
        match self.query(addresses, request, state).await {
            Ok(Fetched { list, connection }) => {
                state.connection = Some(connection);
                let list = self.merge(list).map_err(|e| e.to_string())?;
                // A watch that ended without a change returns an empty delta, which is not applied.
                if list.full || !list.servers.is_empty() || self.version != Some(list.version) {
                    self.on_endpoint_list(list);
                }
                state.backoff = self.timing.backoff.first;
                (state.is_outage_logged, state.needs_full_fetch) = (false, false);
                Ok(())
            }
            Err(FetchError::Busy(connection)) => {
                state.is_busy = true;
                state.connection = Some(connection);
                Err("busy".to_owned())
            }
            Err(FetchError::Failed(cause)) => {
                state.needs_full_fetch = true;
                Err(cause)
            }
        }
    }

    /// Returns a watch from the version in force, or a call for the full list.
    fn next_request(&self, state: &WatchState) -> FetchRequest {
        let is_watch_possible = !state.needs_full_fetch || self.service.is_some();
        let watch_from = self
            .version
            .filter(|_| is_watch_possible)
            .map(|version| WatchFrom { version, wait: self.max_watch_wait() });
        let timeout = match (watch_from, state.is_busy) {
            (_, true) => self.timing.busy_timeout,
            (Some(_), false) => self.timing.watch_timeout,
            (None, false) => self.timing.timeout,
        };
        FetchRequest { watch_from, timeout }
    }

    /// Waits after a failed call, and moves on to the next address.
    async fn back_off(&mut self, addresses: &[SocketAddr], state: &mut WatchState, cause: &str) {
        log_outage(&mut state.is_outage_logged, cause);
        if addresses.len() > 1 {
            state.address_index = (state.address_index + 1) % addresses.len();
            state.connection = None;
        }
        let delay = if state.is_busy { state.backoff.max(self.call_spread) } else { state.backoff };
        sleep(FollowTiming::jittered(delay, &mut self.random)).await;
        state.backoff = (state.backoff * 2).min(self.timing.backoff.max);
    }

    /// Makes one call and hedges it if it is not answered in time. The first response is used. Slow calls are
    /// not abandoned before their timeout; those still in flight when one is answered are.
    async fn query(
        &mut self,
        addresses: &[SocketAddr],
        request: FetchRequest,
        state: &mut WatchState,
    ) -> Result<Fetched, FetchError> {
        let mut calls = FuturesUnordered::new();
        let Some(&agent) = addresses.get(state.address_index) else { return Err("no address".into()) };
        calls.push(call(agent, request, state.connection.take()));
        let mut wait = request.wait();
        loop {
            let hedge_delay = async {
                match self.timing.hedge_after {
                    Some(hedge_after) => sleep(wait + hedge_after).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                ended = calls.next() => match ended {
                    // A failure is ignored while other calls are in flight, and returned if it is the last
                    // call.
                    Some(Err(FetchError::Failed(_))) if !calls.is_empty() => {}
                    Some(ended) => return ended,
                    None => return Err("no response in time".into()),
                },
                () = hedge_delay => {
                    log_outage(&mut state.is_outage_logged, "no response in time");
                    wait = Duration::ZERO;
                    state.address_index = (state.address_index + 1) % addresses.len();
                    self.remove_expired();
                    let hedge = FetchRequest { watch_from: self.hedge_watch_from(), ..request };
                    calls.push(call(addresses[state.address_index], hedge, None));
                }
            }
        }
    }

    /// The watch of a hedged call; `None` for the full list. The version in force is valid at any process of
    /// the project's own service. Other agents are asked for the full list, because a further watch would
    /// have to wait again before it is known to be unanswered.
    fn hedge_watch_from(&self) -> Option<WatchFrom> {
        let version = self.version.filter(|_| self.service.is_some())?;
        Some(WatchFrom { version, wait: Duration::ZERO })
    }

    /// Merges a received list and returns the list to apply.
    fn merge(&mut self, list: HostList) -> Result<HostList, MergeError> {
        let Some(service) = &mut self.service else { return Ok(list) };
        let merged = service.merge(list);
        if let Err(MergeError::OtherStore) = merged {
            self.version = None;
        }
        merged
    }

    /// Removes servers that have been missing from the list for longer than the removal delay.
    fn remove_expired(&mut self) {
        let removal = self.service.as_mut().and_then(EndpointFollower::remove_expired);
        removal.into_iter().for_each(|list| self.on_endpoint_list(list));
    }

    /// The longest wait of a watch. It ends before the next missing server is to be removed.
    fn max_watch_wait(&self) -> Duration {
        let until_removal = self.service.as_ref().and_then(EndpointFollower::until_next_removal);
        until_removal.map_or(self.timing.wait, |removal| removal.min(self.timing.wait))
    }
}

/// Logs one event per outage, independent of the number of calls that fail.
fn log_outage(is_logged: &mut bool, cause: &str) {
    if !std::mem::replace(is_logged, true) {
        warn!(cause = %cause, "discovery: {cause}");
    }
}
