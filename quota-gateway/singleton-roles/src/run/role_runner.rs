//! Runs one role at one candidate: passes events to its state machine, and performs the actions.

use super::lease::{Lease, PublishOutcome};
use super::settings::{RoleMetrics, Settings};
use super::timing::{CALL_TIMEOUT, LOCK_CHECK_INTERVAL, RETRY_DELAY};
use crate::keys::{encode_value, Keys, RoleOwner};
use crate::role::{Action, Event, Role, State};
use marblecroft_coordination::client::{Client, Lock, Session};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;
use tracing::info;

/// Runs one role at one candidate during one session.
pub(super) struct RoleRunner {
    pub(super) client: Client,
    pub(super) settings: Settings,
    pub(super) keys: Keys,
    pub(super) session: Rc<Session>,
    pub(super) metrics: Rc<RoleMetrics>,
    pub(super) role: String,
}

/// The task that performs the work of a role. Dropping it aborts the task.
struct WorkTask {
    task: JoinHandle<()>,
    finish: watch::Sender<bool>,
}

impl Drop for WorkTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RoleRunner {
    /// Runs until the session ends. `assigned` contains the candidate that should own each role.
    pub(super) async fn run<W, F>(
        self,
        mut assigned: watch::Receiver<BTreeMap<String, Option<String>>>,
        work: W,
    ) where
        W: Fn(Lease) -> F,
        F: Future<Output = ()> + 'static,
    {
        let started_at = Instant::now();
        let mut role = Role::default();
        let lock: Rc<RefCell<Option<Lock>>> = Rc::default();
        let mut work_task: Option<WorkTask> = None;
        let (grant_sender, mut grant_receiver) = mpsc::channel::<Option<Lock>>(1);
        let work_ended = Rc::new(Notify::new());
        while self.session.is_alive() {
            let is_assigned = {
                let assigned = assigned.borrow_and_update();
                assigned.get(&self.role).is_some_and(|owner| owner.as_deref() == Some(&self.settings.name))
            };
            let mut events = vec![Event::Assigned(is_assigned), Event::Tick];
            let is_lock_valid = lock.borrow().as_ref().is_some_and(|lock| lock.valid_token().is_some());
            if matches!(role.state(), State::Owning(_) | State::Finishing(..)) && !is_lock_valid {
                events.push(Event::LockLost);
            }
            tokio::select! {
                _ = assigned.changed() => {}
                Some(grant) = grant_receiver.recv() => {
                    events.push(grant.as_ref().map_or(Event::NotGranted, |lock| Event::Granted(lock.token())));
                    lock.replace(grant);
                }
                () = work_ended.notified() => events.push(Event::WorkEnded),
                () = sleep(LOCK_CHECK_INTERVAL) => {}
            }
            for event in events {
                for action in role.handle(started_at.elapsed(), event) {
                    self.perform(action, &lock, &mut work_task, &grant_sender, &work_ended, &work).await;
                }
            }
        }
        self.metrics.owned_roles.borrow_mut().remove(&self.role);
    }

    /// Performs an action of the state machine.
    async fn perform<W, F>(
        &self,
        action: Action,
        lock: &Rc<RefCell<Option<Lock>>>,
        work_task: &mut Option<WorkTask>,
        grant_sender: &mpsc::Sender<Option<Lock>>,
        work_ended: &Rc<Notify>,
        work: &W,
    ) where
        W: Fn(Lease) -> F,
        F: Future<Output = ()> + 'static,
    {
        match action {
            Action::RequestLock => {
                self.request_lock(grant_sender.clone());
            }
            Action::StartWork(token) => {
                *work_task = Some(self.start_work(token, lock, work_ended.clone(), work));
            }
            Action::FinishWork => {
                if let Some(work_task) = work_task {
                    work_task.finish.send_replace(true);
                }
            }
            Action::AbortWork => {
                *work_task = None;
                self.record_role_lost("the lock may no longer be valid, or the work did not finish in time");
            }
            Action::ReleaseLock => {
                *work_task = None;
                self.record_role_lost("lock released");
                let lock = lock.borrow_mut().take();
                if let Some(lock) = lock {
                    // If the lock cannot be released, it ends with its session.
                    let _ = lock.release(CALL_TIMEOUT).await;
                }
            }
        }
    }

    /// Requests the lock of the role. The result is sent to `grant_sender`, after a delay if the request
    /// failed.
    fn request_lock(&self, grant_sender: mpsc::Sender<Option<Lock>>) {
        let (session, name) = (self.session.clone(), self.keys.lock(&self.role));
        spawn_local(async move {
            let lock = session.acquire(&name, CALL_TIMEOUT).await.ok();
            if lock.is_none() {
                sleep(RETRY_DELAY).await;
            }
            // Fails only if the session has ended, and then its locks have ended too.
            let _ = grant_sender.send(lock).await;
        });
    }

    /// Starts a task that publishes the owner and then performs the work. `work_ended` is notified when the
    /// task ends.
    fn start_work<W, F>(
        &self,
        token: u64,
        lock: &Rc<RefCell<Option<Lock>>>,
        work_ended: Rc<Notify>,
        work: &W,
    ) -> WorkTask
    where
        W: Fn(Lease) -> F,
        F: Future<Output = ()> + 'static,
    {
        info!(duty = %self.role, token, "owns {} under token {token}", self.role);
        self.metrics.owned_roles.borrow_mut().insert(self.role.clone(), token);
        self.metrics.acquisitions.set(self.metrics.acquisitions.get() + 1);
        let (finish, finish_receiver) = watch::channel(false);
        let lease = Lease {
            role: self.role.clone(),
            token,
            keys: self.keys.clone(),
            client: self.client.clone(),
            lock: lock.clone(),
            finish: finish_receiver,
            fenced_writes: self.metrics.fenced_writes.clone(),
        };
        let owner = RoleOwner {
            candidate: self.settings.name.clone(),
            report_address: self.settings.candidate.report_address.clone(),
            token,
        };
        let key = self.keys.owner(&self.role);
        let work = work(lease.clone());
        let task = spawn_local(async move {
            if lease.publish(key, encode_value(&owner)).await != PublishOutcome::LeaseLost {
                work.await;
            }
            work_ended.notify_one();
        });
        WorkTask { task, finish }
    }

    /// Removes the role from the metrics and logs the reason, if this candidate owned it.
    fn record_role_lost(&self, reason: &str) {
        if self.metrics.owned_roles.borrow_mut().remove(&self.role).is_some() {
            info!(duty = %self.role, "no longer owns {}: {reason}", self.role);
        }
    }
}
