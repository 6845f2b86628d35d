//! The list of servers: the names in it, and the watch that follows it.

mod pace;

use crate::engine::Engine;
use crate::upstream::{collect, Connection};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::{Request, StatusCode};
use marblecroft_discovery::client::{Caution, Follower, Taken};
use marblecroft_discovery::format::{Entry, Host, HostList, ListRequest, State};
use marblecroft_quota_gateway_core::{
    Discovery as Method, Event, Lifecycle, Random, Scope, ServerId, ServerInfo, Time,
};
use pace::FollowTiming;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Why a call brought no list.
enum FetchError {
    /// The agent lives and turned the call away, as discovery has too many: what is held is as good as before, and a
    /// whole list would cost it far more than what has changed.
    Busy(Connection),
    Otherwise(String),
}

impl<E: std::fmt::Display> From<E> for FetchError {
    fn from(cause: E) -> FetchError {
        FetchError::Otherwise(cause.to_string())
    }
}

/// Numbers for names: those of the settings keep their places, others follow as they turn up, and what comes
/// after the last one counts as one name: names that are ever new would grow without bound.
struct NameTable(Vec<String>);

const MAX_NAMES: usize = 256;

impl NameTable {
    fn index(&mut self, name: String) -> u32 {
        let index = self.0.iter().position(|known| *known == name).unwrap_or_else(|| {
            if self.0.len() < MAX_NAMES {
                self.0.push(name);
            }
            self.0.len() - 1
        });
        index as u32
    }
}

/// Numbers for ids of servers, by a hash, so that a server has the same number after a restart of the gateway;
/// one whose number is taken gets the next free one.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct ServerIds(HashMap<u32, KnownServer>);

#[derive(Clone, Serialize, Deserialize)]
struct KnownServer {
    id: String,
    /// As the list last had it, while it is listed.
    host: Option<Host>,
    /// The operators leave it out, and may ask for it back whatever becomes of it.
    disabled: bool,
    /// Since when it is not listed any more.
    #[serde(skip)]
    gone: Option<Instant>,
}

/// A number is kept for a server that is gone for longer than any request lasts that was sent to it.
const ID_RETENTION: Duration = Duration::from_secs(60);

impl ServerIds {
    fn number(&mut self, id: &str) -> ServerId {
        // FNV-1a.
        let mut number =
            id.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        while self.0.get(&number).is_some_and(|taken| taken.id != id) {
            number = number.wrapping_add(1);
        }
        self.0.entry(number).or_insert_with(|| {
            // The decisions' own lines name servers by number.
            info!(server = %id, number, "server {id} is number {number}");
            KnownServer { id: id.to_owned(), host: None, disabled: false, gone: None }
        });
        ServerId(number)
    }

    /// Marks a server as left out or not; its number, if the id is known.
    pub fn disable(&mut self, id: &str, disabled: bool) -> Option<ServerId> {
        let (&number, numbered) = self.0.iter_mut().find(|(_, numbered)| numbered.id == id)?;
        numbered.disabled = disabled;
        Some(ServerId(number))
    }

    /// Follows a list, and forgets those that have long gone: in long service ids are ever new.
    fn listed(&mut self, scope: Scope, servers: &[ServerInfo], now: Instant) {
        if scope == Scope::Full {
            self.0.values_mut().for_each(|numbered| numbered.gone = numbered.gone.or(Some(now)));
        }
        for server in servers {
            if let Some(numbered) = self.0.get_mut(&server.id.0) {
                numbered.gone = (server.lifecycle == Lifecycle::Gone).then_some(now);
            }
        }
        for numbered in self.0.values_mut().filter(|numbered| numbered.gone.is_some()) {
            numbered.host = None;
        }
        self.0.retain(|_, numbered| {
            numbered.disabled || numbered.gone.is_none_or(|gone| now - gone < ID_RETENTION)
        });
    }
}

/// When a gateway has its turn: they cannot agree on it, so each takes one by chance.
fn jitter(round: Duration, random: &mut Random) -> Duration {
    round.mul_f64(random.uniform())
}

/// How the project's own list service is followed.
pub struct ListFollower {
    follower: Follower,
    begun: Instant,
    figures: Rc<ListMetrics>,
}

/// What operators see of it.
#[derive(Default)]
pub struct ListMetrics {
    last_heard_at: Cell<Option<Instant>>,
    suspects: Cell<usize>,
}

impl ListMetrics {
    /// Seconds since a service last said how things are, and servers held though the last whole list lacked them.
    pub fn now(&self) -> (Option<f64>, usize) {
        (self.last_heard_at.get().map(|heard| heard.elapsed().as_secs_f64()), self.suspects.get())
    }
}

impl ListFollower {
    pub fn new(caution: Caution) -> ListFollower {
        ListFollower { follower: Follower::new(caution), begun: Instant::now(), figures: Rc::default() }
    }

    pub fn figures(&self) -> Rc<ListMetrics> {
        self.figures.clone()
    }

    fn show(&self) {
        let age = self.follower.age(self.begun.elapsed());
        self.figures.last_heard_at.set(age.and_then(|age| Instant::now().checked_sub(age)));
        self.figures.suspects.set(self.follower.suspects());
    }
}

/// Follows the list and tells the engine.
pub struct Discovery {
    engine: Rc<Engine>,
    /// Where the list is asked for, which a new configuration may change: the agent, and others that tell the same.
    agents: watch::Receiver<Vec<SocketAddr>>,
    /// Where the list is that of the project's own service: what is held of it, whatever one of several says.
    service: Option<ListFollower>,
    zones: NameTable,
    kinds: NameTable,
    ids: Rc<RefCell<ServerIds>>,
    version: Option<u64>,
    /// Scatters what many gateways would else do at the same time.
    random: Random,
    pace: FollowTiming,
    /// The time in which all gateways have had their turn.
    round: Duration,
    /// An entry that could not be read has been logged.
    had_invalid_list: bool,
}

impl Discovery {
    pub fn new(
        engine: Rc<Engine>,
        agents: watch::Receiver<Vec<SocketAddr>>,
        service: Option<ListFollower>,
        zones: Vec<String>,
        kinds: Vec<String>,
        (method, gateways): (Method, u32),
        seed: u64,
    ) -> Discovery {
        let pace = FollowTiming::of(method, service.is_some());
        Discovery {
            engine,
            agents,
            service,
            zones: NameTable(zones),
            kinds: NameTable(kinds),
            ids: Rc::default(),
            version: None,
            random: Random(seed),
            pace,
            round: pace.round(gateways),
            had_invalid_list: false,
        }
    }

    /// The servers' ids and numbers, as they are told of.
    pub fn ids(&self) -> Rc<RefCell<ServerIds>> {
        self.ids.clone()
    }

    /// Takes over what another process of this gateway held. The agent may have told that one more than it passed on,
    /// so the whole list is asked for next. Whether it held one.
    pub fn adopt(&mut self, ids: ServerIds) -> bool {
        let listed = ids.0.values().filter_map(|n| n.host.clone().map(Entry::Readable));
        let servers: Vec<Entry> = listed.collect();
        for (&number, _) in ids.0.iter().filter(|(_, numbered)| numbered.disabled) {
            self.engine.upstream.set_disabled(ServerId(number), true);
        }
        self.ids.replace(ids);
        if servers.is_empty() {
            return false;
        }
        self.on_list(HostList { version: 0, full: true, store: None, epoch: 0, servers });
        self.version = None;
        true
    }

    /// Takes a list in.
    pub fn on_list(&mut self, list: HostList) {
        let ids = self.ids.clone();
        let mut ids = ids.borrow_mut();
        self.version = Some(list.version);
        let mut servers = Vec::with_capacity(list.servers.len());
        let mut addresses = Vec::with_capacity(list.servers.len());
        for entry in list.servers {
            let host = match entry {
                Entry::Readable(host) => host,
                Entry::Spoilt(id) => {
                    if !std::mem::replace(&mut self.had_invalid_list, true) {
                        warn!("discovery: an entry cannot be read, ignored from now on");
                    }
                    let Some(known) = id
                        .map(|id| ids.number(&id))
                        .and_then(|id| self.engine.upstream.process_of(id).map(|peer| (id, peer.addr)))
                    else {
                        continue;
                    };
                    addresses.push(known);
                    servers.push(ServerInfo {
                        id: known.0,
                        lifecycle: Lifecycle::Gone,
                        ..ServerInfo::default()
                    });
                    continue;
                }
            };
            let id = ids.number(&host.id);
            if let Some(numbered) = ids.0.get_mut(&id.0) {
                numbered.host = Some(host.clone());
            }
            let info = ServerInfo {
                id,
                zone: self.zones.index(host.zone),
                cell: host.cell,
                kind: self.kinds.index(host.kind),
                lifecycle: match host.state {
                    State::Serving => Lifecycle::Running,
                    State::Draining => Lifecycle::Draining,
                    State::Deleted => Lifecycle::Gone,
                },
                capacity: host.weight,
                started: (host.started_ms > 0).then(|| Time(host.started_ms.saturating_mul(1_000_000))),
            };
            addresses.push((info.id, host.addr));
            servers.push(info);
        }
        let scope = if list.full { Scope::Full } else { Scope::Delta };
        ids.listed(scope, &servers, Instant::now());
        drop(ids);
        self.engine.upstream.on_server_list(scope, &servers, &addresses);
        self.engine.post(Event::Servers { scope, servers });
    }

    /// Follows the list for good; `held` is called once the first list is held.
    pub async fn follow(mut self, held: impl Fn()) {
        let mut agents = self.agents.clone();
        loop {
            let addresses = agents.borrow_and_update().clone();
            tokio::select! {
                // The watch in flight and its connection go with the old agent.
                changed = agents.changed() => if changed.is_err() { return },
                () = self.watch(&addresses, &held) => {}
            }
            // What a new agent counts as told is not known, and its versions need not follow on the old one's:
            // the whole list is asked for. Until it comes the old one stands.
            self.version = None;
            self.service.iter_mut().for_each(|service| service.follower.moved());
        }
    }

    /// What a gateway is to follow of a list that was told; why there is nothing.
    fn merge(&mut self, list: HostList) -> Result<HostList, &'static str> {
        let Some(service) = &mut self.service else { return Ok(list) };
        let taken = service.follower.take(list, service.begun.elapsed());
        service.show();
        match taken {
            Taken::List(list) => Ok(list),
            Taken::Behind => Err("a list older than what is held"),
            Taken::Foreign => {
                self.version = None;
                Err("changes of another store")
            }
        }
    }

    /// Takes off servers that have been missing for too long.
    fn on_fetch_failed(&mut self) {
        let over = self.service.as_mut().and_then(|service| {
            let over = service.follower.give_up(service.begun.elapsed());
            service.show();
            over
        });
        over.into_iter().for_each(|list| self.on_list(list));
    }

    /// How long a watch waits.
    fn wait(&self) -> Duration {
        let end = self
            .service
            .as_ref()
            .and_then(|s| Some(s.follower.next_end()?.saturating_sub(s.begun.elapsed())));
        end.map_or(self.pace.wait, |end| end.min(self.pace.wait))
    }

    /// What is asked after a call that was not answered. What is held of the service's own list is good with any of its
    /// processes; of the platform's the whole list is asked for, as a watch would wait again before it is known for silent.
    fn full_list_request(&self) -> Option<(u64, Duration)> {
        Some((self.version.filter(|_| self.service.is_some())?, Duration::ZERO))
    }

    /// Watches the list at one of these addresses, at the next one after a failure, until dropped.
    async fn watch(&mut self, addresses: &[SocketAddr], held: impl Fn()) {
        let mut link = None;
        let mut at = 0;
        let mut pause = self.pace.backoff.0;
        let (mut quiet, mut whole, mut busy) = (false, false, false);
        if self.version.is_some() {
            // There is a list to go on with, and the other gateways may have been restarted too.
            sleep(jitter(self.round, &mut self.random)).await;
        }
        loop {
            self.on_fetch_failed();
            let wait = self.wait();
            let since = self.version.filter(|_| !whole || self.service.is_some()).map(|since| (since, wait));
            let patience = match (since, busy) {
                (_, true) => self.pace.busy_timeout,
                (Some(_), false) => self.pace.watch_timeout,
                (None, false) => self.pace.timeout,
            };
            busy = false;
            let ended = self.query(addresses, &mut at, since, patience, link.take(), &mut quiet).await;
            let cause = match ended {
                Ok((list, kept)) => match self.merge(list) {
                    Ok(list) => {
                        // A watch that ended without news has nothing to take in.
                        if list.full || !list.servers.is_empty() || self.version != Some(list.version) {
                            self.on_list(list);
                        }
                        held();
                        link = Some(kept);
                        (pause, quiet, whole) = (self.pace.backoff.0, false, false);
                        // At once: a watch goes on only if the next call comes within 200 ms.
                        continue;
                    }
                    Err(cause) => {
                        link = Some(kept);
                        cause.to_owned()
                    }
                },
                Err(FetchError::Busy(kept)) => {
                    (busy, link) = (true, Some(kept));
                    "busy".to_owned()
                }
                Err(FetchError::Otherwise(cause)) => {
                    whole = true;
                    cause
                }
            };
            log_lost(&mut quiet, &cause);
            if addresses.len() > 1 {
                (at, link) = ((at + 1) % addresses.len(), None);
            }
            let apart = if busy { pause.max(self.round) } else { pause };
            sleep(FollowTiming::jittered(apart, &mut self.random)).await;
            pause = (pause * 2).min(self.pace.backoff.1);
        }
    }

    /// One call, and others beside it where it stays silent: the first answer, and its connection. Calls that are slow are
    /// not given up before their time, and those that are left have no more to say once one is answered.
    async fn query(
        &mut self,
        addresses: &[SocketAddr],
        at: &mut usize,
        since: Option<(u64, Duration)>,
        patience: Duration,
        link: Option<Connection>,
        quiet: &mut bool,
    ) -> Result<(HostList, Connection), FetchError> {
        let mut calls = FuturesUnordered::new();
        let Some(&agent) = addresses.get(*at) else { return Err("no address".into()) };
        calls.push(call(agent, since, patience, link));
        let mut next = since.map_or(Duration::ZERO, |(_, wait)| wait);
        loop {
            let beside = async {
                match self.pace.full_list_after {
                    Some(beside) => sleep(next + beside).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                ended = calls.next() => match ended {
                    // One that fails leaves it to the others; the last of them speaks for all.
                    Some(Err(FetchError::Otherwise(_))) if !calls.is_empty() => {}
                    Some(ended) => return ended,
                    None => return Err("no answer".into()),
                },
                () = beside => {
                    log_lost(quiet, "no answer");
                    next = Duration::ZERO;
                    *at = (*at + 1) % addresses.len();
                    self.on_fetch_failed();
                    calls.push(call(addresses[*at], self.full_list_request(), patience, None));
                }
            }
        }
    }
}

/// The old list stands. One line for a whole outage, however many calls fail in it.
fn log_lost(quiet: &mut bool, cause: &str) {
    if !std::mem::replace(quiet, true) {
        warn!(cause = %cause, "discovery: {cause}");
    }
}

/// One call: a watch for what is newer than a version, else the whole list; its answer, and its connection.
async fn call(
    agent: SocketAddr,
    since: Option<(u64, Duration)>,
    patience: Duration,
    link: Option<Connection>,
) -> Result<(HostList, Connection), FetchError> {
    let wait = since.map_or(Duration::ZERO, |(_, wait)| wait);
    let called = timeout(wait + patience, call_within(agent, since, patience, link)).await;
    called.unwrap_or_else(|_| Err("no answer".into()))
}

async fn call_within(
    agent: SocketAddr,
    since: Option<(u64, Duration)>,
    patience: Duration,
    mut link: Option<Connection>,
) -> Result<(HostList, Connection), FetchError> {
    let ask = since.map_or(ListRequest::Full, |(since, wait)| ListRequest::Watch { since, wait });
    // The agent may have closed the connection since, or said that it would: no reason to wait with the call.
    if let Some(kept) = &mut link {
        if !kept.ready().await || !kept.is_reusable() {
            link = None;
        }
    }
    let mut link = match link {
        Some(kept) => kept,
        None => Connection::connect(agent, patience, None).await?,
    };
    let request = Request::get(ask.target()).header("host", agent.to_string()).body(Default::default());
    let answer = link.send(request?).await?;
    let status = answer.status();
    let body = collect(answer.into_body()).await.ok_or("an answer that is cut off or too long")?;
    match status {
        StatusCode::OK => {
            let list = serde_json::from_slice(&body).map_err(|e| format!("malformed list: {e}"))?;
            Ok((list, link))
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(FetchError::Busy(link)),
        _ => Err(format!("answered {status}").into()),
    }
}

#[cfg(test)]
mod tests;
