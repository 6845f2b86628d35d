//! Candidates: stand-ins for processes that compete for locks, each with a client of the coordination
//! service.
//!
//! Models: renewal of sessions, waiting for locks, a check of the lock before each action, a suspension
//! between the check and the effect, and effects that reach the fenced resource late. Leaves out: the work
//! itself and its duration.

use crate::deployment::{random_stream, Nanos, RandomStream, MS, SECOND};
use crate::endpoint::Endpoint;
use crate::harness::RunContext;
use crate::history::Event;
use marblecroft_coordination::client::{Client, Lock};
use marblecroft_coordination::fencing::FencedResource;
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval between the actions of a lock owner. Each interval is drawn between half and twice of it.
const ACTION_INTERVAL: Nanos = 20 * MS;
/// Probability that an owner releases its lock after an action.
const RELEASE_PROBABILITY: f64 = 0.004;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Nanos = 100 * MS;

/// All candidates, and the fenced resources on which they act.
pub struct Candidates {
    context: Rc<RunContext>,
    resources: RefCell<Vec<FencedResource>>,
    /// The candidate that acts under each lock.
    owners: RefCell<BTreeMap<u16, u16>>,
}

impl Candidates {
    /// Starts the candidates, each with its own client of the coordination service.
    pub fn start(context: &Rc<RunContext>, client: impl Fn(u16) -> Client) -> Rc<Candidates> {
        let settings = &context.scenario.owners;
        let candidates = Rc::new(Candidates {
            context: context.clone(),
            resources: RefCell::new(vec![FencedResource::default(); settings.locks as usize]),
            owners: RefCell::default(),
        });
        for candidate in 0..settings.candidates as u16 {
            spawn_local(candidates.clone().run_candidate(candidate, client(candidate)));
        }
        candidates
    }

    /// Returns the candidate that acts under the lock of this name.
    pub fn lock_owner(&self, name: &str) -> Option<Endpoint> {
        let lock: u16 = name.strip_prefix("lock-")?.parse().ok()?;
        self.owners.borrow().get(&lock).map(|candidate| Endpoint::Candidate(*candidate))
    }

    /// Opens one session after the other, and acts under the locks that it acquires.
    async fn run_candidate(self: Rc<Self>, candidate: u16, client: Client) {
        let ttl = Duration::from_millis(self.context.scenario.owners.session_ms);
        loop {
            self.wait_while_suspended(candidate).await;
            let Ok(session) = client.session(&format!("candidate-{candidate}"), ttl, CALL_TIMEOUT).await
            else {
                self.context.sleep_until(self.context.now() + RETRY_INTERVAL).await;
                continue;
            };
            let session = Rc::new(session);
            let tasks: Vec<_> = (0..self.context.scenario.owners.locks as u16)
                .map(|lock| {
                    let (candidates, session) = (self.clone(), session.clone());
                    spawn_local(async move {
                        while session.is_alive() {
                            let requested_at = candidates.context.now();
                            let name = format!("lock-{lock}");
                            if let Ok(held) = session.acquire(&name, CALL_TIMEOUT).await {
                                candidates.act_while_held(candidate, lock, requested_at, held).await;
                            }
                            candidates.context.sleep_until(candidates.context.now() + RETRY_INTERVAL).await;
                        }
                        // A late renewal must not extend a session that is no longer used.
                        session.stop_renewing();
                    })
                })
                .collect();
            for task in tasks {
                // A panic in a task is a defect of the harness; the panic hook has reported it.
                drop(task.await);
            }
        }
    }

    /// Acts under a lock until it is no longer valid or is released.
    async fn act_while_held(&self, candidate: u16, lock: u16, requested_at: Nanos, held: Lock) {
        let token = held.token();
        self.context.record(Event::Granted { candidate, lock, token, requested_at });
        self.owners.borrow_mut().insert(lock, candidate);
        let mut rng = random_stream(self.context.seed ^ token, RandomStream::Candidates);
        while let Some(token) = held.valid_token() {
            self.context.record(Event::ActionStarted { candidate, lock, token });
            // A process may be suspended here, between the check and the action.
            self.wait_while_suspended(candidate).await;
            let admitted = self.resources.borrow_mut()[usize::from(lock)].admit(token).is_ok();
            self.context.record(Event::Effect { candidate, lock, token, admitted });
            if rng.random::<f64>() < RELEASE_PROBABILITY {
                // The candidate stops acting under the lock even if the release does not reach the service.
                drop(held.release(CALL_TIMEOUT).await);
                break;
            }
            self.context
                .sleep_until(self.context.now() + rng.random_range(ACTION_INTERVAL / 2..ACTION_INTERVAL * 2))
                .await;
        }
        let mut owners = self.owners.borrow_mut();
        if owners.get(&lock) == Some(&candidate) {
            owners.remove(&lock);
        }
    }

    /// Waits while a candidate is suspended.
    async fn wait_while_suspended(&self, candidate: u16) {
        let endpoint = Endpoint::Candidate(candidate);
        self.context.wait_until(|context| !context.is_suspended(endpoint)).await;
    }
}

/// Timeout for the start of the coordination cluster, and for the controllers' first decisions.
pub const CLUSTER_START_TIMEOUT: Nanos = 20 * SECOND;
