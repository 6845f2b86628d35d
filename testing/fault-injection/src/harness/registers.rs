//! Clients of the coordination service that read, write and watch registers, and record the results. The
//! recorded history is checked for linearizability, for lost acknowledged writes, and for watches that miss
//! changes or revert to an older revision.
//!
//! Models: contending readers and conditional writers, calls that time out, watchers that resume. Leaves out:
//! large values, and values that a lock or a session owns.

use crate::deployment::{random_stream, Nanos, RandomStream, MS};
use crate::endpoint::Endpoint;
use crate::harness::RunContext;
use crate::history::{CallResult, Event};
use marblecroft_coordination::client::{CallError, Client};
use marblecroft_coordination::state::{Change, Changes, Done, Op, OperationError, Owner};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Timeout of a call. The outcome of a write that times out is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_INTERVAL: Nanos = 100 * MS;
const PREFIX: &str = "register-";

/// Starts all clients and watchers. They use the candidate numbers from `first` on.
pub fn start(context: &Rc<RunContext>, first: u16, client: impl Fn(u16) -> Client) {
    let registers = &context.scenario.registers;
    for i in 0..registers.clients as u16 {
        spawn_local(run_client(context.clone(), first + i, client(first + i)));
    }
    let watchers = first + registers.clients as u16;
    for i in 0..registers.watchers as u16 {
        spawn_local(run_watcher(context.clone(), watchers + i, client(watchers + i)));
    }
}

async fn run_client(context: Rc<RunContext>, number: u16, client: Client) {
    let registers = context.scenario.registers.clone();
    let mut rng = random_stream(context.seed ^ u64::from(number) << 32, RandomStream::Registers);
    let mut known_revisions = vec![0; registers.registers as usize];
    loop {
        context.wait_until(|context| !context.is_suspended(Endpoint::Candidate(number))).await;
        let register = rng.random_range(0..registers.registers) as u16;
        let key = format!("{PREFIX}{register}");
        let call = context.next_id();
        let known_revision = &mut known_revisions[usize::from(register)];
        let put = rng.random_bool(0.5).then(|| {
            let expect = rng.random_bool(0.7).then_some(*known_revision);
            (call, expect)
        });
        context.record(Event::CallStarted { client: number, call, register, put });
        let result = match put {
            None => match client.read(&key, CALL_TIMEOUT).await {
                // The read is by prefix and may return other registers too.
                Ok((_, values)) => match values.into_iter().find(|(of, ..)| *of == key) {
                    Some((_, value, revision)) => {
                        CallResult::Value { value: Some(decode_value(&value)), revision }
                    }
                    None => CallResult::Value { value: None, revision: 0 },
                },
                Err(_) => CallResult::NoEffect,
            },
            Some((value, expect)) => {
                let value = value.to_le_bytes().to_vec();
                match client.call(Op::Put { key, value, expect, owner: Owner::Nobody }, CALL_TIMEOUT).await {
                    Ok(Done::At(revision)) => CallResult::Written { revision },
                    Err(CallError::Refused(OperationError::Conflict(revision))) => {
                        CallResult::Conflict { revision }
                    }
                    Err(CallError::Refused(OperationError::Forgotten) | CallError::TimedOut) => {
                        CallResult::Unknown
                    }
                    Ok(_) | Err(CallError::Refused(_) | CallError::Rejected(_)) => CallResult::NoEffect,
                }
            }
        };
        match result {
            CallResult::Value { revision, .. }
            | CallResult::Written { revision }
            | CallResult::Conflict { revision } => {
                *known_revision = revision;
            }
            CallResult::NoEffect | CallResult::Unknown => {}
        }
        context.record(Event::CallReturned { call, result });
        let interval = registers.every_ms * MS;
        context.sleep_until(context.now() + rng.random_range(interval / 2..=interval * 3 / 2)).await;
    }
}

fn decode_value(value: &[u8]) -> u64 {
    // Only these clients write registers, so a value of another length cannot be one of their writes.
    value.try_into().map_or(u64::MAX, u64::from_le_bytes)
}

async fn run_watcher(context: Rc<RunContext>, number: u16, client: Client) {
    loop {
        let Ok((mut since, _)) = client.read(PREFIX, CALL_TIMEOUT).await else {
            context.sleep_until(context.now() + RETRY_INTERVAL).await;
            continue;
        };
        context.record(Event::Watched { watcher: number, since: None, upto: since, changes: Vec::new() });
        loop {
            context.wait_until(|context| !context.is_suspended(Endpoint::Candidate(number))).await;
            match client.changes_since(PREFIX, since, CALL_TIMEOUT).await {
                Ok(Changes::Changes { last_revision, changes }) => {
                    let register_changes = changes.iter().filter_map(|(revision, change)| match change {
                        Change::Value { key, value } => {
                            let register = key.strip_prefix(PREFIX)?.parse().ok()?;
                            Some((*revision, register, decode_value(value)))
                        }
                        _ => None,
                    });
                    let changes = register_changes.collect();
                    context.record(Event::Watched {
                        watcher: number,
                        since: Some(since),
                        upto: last_revision,
                        changes,
                    });
                    since = last_revision;
                }
                Ok(Changes::Lost { .. }) => break,
                Err(_) => context.sleep_until(context.now() + RETRY_INTERVAL).await,
            }
        }
    }
}
