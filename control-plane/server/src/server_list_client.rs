//! Reads the platform's list of servers.

use marblecroft_protocol::servers::{Page, Server};
use marblecroft_settings::CloudApi;
use std::thread;
use std::time::Duration;

/// Time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pages of one list. Guards against a list that does not end.
const MAX_PAGES: usize = 200;

/// Reads lists; keeps its connection.
#[derive(Clone)]
pub struct ServerListClient {
    agent: ureq::Agent,
    api: CloudApi,
}

impl ServerListClient {
    pub fn new(api: CloudApi) -> ServerListClient {
        let config = ureq::Agent::config_builder().timeout_global(Some(PAGE_TIMEOUT)).proxy(None).build();
        ServerListClient { agent: config.into(), api }
    }

    /// The whole list; `None` where a page did not come.
    pub fn read(&self) -> Option<Vec<Server>> {
        let mut servers = Vec::new();
        let mut token: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let mut get = self.agent.get(format!("http://{}/instances", self.api.address));
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
            thread::sleep(Duration::from_secs_f64(1.0 / self.api.rate_per_s.max(1.0)));
        }
        None
    }
}
