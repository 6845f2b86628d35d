//! A candidate. It opens a session, publishes its entry, follows the view and runs each role, and starts over
//! with a new session when the session is lost.

use super::follow::follow;
use super::lease::Lease;
use super::role_runner::RoleRunner;
use super::settings::{RoleMetrics, Settings};
use super::timing::{CALL_TIMEOUT, LOCK_CHECK_INTERVAL, RETRY_DELAY};
use crate::assign::assign;
use crate::keys::{decode_value, encode_value, Candidate, Keys, OperatorCommand, RoleOwner};
use crate::view::View;
use marblecroft_coordination::client::{Client, Session};
use marblecroft_coordination::state::{Op, Owner};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;
use tracing::warn;

/// Runs a candidate for roles, and never returns. `work` performs the work of an owned role until its lease
/// must finish or is lost.
pub async fn run_candidate<W, F>(
    client: Client,
    settings: Settings,
    roles: &'static [&'static str],
    metrics: Rc<RoleMetrics>,
    work: W,
) where
    W: Fn(Lease) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let keys = Keys::of(&settings.fleet);
    loop {
        // A lost session is replaced by a new one, because the candidate's entry and locks end with the
        // session.
        match client.session(&settings.name, settings.session_ttl, CALL_TIMEOUT).await {
            Ok(session) => {
                run_session(&client, &settings, &keys, session, roles, &metrics, work.clone()).await;
                warn!("the session has ended; this candidate owns no roles until it has a new session");
            }
            Err(e) => warn!("cannot open a session: {e}"),
        }
        metrics.owned_roles.borrow_mut().clear();
        sleep(RETRY_DELAY).await;
    }
}

/// Returns the candidate that should own each role, based on a view.
fn assignments(view: &View, keys: &Keys, roles: &[&str]) -> BTreeMap<String, Option<String>> {
    let prefix_of = |kind: &str| format!("{}{kind}/", keys.prefix);
    let (candidates, owners, commands) = (prefix_of("candidate"), prefix_of("owner"), prefix_of("order"));
    let candidates: BTreeMap<String, Candidate> = view
        .entries_under(&candidates)
        .filter_map(|(name, value)| Some((name.to_owned(), decode_value(value)?)))
        .collect();
    let owners: BTreeMap<String, String> = view
        .entries_under(&owners)
        .filter_map(|(role, value)| Some((role.to_owned(), decode_value::<RoleOwner>(value)?.candidate)))
        .collect();
    let commands: BTreeMap<String, OperatorCommand> = view
        .entries_under(&commands)
        .filter_map(|(role, value)| Some((role.to_owned(), decode_value(value)?)))
        .collect();
    assign(roles, &candidates, &owners, &commands)
}

/// Runs the candidate for the duration of one session.
async fn run_session<W, F>(
    client: &Client,
    settings: &Settings,
    keys: &Keys,
    session: Session,
    roles: &'static [&'static str],
    metrics: &Rc<RoleMetrics>,
    work: W,
) where
    W: Fn(Lease) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let session = Rc::new(session);
    let put = Op::Put {
        key: keys.candidate(&settings.name),
        value: encode_value(&settings.candidate),
        expect: None,
        owner: Owner::Session(session.id()),
    };
    if let Err(e) = session.call(put, CALL_TIMEOUT).await {
        warn!("cannot publish the candidate's entry: {e}");
        return;
    }
    let (assignments_sender, _) = watch::channel(BTreeMap::new());
    let assignments_sender = Rc::new(assignments_sender);
    let follower = {
        let (assignments_sender, keys, client) = (assignments_sender.clone(), keys.clone(), client.clone());
        let started_at = Instant::now();
        spawn_local(async move {
            let prefix = keys.prefix.clone();
            follow(
                client,
                prefix,
                || started_at.elapsed(),
                |view| {
                    let assignments = assignments(view, &keys, roles);
                    assignments_sender.send_if_modified(|assigned| {
                        (*assigned != assignments).then(|| *assigned = assignments).is_some()
                    });
                },
            )
            .await;
        })
    };
    let runners: Vec<JoinHandle<()>> = roles
        .iter()
        .map(|role| {
            let runner = RoleRunner {
                client: client.clone(),
                settings: settings.clone(),
                keys: keys.clone(),
                session: session.clone(),
                metrics: metrics.clone(),
                role: (*role).to_owned(),
            };
            spawn_local(runner.run(assignments_sender.subscribe(), work.clone()))
        })
        .collect();
    while session.is_alive() {
        sleep(LOCK_CHECK_INTERVAL).await;
    }
    session.stop_renewing();
    for task in runners {
        // Each runner ends because the session has ended. An error means that it panicked, so it has ended
        // too.
        let _ = task.await;
    }
    follower.abort();
}
