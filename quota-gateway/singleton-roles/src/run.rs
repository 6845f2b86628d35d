//! The shell: a candidate on the coordination client, and whoever only follows what is published.

use crate::assign::assign;
use crate::keys::{read, write, Candidate, Names, OperatorCommand, RoleOwner};
use crate::role::{Action, Event, Role, State};
use crate::view::View;
use marblecroft_coordination::client::{Client, Failed, Lock, Session};
use marblecroft_coordination::state::{Changes, Op, Owner, Refused};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// A call is waited for at most this long; what it would have changed is tried again.
const CALL: Duration = Duration::from_secs(5);
/// A follower asks again at least this often, so that what it holds is renewed.
const RENEW: Duration = Duration::from_secs(1);
/// Between tries that failed.
const RETRY: Duration = Duration::from_millis(200);
/// An owner looks this often whether it can still show its lock.
const LOOK: Duration = Duration::from_millis(50);

/// Follows everything under a prefix, for good. `seen` is called whenever an answer came, with the view and an instant before its
/// question left; it holds no borrow of the view while it waits.
pub async fn follow(client: Client, prefix: String, clock: impl Fn() -> Duration, seen: impl Fn(&View)) {
    let mut view = View::default();
    loop {
        let asked = clock();
        let mut since = match client.read(&prefix, CALL).await {
            Ok((revision, values)) => {
                view.reset(asked, values);
                seen(&view);
                revision
            }
            Err(_) => {
                sleep(RETRY).await;
                continue;
            }
        };
        loop {
            let asked = clock();
            match client.changes_since(&prefix, since, RENEW).await {
                Ok(Changes::Changes { upto, changes }) => {
                    view.change(asked, changes);
                    since = upto;
                    seen(&view);
                }
                Ok(Changes::Lost { .. }) => break,
                Err(_) => sleep(RETRY).await,
            }
        }
    }
}

/// What came of a word of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// It is published.
    Taken,
    /// It may have been, or may yet be.
    Unknown,
    /// This is no longer the owner's word, and the work has to end.
    Over,
}

/// A duty that is owned, for its work.
#[derive(Clone)]
pub struct Lease {
    pub role: String,
    pub token: u64,
    pub names: Names,
    pub client: Client,
    lock: Rc<RefCell<Option<Lock>>>,
    finish: watch::Receiver<bool>,
    refused: Rc<Cell<u64>>,
}

impl Lease {
    /// The token to act under at this moment, if the lock can still be shown to be held.
    pub fn act(&self) -> Option<u64> {
        self.lock.borrow().as_ref().and_then(Lock::act)
    }

    /// The duty is to go to another: finish and end.
    pub fn is_to_finish(&self) -> bool {
        *self.finish.borrow()
    }

    /// Publishes under the token.
    pub async fn publish(&self, key: String, value: Vec<u8>) -> LeaseEvent {
        let Some(token) = self.act() else { return LeaseEvent::Over };
        let unknown = || if self.act().is_some() { LeaseEvent::Unknown } else { LeaseEvent::Over };
        let owner = Owner::Lock { name: self.names.lock(&self.role), token };
        let put = Op::Put { key, value, expect: None, owner };
        // Once only: sent again it may come after what was published later.
        match self.client.call(put, CALL).await {
            Ok(_) => LeaseEvent::Taken,
            Err(Failed::Refused(Refused::Fenced(_))) => {
                self.refused.set(self.refused.get() + 1);
                warn!(duty = %self.role, token, "{}: a word under token {token} came too late and is refused", self.role);
                LeaseEvent::Over
            }
            // Whether it took effect is not known; the next one says the same or more.
            Err(Failed::TimedOut) => unknown(),
            Err(e) => {
                warn!(duty = %self.role, "{}: not published: {e}", self.role);
                unknown()
            }
        }
    }

    /// Waits for so long, or until the work has to finish.
    pub async fn rest(&mut self, most: Duration) {
        drop(timeout(most, self.finish.wait_for(|finish| *finish)).await);
    }
}

/// Who a candidate is.
#[derive(Clone, Debug)]
pub struct Settings {
    pub fleet: String,
    pub who: String,
    pub candidate: Candidate,
    pub session: Duration,
}

/// What a candidate shows of itself.
#[derive(Default)]
pub struct Figures {
    /// Duties that are owned, by the token.
    pub owns: RefCell<BTreeMap<String, u64>>,
    /// Words of this one that were refused, as another one owns the duty.
    pub refused: Rc<Cell<u64>>,
    pub gained: Cell<u64>,
}

/// Is a candidate for these duties for good; `work` does one of them until its lease is to finish or cannot act any more.
pub async fn candidate<W, F>(
    client: Client,
    settings: Settings,
    duties: &'static [&'static str],
    figures: Rc<Figures>,
    work: W,
) where
    W: Fn(Lease) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let names = Names::of(&settings.fleet);
    loop {
        // Another session after each that is lost, as all that hung on it is gone.
        match client.session(&settings.who, settings.session, CALL).await {
            Ok(session) => {
                live(&client, &settings, &names, session, duties, &figures, work.clone()).await;
                warn!("the session is over; this one owns nothing until it has another");
            }
            Err(e) => warn!("no session: {e}"),
        }
        figures.owns.borrow_mut().clear();
        sleep(RETRY).await;
    }
}

/// What the view says of who should own what.
fn wanted(view: &View, names: &Names, duties: &[&str]) -> BTreeMap<String, Option<String>> {
    let under = |part: &str| format!("{}{part}/", names.prefix);
    let (candidates, owners, orders) = (under("candidate"), under("owner"), under("order"));
    let candidates: BTreeMap<String, Candidate> =
        view.under(&candidates).filter_map(|(who, value)| Some((who.to_owned(), read(value)?))).collect();
    let owners: BTreeMap<String, String> = view
        .under(&owners)
        .filter_map(|(duty, value)| Some((duty.to_owned(), read::<RoleOwner>(value)?.who)))
        .collect();
    let orders: BTreeMap<String, OperatorCommand> =
        view.under(&orders).filter_map(|(duty, value)| Some((duty.to_owned(), read(value)?))).collect();
    assign(duties, &candidates, &owners, &orders)
}

/// One session's life.
async fn live<W, F>(
    client: &Client,
    settings: &Settings,
    names: &Names,
    session: Session,
    duties: &'static [&'static str],
    figures: &Rc<Figures>,
    work: W,
) where
    W: Fn(Lease) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let session = Rc::new(session);
    let put = Op::Put {
        key: names.candidate(&settings.who),
        value: write(&settings.candidate),
        expect: None,
        owner: Owner::Session(session.id()),
    };
    if let Err(e) = client.call(put, CALL).await {
        warn!("not a candidate: {e}");
        return;
    }
    let (tell, _) = watch::channel(BTreeMap::new());
    let tell = Rc::new(tell);
    let following = {
        let (tell, names, client) = (tell.clone(), names.clone(), client.clone());
        let begun = Instant::now();
        spawn_local(async move {
            let prefix = names.prefix.clone();
            follow(
                client,
                prefix,
                || begun.elapsed(),
                |view| {
                    let wanted = wanted(view, &names, duties);
                    tell.send_if_modified(|told| (*told != wanted).then(|| *told = wanted).is_some());
                },
            )
            .await;
        })
    };
    let owned: Vec<JoinHandle<()>> = duties
        .iter()
        .map(|duty| {
            let keeper = RoleRunner {
                client: client.clone(),
                settings: settings.clone(),
                names: names.clone(),
                session: session.clone(),
                figures: figures.clone(),
                duty: (*duty).to_owned(),
            };
            spawn_local(keeper.keep(tell.subscribe(), work.clone()))
        })
        .collect();
    while session.is_alive() {
        sleep(LOOK).await;
    }
    session.let_lapse();
    for task in owned {
        // Each ends by itself, as it cannot show its lock any more.
        drop(task.await);
    }
    following.abort();
}

/// One duty in one session's life.
struct RoleRunner {
    client: Client,
    settings: Settings,
    names: Names,
    session: Rc<Session>,
    figures: Rc<Figures>,
    duty: String,
}

/// Aborts its task when it is dropped.
struct Working {
    task: JoinHandle<()>,
    finish: watch::Sender<bool>,
}

impl Drop for Working {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RoleRunner {
    async fn keep<W, F>(self, mut told: watch::Receiver<BTreeMap<String, Option<String>>>, work: W)
    where
        W: Fn(Lease) -> F,
        F: Future<Output = ()> + 'static,
    {
        let begun = Instant::now();
        let mut duty = Role::default();
        let lock: Rc<RefCell<Option<Lock>>> = Rc::default();
        let mut working: Option<Working> = None;
        let (granted, mut grants) = mpsc::channel::<Option<Lock>>(1);
        let ended = Rc::new(Notify::new());
        while self.session.is_alive() {
            let mine = {
                let told = told.borrow_and_update();
                told.get(&self.duty).is_some_and(|who| who.as_deref() == Some(&self.settings.who))
            };
            let mut events = vec![Event::Wanted(mine), Event::Tick];
            let held = lock.borrow().as_ref().is_some_and(|lock| lock.act().is_some());
            if matches!(duty.state(), State::Owning(_) | State::Finishing(..)) && !held {
                events.push(Event::Lost);
            }
            tokio::select! {
                _ = told.changed() => {}
                Some(grant) = grants.recv() => {
                    events.push(grant.as_ref().map_or(Event::NotGranted, |lock| Event::Granted(lock.token())));
                    lock.replace(grant);
                }
                () = ended.notified() => events.push(Event::Ended),
                () = sleep(LOOK) => {}
            }
            for event in events {
                for action in duty.handle(begun.elapsed(), event) {
                    self.act(action, &lock, &mut working, &granted, &ended, &work).await;
                }
            }
        }
        self.figures.owns.borrow_mut().remove(&self.duty);
    }

    async fn act<W, F>(
        &self,
        action: Action,
        lock: &Rc<RefCell<Option<Lock>>>,
        working: &mut Option<Working>,
        granted: &mpsc::Sender<Option<Lock>>,
        ended: &Rc<Notify>,
        work: &W,
    ) where
        W: Fn(Lease) -> F,
        F: Future<Output = ()> + 'static,
    {
        match action {
            Action::RequestLock => {
                let (session, name, granted) =
                    (self.session.clone(), self.names.lock(&self.duty), granted.clone());
                spawn_local(async move {
                    let lock = session.acquire(&name, CALL).await.ok();
                    if lock.is_none() {
                        sleep(RETRY).await;
                    }
                    drop(granted.send(lock).await);
                });
            }
            Action::Begin(token) => {
                info!(duty = %self.duty, token, "owns {} under token {token}", self.duty);
                self.figures.owns.borrow_mut().insert(self.duty.clone(), token);
                self.figures.gained.set(self.figures.gained.get() + 1);
                let (finish, told) = watch::channel(false);
                let lease = Lease {
                    role: self.duty.clone(),
                    token,
                    names: self.names.clone(),
                    client: self.client.clone(),
                    lock: lock.clone(),
                    finish: told,
                    refused: self.figures.refused.clone(),
                };
                let owns = RoleOwner {
                    who: self.settings.who.clone(),
                    addr: self.settings.candidate.addr.clone(),
                    token,
                };
                let (key, ended) = (self.names.owner(&self.duty), ended.clone());
                let done = work(lease.clone());
                let task = spawn_local(async move {
                    if lease.publish(key, write(&owns)).await != LeaseEvent::Over {
                        done.await;
                    }
                    ended.notify_one();
                });
                *working = Some(Working { task, finish });
            }
            Action::Finish => {
                if let Some(working) = working {
                    working.finish.send_replace(true);
                }
            }
            Action::Abort => {
                *working = None;
                self.on_session_lost("can no longer show its lock, or took too long to finish");
            }
            Action::GiveBack => {
                *working = None;
                self.on_session_lost("given back");
                let lock = lock.borrow_mut().take();
                if let Some(lock) = lock {
                    drop(lock.release(CALL).await);
                }
            }
        }
    }

    fn on_session_lost(&self, why: &str) {
        if self.figures.owns.borrow_mut().remove(&self.duty).is_some() {
            info!(duty = %self.duty, "owns {} no longer: {why}", self.duty);
        }
    }
}
