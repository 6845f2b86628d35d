//! Clients of the coordination service that read and write registers and watch them, and record what they were told: their
//! history is then judged for linearizability, for what was acknowledged and lost, and for watches that miss or go back.
//!
//! Models: readers and conditional writers that contend, an answer that is given up, watchers that resume. Leaves out: large
//! values, values that a lock or a session owns.

use crate::deployment::{random_stream, Nanos, RandomStream, MS};
use crate::endpoint::End;
use crate::history::{CallResult, Event};
use crate::shell::World;
use marblecroft_coordination::client::{CallError, Client};
use marblecroft_coordination::state::{Change, Changes, Done, Op, Owner, Refused};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// A call that has no answer by then is given up: nobody knows what came of it.
const WAIT: Duration = Duration::from_secs(3);
const RETRY: Nanos = 100 * MS;
const PREFIX: &str = "register-";

/// Starts all of them; numbers of candidates from `first` on are theirs.
pub fn start(world: &Rc<World>, first: u16, client: impl Fn(u16) -> Client) {
    let registers = &world.scenario.registers;
    for i in 0..registers.clients as u16 {
        spawn_local(call(world.clone(), first + i, client(first + i)));
    }
    let watchers = first + registers.clients as u16;
    for i in 0..registers.watchers as u16 {
        spawn_local(watch(world.clone(), watchers + i, client(watchers + i)));
    }
}

async fn call(world: Rc<World>, number: u16, client: Client) {
    let registers = world.scenario.registers.clone();
    let mut rng = random_stream(world.seed ^ u64::from(number) << 32, RandomStream::Registers);
    let mut known = vec![0; registers.registers as usize];
    loop {
        world.until(|world| !world.stands_still(End::Candidate(number))).await;
        let register = rng.random_range(0..registers.registers) as u16;
        let key = format!("{PREFIX}{register}");
        let call = world.number();
        let at = &mut known[usize::from(register)];
        let put = rng.random_bool(0.5).then(|| {
            let expect = rng.random_bool(0.7).then_some(*at);
            (call, expect)
        });
        world.record(Event::CallStarted { client: number, call, register, put });
        let returned = match put {
            None => match client.read(&key, WAIT).await {
                // Prefixes may match more than the one.
                Ok((_, values)) => match values.into_iter().find(|(of, ..)| *of == key) {
                    Some((_, value, revision)) => {
                        CallResult::Value { value: Some(number_of(&value)), revision }
                    }
                    None => CallResult::Value { value: None, revision: 0 },
                },
                Err(_) => CallResult::NoEffect,
            },
            Some((value, expect)) => {
                let value = value.to_le_bytes().to_vec();
                match client.call(Op::Put { key, value, expect, owner: Owner::Nobody }, WAIT).await {
                    Ok(Done::At(revision)) => CallResult::Written { revision },
                    Err(CallError::Refused(Refused::Conflict(revision))) => CallResult::Conflict { revision },
                    Err(CallError::Refused(Refused::Forgotten) | CallError::TimedOut) => CallResult::Unknown,
                    Ok(_) | Err(CallError::Refused(_) | CallError::Rejected(_)) => CallResult::NoEffect,
                }
            }
        };
        match returned {
            CallResult::Value { revision, .. }
            | CallResult::Written { revision }
            | CallResult::Conflict { revision } => {
                *at = revision;
            }
            CallResult::NoEffect | CallResult::Unknown => {}
        }
        world.record(Event::CallReturned { call, result: returned });
        let pause = registers.every_ms * MS;
        world.sleep_until(world.now() + rng.random_range(pause / 2..=pause * 3 / 2)).await;
    }
}

fn number_of(value: &[u8]) -> u64 {
    // Nobody else writes there; what is no number is none that was written.
    value.try_into().map_or(u64::MAX, u64::from_le_bytes)
}

async fn watch(world: Rc<World>, number: u16, client: Client) {
    loop {
        let Ok((mut since, _)) = client.read(PREFIX, WAIT).await else {
            world.sleep_until(world.now() + RETRY).await;
            continue;
        };
        world.record(Event::Watched { watcher: number, since: None, upto: since, changes: Vec::new() });
        loop {
            world.until(|world| !world.stands_still(End::Candidate(number))).await;
            match client.changes_since(PREFIX, since, WAIT).await {
                Ok(Changes::Changes { upto, changes }) => {
                    let told = changes.iter().filter_map(|(revision, change)| match change {
                        Change::Value { key, value } => {
                            let register = key.strip_prefix(PREFIX)?.parse().ok()?;
                            Some((*revision, register, number_of(value)))
                        }
                        _ => None,
                    });
                    let changes = told.collect();
                    world.record(Event::Watched { watcher: number, since: Some(since), upto, changes });
                    since = upto;
                }
                Ok(Changes::Lost { .. }) => break,
                Err(_) => world.sleep_until(world.now() + RETRY).await,
            }
        }
    }
}
