//! Reads the platform's list of servers, as the head of the coordinators, and gives it to all of them.
//!
//! Every process that begins to read takes a fencing token from the coordinators' state, higher than any before: a list
//! that an earlier reader gave is older than any of a later one, also where both were the same machine.

use crate::coordinator::Coordinator;
use marblecroft_control_state::{Operation, Output};
use marblecroft_protocol::servers::{ListVersion, Page, Server, ServerList};
use marblecroft_settings::CloudApi;
use marblecroft_wire::encode;
use std::thread;
use std::time::{Duration, Instant};
use tracing::warn;

/// Pause between two reads; far shorter than what a drain allows.
const READ_EVERY: Duration = Duration::from_millis(400);
/// Time for one page.
const PAGE_TIME: Duration = Duration::from_millis(800);
/// Time for taking the fencing token.
const TOKEN_TIME: Duration = Duration::from_secs(2);
/// Pages of one list. Guards against a list that does not end.
const PAGES_MOST: usize = 200;

/// Reads the whole list; `None` where a page did not come.
fn read_list(agent: &ureq::Agent, api: &CloudApi) -> Option<Vec<Server>> {
    let mut servers = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..PAGES_MOST {
        let url = format!("http://{}/instances", api.address);
        let mut get = agent.get(url);
        if let Some(token) = &token {
            get = get.query("page_token", token);
        }
        let mut response = get.call().ok()?;
        let text = response.body_mut().read_to_string().ok()?;
        let page = Page::parse(&text)?;
        servers.extend(page.servers);
        match page.next {
            Some(next) => token = Some(next),
            None => return Some(servers),
        }
        thread::sleep(Duration::from_secs_f64(1.0 / api.rate_per_s.max(1.0)));
    }
    None
}

/// Runs until the process ends.
pub fn run(coordinator: &Coordinator) {
    let Some(api) = coordinator.settings.cloud_api.clone() else { return };
    let config = ureq::Agent::config_builder().timeout_global(Some(PAGE_TIME)).proxy(None).build();
    let agent: ureq::Agent = config.into();
    let mut list = ServerList::default();
    // The view in which this process reads, and its token.
    let mut reads: Option<(u64, u64)> = None;
    loop {
        let begun = Instant::now();
        if coordinator.chain.is_head() && coordinator.fresh() {
            let view = coordinator.chain.status().view.number;
            if reads.is_none_or(|reads| reads.0 != view) {
                reads = take_token(coordinator).map(|token| (view, token));
            }
            if let Some((_, epoch)) = reads {
                read_once(coordinator, &agent, &api, epoch, &mut list);
            }
        } else {
            reads = None;
        }
        thread::sleep(READ_EVERY.saturating_sub(begun.elapsed()));
    }
}

fn take_token(coordinator: &Coordinator) -> Option<u64> {
    match coordinator.chain.submit(Operation::TakeReader, TOKEN_TIME) {
        Ok(Output::Token(token)) => Some(token),
        _ => None,
    }
}

/// Reads the list, and gives it to all coordinators if it has changed.
fn read_once(
    coordinator: &Coordinator,
    agent: &ureq::Agent,
    api: &CloudApi,
    epoch: u64,
    list: &mut ServerList,
) {
    let Some(servers) = read_list(agent, api) else {
        warn!("the list of servers could not be read");
        return;
    };
    if servers != list.servers || epoch != list.version.epoch {
        let sequence = list.version.sequence + 1;
        *list = ServerList { version: ListVersion { epoch, sequence }, servers };
        coordinator.chain.set_notice(encode(list));
    }
}
