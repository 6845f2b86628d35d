//! Reads the platform's list of servers over HTTP, page by page.

use marblecroft_protocol::servers::{Page, Server};
use marblecroft_settings::CloudApi;
use std::thread;
use std::time::Duration;

/// Timeout for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Upper bound of the number of pages of one list. Guards against a list that does not end.
const MAX_PAGES: usize = 200;

/// A client of the platform's API. Its clones share their connections.
#[derive(Clone)]
pub struct ServerListClient {
    agent: ureq::Agent,
    api: CloudApi,
}

impl ServerListClient {
    /// Creates a client of this API.
    pub fn new(api: CloudApi) -> ServerListClient {
        let config = ureq::Agent::config_builder().timeout_global(Some(PAGE_TIMEOUT)).proxy(None).build();
        ServerListClient { agent: config.into(), api }
    }

    /// Reads the complete list. Returns `None` if a page could not be read, because servers that are missing
    /// in an incomplete list would be considered removed.
    pub fn read(&self) -> Option<Vec<Server>> {
        let mut servers = Vec::new();
        let mut page_token: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let page = self.read_page(page_token.as_deref())?;
            servers.extend(page.servers);
            match page.next {
                Some(next) => page_token = Some(next),
                None => return Some(servers),
            }
            // Stays within the rate that the platform accepts. No other process reads the list.
            thread::sleep(Duration::from_secs_f64(1.0 / self.api.rate_per_s.max(1.0)));
        }
        None
    }

    fn read_page(&self, page_token: Option<&str>) -> Option<Page> {
        let mut request = self.agent.get(format!("http://{}/instances", self.api.address));
        if let Some(page_token) = page_token {
            request = request.query("page_token", page_token);
        }
        let mut response = request.call().ok()?;
        let text = response.body_mut().read_to_string().ok()?;
        Page::parse(&text)
    }
}
