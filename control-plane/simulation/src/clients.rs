//! Who calls the cluster: operators, gateways that pull, and clients and runners of batch jobs.

use crate::checker::Change;
use crate::cluster::{Answer, Cluster, Request, Role};
use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_control_plane_core::operator::{Call, Method};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, Pull, VersionVector};
use marblecroft_protocol::store::{
    FinishedItem, GatewayLoad, GrantedItem, ItemId, StoreReply, StoreRequest, WorkRequest,
};
use marblecroft_rpc::http::Reply;
use marblecroft_rpc::Bytes;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// The operator moves to another coordinator after a second without reply.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a gateway lets its question be held, and waits for the answer.
const PULL_WAIT_MS: u32 = 500;
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Tokens that may wait on the only route.
pub const QUOTA: u64 = 400;
const REPLACE_PATH: &str = "/-/Config.Replace";
const UPDATE_PATH: &str = "/-/Config.Update";
/// Followed redirects of one attempt.
const MAX_REDIRECTS: usize = 2;

pub enum Client {
    Operator(Operator),
    Gateway(Gateway),
    Batch(BatchClient),
    Runner(Runner),
}

impl Client {
    pub fn wake(&mut self, world: &mut Cluster, number: usize) {
        match self {
            Client::Operator(client) => client.wake(world, number),
            Client::Gateway(client) => client.wake(world, number),
            Client::Batch(client) => client.wake(world, number),
            Client::Runner(client) => client.wake(world, number),
        }
    }

    /// Takes the answer to a call, or that there was none.
    pub fn on_reply(&mut self, world: &mut Cluster, number: usize, call: u64, answer: Option<Answer>) {
        match self {
            Client::Operator(client) => client.answered(world, number, call, answer),
            Client::Gateway(client) => client.answered(world, number, call, answer),
            Client::Batch(client) => client.answered(world, number, call, answer),
            Client::Runner(client) => client.answered(world, number, call, answer),
        }
    }
}

/// What an operator is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorTask {
    /// Sends an order, by its number, until there is a clear answer.
    Submit(usize),
    /// Sends an order once more that was acknowledged.
    Resubmit(usize),
    Read,
}

/// Changes the configuration, reads it, and sends what was acknowledged again.
pub struct Operator {
    name: usize,
    base: u64,
    task: Option<OperatorTask>,
    sent_at: Duration,
    call: u64,
    redirects: usize,
    changes: u64,
    /// Pause between two errands, in milliseconds at most.
    max_think_time_ms: u64,
}

/// A route whose name and place are of one operator.
fn route(name: &str, prefix: &str, change: u64) -> String {
    let timeout = 1000 + change;
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"x.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"streaming\",\
         \"timeout_ms\":{timeout},\"backend\":\"s\",\"attempts\":1}}"
    )
}

impl Operator {
    pub fn new(name: usize, max_think_time_ms: u64) -> Operator {
        Operator {
            name,
            base: 0,
            task: None,
            sent_at: Duration::ZERO,
            call: 0,
            redirects: 0,
            changes: 0,
            max_think_time_ms,
        }
    }

    fn wake(&mut self, world: &mut Cluster, number: usize) {
        if self.task.is_none() {
            self.task = Some(self.choose(world));
            self.sent_at = world.now;
        }
        let coordinators = world.machines_of(Role::Coordinator);
        let to = coordinators[world.rng.usize(0..coordinators.len())];
        self.redirects = 0;
        self.send(world, number, to);
    }

    fn choose(&mut self, world: &mut Cluster) -> OperatorTask {
        let acknowledged = world.checker.acknowledged_changes();
        match world.rng.u32(0..10) {
            0..=1 => OperatorTask::Read,
            2 if !acknowledged.is_empty() => {
                OperatorTask::Resubmit(acknowledged[world.rng.usize(0..acknowledged.len())])
            }
            _ => {
                self.changes += 1;
                let generation = self.base + 1 + world.rng.u64(0..2);
                let change = self.change(world.rng.u32(0..6));
                OperatorTask::Submit(world.checker.record_change(self.base, generation, &change))
            }
        }
    }

    /// A whole configuration, or a change of a route of one's own; the first can only be whole.
    fn change(&self, kind: u32) -> Change {
        let own = format!("u-{}", self.name);
        match kind {
            0 if self.base > 0 => Change::Remove(own),
            1..=2 if self.base > 0 => {
                let text = route(&own, &format!("/u{}/", self.name), self.changes);
                Change::Upsert(own, text)
            }
            _ => {
                let name = format!("r-{}", self.name);
                let text = route(&name, "/p/", self.changes);
                Change::Replace(vec![(name, text)])
            }
        }
    }

    fn send(&mut self, world: &mut Cluster, number: usize, to: usize) {
        let Some(errand) = self.task else { return };
        let call = match errand {
            OperatorTask::Read => {
                // What is read is judged by this attempt alone.
                self.sent_at = world.now;
                Call { method: Method::Get, url: "/-/Config.Read".to_owned(), base: None, body: Vec::new() }
            }
            OperatorTask::Submit(order) | OperatorTask::Resubmit(order) => {
                let order = world.checker.change(order);
                Call {
                    method: Method::Post,
                    url: if order.is_update { UPDATE_PATH } else { REPLACE_PATH }.to_owned(),
                    base: Some(order.base.to_string()),
                    body: order.body.clone().into_bytes(),
                }
            }
        };
        self.call = world.call_from_client(number, to, Request::Operator(call), OPERATOR_TIMEOUT);
    }

    fn answered(&mut self, world: &mut Cluster, number: usize, call: u64, answer: Option<Answer>) {
        if call != self.call {
            return;
        }
        let reply = match answer {
            Some(Answer::Operator(reply)) => reply,
            _ => Reply::status(599),
        };
        if reply.status == 307 && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            if let Some(to) = redirected(world, &reply) {
                self.send(world, number, to);
                return;
            }
        }
        let pause = Duration::from_millis(world.rng.u64(50..50 + self.max_think_time_ms));
        if self.take(world, &reply) {
            self.task = None;
        }
        world.wake_client(number, pause);
    }

    /// Whether the answer ends the errand.
    fn take(&mut self, world: &mut Cluster, reply: &Reply) -> bool {
        let is_final = reply.status < 500 && reply.status != 307;
        match self.task {
            Some(OperatorTask::Submit(order) | OperatorTask::Resubmit(order)) => {
                let again = self.task == Some(OperatorTask::Resubmit(order));
                world.checker.on_change_reply(world.now, order, if is_final { reply.status } else { 599 });
                if reply.status == 200 {
                    self.base = self.base.max(world.checker.change(order).generation);
                } else if is_final && !again {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    self.base = last_number(&text).unwrap_or(self.base).max(self.base);
                }
                // A repeat is not insisted on.
                is_final || again
            }
            Some(OperatorTask::Read) if reply.status == 200 => {
                let body = String::from_utf8_lossy(&reply.body).into_owned();
                world.checker.read(self.sent_at, world.now, &body);
                true
            }
            Some(OperatorTask::Read) if is_final => {
                world.checker.report(format!("a reading is answered with {}", reply.status));
                true
            }
            Some(OperatorTask::Read) | None => true,
        }
    }
}

fn redirected(world: &Cluster, reply: &Reply) -> Option<usize> {
    let (_, location) = reply.headers.iter().find(|header| header.0 == "Location")?;
    let host = location.strip_prefix("http://")?.split('/').next()?;
    world.machine_at(host.parse::<SocketAddr>().ok()?)
}

/// The last whole number of a text.
fn last_number(text: &str) -> Option<u64> {
    text.split(|c: char| !c.is_ascii_digit()).filter_map(|digits| digits.parse().ok()).next_back()
}

/// Pulls from one coordinator after the other, and begins anew now and then, as a process that was restarted does.
pub struct Gateway {
    have: VersionVector,
    body: Option<String>,
    sent: Duration,
    call: u64,
    to: usize,
}

impl Gateway {
    pub fn new(to: usize) -> Gateway {
        Gateway { have: VersionVector::default(), body: None, sent: Duration::ZERO, call: 0, to }
    }

    fn wake(&mut self, world: &mut Cluster, number: usize) {
        let coordinators = world.machines_of(Role::Coordinator);
        let to = coordinators[self.to % coordinators.len()];
        self.sent = world.now;
        let pull = CoordinatorRequest::Pull(Pull { known_versions: self.have, wait_ms: PULL_WAIT_MS });
        self.call = world.call_from_client(number, to, Request::Coordinator(pull), PULL_TIMEOUT);
    }

    fn answered(&mut self, world: &mut Cluster, number: usize, call: u64, answer: Option<Answer>) {
        if call != self.call {
            return;
        }
        let Some(Answer::Coordinator(CoordinatorReply::Updates(updates))) = answer.filter(is_fresh) else {
            self.to += 1;
            world.wake_client(number, RETRY_INTERVAL);
            return;
        };
        if let Some(update) =
            updates.configuration.filter(|update| update.sequence > self.have.configuration_sequence)
        {
            self.have.configuration_sequence = update.sequence;
            self.body = Some(String::from_utf8_lossy(&update.body.0).into_owned());
        }
        if let Some(list) = updates.servers.filter(|list| list.version > self.have.server_list_version) {
            self.have.server_list_version = list.version;
            if let Some(server) = list.servers.first() {
                world.checker.on_server_list(number, &server.id);
            }
        }
        if let Some(view) = updates.stores.filter(|view| view.number > self.have.store_view_number) {
            self.have.store_view_number = view.number;
        }
        world.checker.pulled(number, self.sent, self.body.as_deref());
        if world.rng.u32(0..60) == 0 {
            self.to = world.rng.usize(0..16);
        }
        world.wake_client(number, Duration::from_millis(1));
    }
}

fn is_fresh(answer: &Answer) -> bool {
    matches!(answer, Answer::Coordinator(CoordinatorReply::Updates(updates)) if updates.fresh)
}

/// Follows the head of the stores' chain, wherever it is.
#[derive(Default)]
struct Following {
    head: Option<usize>,
    at: usize,
    call: u64,
}

impl Following {
    fn send(&mut self, world: &mut Cluster, number: usize, request: StoreRequest) {
        let stores = world.machines_of(Role::Store);
        let to = self.head.unwrap_or_else(|| stores[self.at % stores.len()]);
        self.call = world.call_from_client(number, to, Request::Store(request), STORE_TIMEOUT);
    }

    /// The reply of a head; `None` where another store is to be asked.
    fn take(&mut self, world: &Cluster, answer: Option<Answer>) -> Option<StoreReply> {
        let reply = match answer {
            Some(Answer::Store(reply)) => reply,
            _ => {
                self.head = None;
                self.at += 1;
                return None;
            }
        };
        match reply {
            StoreReply::NotHead(head) => {
                self.head = head.and_then(|head| world.machine_at(head));
                self.at += 1;
                None
            }
            reply => Some(reply),
        }
    }
}

/// What a batch client is doing.
enum BatchTask {
    Submit { job: String, tokens: Vec<u64>, max_queued_before: u64, attempts: usize },
    Read { job: String, start: usize },
}

/// Submits jobs, sends some of them again, and reads their results.
pub struct BatchClient {
    jobs: u64,
    task: Option<BatchTask>,
    following: Following,
    /// Pause between two errands, in milliseconds at most.
    max_think_time_ms: u64,
}

impl BatchClient {
    pub fn new(max_think_time_ms: u64) -> BatchClient {
        BatchClient { jobs: 0, task: None, following: Following::default(), max_think_time_ms }
    }

    fn wake(&mut self, world: &mut Cluster, number: usize) {
        if self.task.is_none() {
            self.task = Some(self.choose(world));
        }
        let request = match &self.task {
            Some(BatchTask::Submit { job, tokens, .. }) => StoreRequest::SubmitJob(new_job(job, tokens)),
            Some(BatchTask::Read { job, start }) => {
                StoreRequest::ReadResults { job: job.clone(), start: *start as u64, wait_ms: 0 }
            }
            None => return,
        };
        self.following.send(world, number, request);
    }

    fn choose(&mut self, world: &mut Cluster) -> BatchTask {
        let accepted = world.checker.accepted_jobs();
        if !accepted.is_empty() && world.rng.u32(0..3) > 0 {
            let (job, listed) = accepted[world.rng.usize(0..accepted.len())].clone();
            let start = world.rng.usize(0..=listed);
            return BatchTask::Read { job, start };
        }
        self.jobs += 1;
        let job = format!("job-{}", self.jobs);
        let items = world.rng.usize(1..5);
        let tokens: Vec<u64> = (0..items).map(|_| world.rng.u64(10..60)).collect();
        let most_before = world.checker.on_job_sent(&job, &tokens);
        BatchTask::Submit { job, tokens, max_queued_before: most_before, attempts: 0 }
    }

    fn answered(&mut self, world: &mut Cluster, number: usize, call: u64, answer: Option<Answer>) {
        if call != self.following.call {
            return;
        }
        let had_answer = answer.is_some();
        let reply = self.following.take(world, answer);
        match self.task.take() {
            Some(BatchTask::Submit { job, tokens, max_queued_before: most_before, attempts }) => {
                let ended = submitted(world, &job, reply, most_before, had_answer);
                if !ended && attempts < 40 {
                    let attempts = attempts + 1;
                    self.task =
                        Some(BatchTask::Submit { job, tokens, max_queued_before: most_before, attempts });
                }
            }
            Some(BatchTask::Read { job, start }) => match reply {
                Some(StoreReply::Results(page)) => {
                    let results: Vec<(String, String)> =
                        page.results.into_iter().map(|result| (result.id, text_of(result.outcome))).collect();
                    world.checker.on_results(&job, start, &results);
                }
                Some(StoreReply::NotFound) => world.checker.on_job_not_found(&job),
                _ => {}
            },
            None => {}
        }
        let pause = Duration::from_millis(world.rng.u64(20..20 + self.max_think_time_ms));
        world.wake_client(number, pause);
    }
}

/// Whether the answer to a submission is final.
fn submitted(
    world: &mut Cluster,
    job: &str,
    reply: Option<StoreReply>,
    most_before: u64,
    had_answer: bool,
) -> bool {
    match reply {
        Some(StoreReply::Accepted) => {
            world.checker.on_job_accepted(job, QUOTA);
            true
        }
        Some(StoreReply::OverQuota) => {
            world.checker.on_job_rejected(job, most_before, QUOTA);
            true
        }
        Some(StoreReply::Conflict) => {
            world.checker.report(format!("job {job} is taken for another one"));
            true
        }
        Some(StoreReply::OutcomeUnknown) => {
            world.checker.job_unclear(job);
            false
        }
        _ => {
            if !had_answer {
                world.checker.job_unclear(job);
            }
            false
        }
    }
}

fn new_job(id: &str, tokens: &[u64]) -> NewJob {
    let item = |(index, tokens): (usize, &u64)| Item {
        id: format!("{id}-{index}"),
        path: "/p/".to_owned(),
        headers: vec![("X-Model-Name".to_owned(), "m".to_owned())],
        body: Bytes(vec![1, 2, 3]),
        tokens: *tokens,
    };
    NewJob {
        id: id.to_owned(),
        route: "r".to_owned(),
        host: "x.example".to_owned(),
        items: tokens.iter().enumerate().map(item).collect(),
        max_queued_tokens: QUOTA,
        accepted_at_ms: 0,
        due_after_ms: 5000,
    }
}

fn text_of(outcome: ItemOutcome) -> String {
    match outcome {
        ItemOutcome::Completed(text) => text,
        ItemOutcome::DeadLettered => "dead".to_owned(),
    }
}

/// A gateway that runs items.
pub struct Runner {
    name: String,
    running: VecDeque<GrantedItem>,
    finished: Vec<FinishedItem>,
    runs: u64,
    following: Following,
}

impl Runner {
    pub fn new(name: String) -> Runner {
        Runner {
            name,
            running: VecDeque::new(),
            finished: Vec::new(),
            runs: 0,
            following: Following::default(),
        }
    }

    fn wake(&mut self, world: &mut Cluster, number: usize) {
        if world.rng.bool() {
            self.finish_one(world);
        }
        let work = WorkRequest {
            gateway: self.name.clone(),
            running: self.running.iter().map(|item| item.id.clone()).collect(),
            finished: self.finished.clone(),
            capacity: 4,
            load: GatewayLoad { live_requests: 0.0, slots: 64 },
            zone: "a".to_owned(),
            load_address: SocketAddr::from(([10, 9, 9, 9], 7735)),
            peers_digest: 0,
            zone_loads: Vec::new(),
        };
        self.following.send(world, number, StoreRequest::Work(work));
    }

    fn finish_one(&mut self, world: &mut Cluster) {
        let Some(item) = self.running.pop_front() else { return };
        self.runs += 1;
        let text = format!("{} run {}", self.name, self.runs);
        let ItemId { job, item: index } = &item.id;
        world.checker.item_run(job, *index as usize, &item.item.id, &text);
        self.finished.push(FinishedItem { id: item.id, outcome: ItemOutcome::Completed(text) });
    }

    fn answered(&mut self, world: &mut Cluster, number: usize, call: u64, answer: Option<Answer>) {
        if call != self.following.call {
            return;
        }
        if let Some(StoreReply::Work(reply)) = self.following.take(world, answer) {
            for finished in self.finished.drain(..) {
                world.checker.item_confirmed(&finished.id.job, finished.id.item as usize);
            }
            self.running.retain(|item| !reply.stop.contains(&item.id));
            self.running.extend(reply.granted);
        }
        let pause = Duration::from_millis(world.rng.u64(30..150));
        world.wake_client(number, pause);
    }
}
