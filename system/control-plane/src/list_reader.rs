//! Reads the platform's list of servers, as the head of the coordinators, and gives it to all of them.
//!
//! The role's fencing token is the number of the view in which the reader is the head: a list of an earlier view is older
//! than any of a later one.

use crate::coordinator::Coordinator;
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
    loop {
        let begun = Instant::now();
        if coordinator.chain.is_head() && coordinator.fresh() {
            let epoch = coordinator.chain.status().view.number;
            match read_list(&agent, &api) {
                Some(servers) => {
                    if servers != list.servers || epoch != list.version.epoch {
                        let sequence = list.version.sequence + 1;
                        list = ServerList { version: ListVersion { epoch, sequence }, servers };
                        coordinator.chain.set_notice(encode(&list));
                    }
                }
                None => warn!("the list of servers could not be read"),
            }
        }
        thread::sleep(READ_EVERY.saturating_sub(begun.elapsed()));
    }
}
