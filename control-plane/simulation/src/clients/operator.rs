//! An operator that changes and reads the configuration through random coordinators.

use crate::checker::Change;
use crate::cluster::{Client, Cluster, Request, Response, Role};
use marblecroft_control_plane_core::operator::{Call, Method};
use marblecroft_rpc::http::Reply;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a reply after which an operator tries another coordinator.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(1000);
const REPLACE_PATH: &str = "/-/Config.Replace";
const UPDATE_PATH: &str = "/-/Config.Update";
/// Maximum number of redirects that one attempt follows.
const MAX_REDIRECTS: usize = 2;
/// Status that is recorded for a call without a final response.
const NO_RESPONSE_STATUS: u16 = 599;

/// The task of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorTask {
    /// Sends the change of this number until there is a final response.
    Submit(usize),
    /// Sends an acknowledged change once more.
    Resubmit(usize),
    /// Reads the configuration.
    Read,
}

/// Changes and reads the configuration, and resubmits acknowledged changes.
pub struct Operator {
    id: usize,
    /// Newest generation that is known from the replies to its changes.
    newest_generation: u64,
    task: Option<OperatorTask>,
    /// Start of the current task, or of the last attempt of a read.
    sent_at: Duration,
    /// Number of its last call.
    last_call: u64,
    /// Number of redirects that the current attempt has followed.
    redirects: usize,
    /// Number of changes created so far.
    change_count: u64,
    /// Upper bound of the random part of the pause after a reply, in milliseconds.
    think_time_spread_ms: u64,
}

/// Returns the JSON of a route; its timeout identifies the change that creates it.
fn route(name: &str, prefix: &str, change: u64) -> String {
    let timeout = 1000 + change;
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"x.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"streaming\",\
         \"timeout_ms\":{timeout},\"backend\":\"s\",\"attempts\":1}}"
    )
}

impl Operator {
    /// Returns an operator that pauses after each reply for 50 ms plus a random time below
    /// `think_time_spread_ms`.
    pub fn new(id: usize, think_time_spread_ms: u64) -> Operator {
        Operator {
            id,
            newest_generation: 0,
            task: None,
            sent_at: Duration::ZERO,
            last_call: 0,
            redirects: 0,
            change_count: 0,
            think_time_spread_ms,
        }
    }

    fn choose_task(&mut self, cluster: &mut Cluster) -> OperatorTask {
        let acknowledged = cluster.checker.configuration.acknowledged_changes();
        match cluster.rng.u32(0..10) {
            0..=1 => OperatorTask::Read,
            2 if !acknowledged.is_empty() => {
                OperatorTask::Resubmit(acknowledged[cluster.rng.usize(0..acknowledged.len())])
            }
            _ => {
                self.change_count += 1;
                let generation = self.newest_generation + 1 + cluster.rng.u64(0..2);
                let change = self.change(cluster.rng.u32(0..6));
                OperatorTask::Submit(cluster.checker.configuration.record_change(
                    self.newest_generation,
                    generation,
                    &change,
                ))
            }
        }
    }

    /// Returns a full replacement, or an update of the operator's own route. It is always a replacement while
    /// the operator knows no generation.
    fn change(&self, kind: u32) -> Change {
        let route_name = format!("u-{}", self.id);
        match kind {
            0 if self.newest_generation > 0 => Change::Remove(route_name),
            1..=2 if self.newest_generation > 0 => {
                let text = route(&route_name, &format!("/u{}/", self.id), self.change_count);
                Change::Upsert(route_name, text)
            }
            _ => {
                let name = format!("r-{}", self.id);
                let text = route(&name, "/p/", self.change_count);
                Change::Replace(vec![(name, text)])
            }
        }
    }

    fn send(&mut self, cluster: &mut Cluster, number: usize, to: usize) {
        let Some(task) = self.task else { return };
        let call = match task {
            OperatorTask::Read => {
                // A read is checked against the start of its last attempt.
                self.sent_at = cluster.now;
                Call { method: Method::Get, url: "/-/Config.Read".to_owned(), base: None, body: Vec::new() }
            }
            OperatorTask::Submit(change) | OperatorTask::Resubmit(change) => {
                let change = cluster.checker.configuration.change(change);
                Call {
                    method: Method::Post,
                    url: if change.is_update { UPDATE_PATH } else { REPLACE_PATH }.to_owned(),
                    base: Some(change.base.to_string()),
                    body: change.body.clone().into_bytes(),
                }
            }
        };
        self.last_call = cluster.call_from_client(number, to, Request::Operator(call), OPERATOR_TIMEOUT);
    }

    /// Handles a reply, and returns whether it ends the task.
    fn handle_reply(&mut self, cluster: &mut Cluster, reply: &Reply) -> bool {
        let is_final = reply.status < 500 && reply.status != 307;
        match self.task {
            Some(OperatorTask::Submit(change) | OperatorTask::Resubmit(change)) => {
                let is_resubmission = self.task == Some(OperatorTask::Resubmit(change));
                cluster.checker.configuration.on_change_reply(
                    cluster.now,
                    change,
                    if is_final { reply.status } else { NO_RESPONSE_STATUS },
                );
                if reply.status == 200 {
                    self.newest_generation =
                        self.newest_generation.max(cluster.checker.configuration.change(change).generation);
                } else if is_final && !is_resubmission {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    self.newest_generation =
                        last_number(&text).unwrap_or(self.newest_generation).max(self.newest_generation);
                }
                // A resubmission is not retried.
                is_final || is_resubmission
            }
            Some(OperatorTask::Read) if reply.status == 200 => {
                let body = String::from_utf8_lossy(&reply.body).into_owned();
                cluster.checker.configuration.on_read(self.sent_at, cluster.now, &body);
                true
            }
            Some(OperatorTask::Read) if is_final => {
                cluster.checker.report(format!("a read failed with status {}", reply.status));
                true
            }
            Some(OperatorTask::Read) | None => true,
        }
    }
}

impl Client for Operator {
    fn wake(&mut self, cluster: &mut Cluster, number: usize) {
        if self.task.is_none() {
            self.task = Some(self.choose_task(cluster));
            self.sent_at = cluster.now;
        }
        let coordinators = cluster.machines_of(Role::Coordinator);
        let to = coordinators[cluster.rng.usize(0..coordinators.len())];
        self.redirects = 0;
        self.send(cluster, number, to);
    }

    fn on_reply(&mut self, cluster: &mut Cluster, number: usize, call: u64, response: Option<Response>) {
        if call != self.last_call {
            return;
        }
        let reply = match response {
            Some(Response::Operator(reply)) => reply,
            _ => Reply::status(NO_RESPONSE_STATUS),
        };
        if reply.status == 307 && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            if let Some(to) = redirect_target(cluster, &reply) {
                self.send(cluster, number, to);
                return;
            }
        }
        let think_time = Duration::from_millis(cluster.rng.u64(50..50 + self.think_time_spread_ms));
        if self.handle_reply(cluster, &reply) {
            self.task = None;
        }
        cluster.wake_client(number, think_time);
    }
}

/// Returns the machine that a redirect points to.
fn redirect_target(cluster: &Cluster, reply: &Reply) -> Option<usize> {
    let (_, location) = reply.headers.iter().find(|header| header.0 == "Location")?;
    let host = location.strip_prefix("http://")?.split('/').next()?;
    cluster.machine_at(host.parse::<SocketAddr>().ok()?)
}

/// Returns the last integer of a text. In a rejection, this is the generation in force.
fn last_number(text: &str) -> Option<u64> {
    text.split(|c: char| !c.is_ascii_digit()).filter_map(|digits| digits.parse().ok()).next_back()
}
