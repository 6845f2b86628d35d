//! Candidates: stand-ins of processes that would own work of the fleet, each with a client of the coordination service.
//!
//! Models: sessions that are renewed, locks that are waited for, a check before each act, a stop between the check and its effect,
//! effects that come late to the place that takes them. Leaves out: what the work is, and that it takes time.

use crate::deployment::{random_stream, Nanos, RandomStream, MS, SECOND};
use crate::endpoint::End;
use crate::history::Event;
use crate::shell::World;
use marblecroft_coordination::client::{Client, Lock};
use marblecroft_coordination::fencing::FencedResource;
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// An owner acts this often.
const ACT_EVERY: Nanos = 20 * MS;
/// It gives a lock back of its own accord after one act in so many.
const GIVE_BACK: f64 = 0.004;
const WAIT: Duration = Duration::from_secs(10);
const RETRY: Nanos = 100 * MS;

/// All candidates, and the places that take their effects.
pub struct Owners {
    world: Rc<World>,
    fences: RefCell<Vec<FencedResource>>,
    /// Who owns each lock, as far as the lab knows.
    owner: RefCell<BTreeMap<u16, u16>>,
}

impl Owners {
    /// Candidates, each with a client that reaches the coordinators from its place.
    pub fn start(world: &Rc<World>, client: impl Fn(u16) -> Client) -> Rc<Owners> {
        let owners = &world.scenario.owners;
        let all = Rc::new(Owners {
            world: world.clone(),
            fences: RefCell::new(vec![FencedResource::default(); owners.locks as usize]),
            owner: RefCell::default(),
        });
        for candidate in 0..owners.candidates as u16 {
            spawn_local(all.clone().candidate(candidate, client(candidate)));
        }
        all
    }

    /// Who owns a lock of this name.
    pub fn owner(&self, name: &str) -> Option<End> {
        let lock: u16 = name.strip_prefix("lock-")?.parse().ok()?;
        self.owner.borrow().get(&lock).map(|candidate| End::Candidate(*candidate))
    }

    /// A session after the other, for good.
    async fn candidate(self: Rc<Self>, candidate: u16, client: Client) {
        let ttl = Duration::from_millis(self.world.scenario.owners.session_ms);
        loop {
            self.goes_on(candidate).await;
            let Ok(session) = client.session(&format!("candidate-{candidate}"), ttl, WAIT).await else {
                self.world.sleep_until(self.world.now() + RETRY).await;
                continue;
            };
            let session = Rc::new(session);
            let works: Vec<_> = (0..self.world.scenario.owners.locks as u16)
                .map(|lock| {
                    let (all, session) = (self.clone(), session.clone());
                    spawn_local(async move {
                        while session.is_alive() {
                            let asked = all.world.now();
                            let name = format!("lock-{lock}");
                            if let Ok(held) = session.acquire(&name, WAIT).await {
                                all.own(candidate, lock, asked, held).await;
                            }
                            all.world.sleep_until(all.world.now() + RETRY).await;
                        }
                        // A renewal that comes through after all must not keep what nobody here acts under any more.
                        session.let_lapse();
                    })
                })
                .collect();
            for work in works {
                // A work that panicked is a defect of the lab, which its own task reports.
                drop(work.await);
            }
        }
    }

    /// Acts for as long as the lock allows.
    async fn own(&self, candidate: u16, lock: u16, asked: Nanos, held: Lock) {
        let token = held.token();
        self.world.record(Event::Granted { candidate, lock, token, asked });
        self.owner.borrow_mut().insert(lock, candidate);
        let mut rng = random_stream(self.world.seed ^ token, RandomStream::Candidates);
        while let Some(token) = held.valid_token() {
            self.world.record(Event::ActionStarted { candidate, lock, token });
            // Here a process may stop, between the check and the act.
            self.goes_on(candidate).await;
            let admitted = self.fences.borrow_mut()[usize::from(lock)].admit(token).is_ok();
            self.world.record(Event::Effect { candidate, lock, token, admitted });
            if rng.random::<f64>() < GIVE_BACK {
                // Whether or not the service hears of it, nothing is done under it any more.
                drop(held.release(WAIT).await);
                break;
            }
            self.world.sleep_until(self.world.now() + rng.random_range(ACT_EVERY / 2..ACT_EVERY * 2)).await;
        }
        let mut owner = self.owner.borrow_mut();
        if owner.get(&lock) == Some(&candidate) {
            owner.remove(&lock);
        }
    }

    /// Waits while this candidate stands still.
    async fn goes_on(&self, candidate: u16) {
        let end = End::Candidate(candidate);
        self.world.until(|world| !world.stands_still(end)).await;
    }
}

/// The longest that a start of the cluster may take.
pub const BEGIN_MOST: Nanos = 20 * SECOND;
