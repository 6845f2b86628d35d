//! Follows the entries published in the coordination service.

use super::timing::{CALL_TIMEOUT, RENEW_INTERVAL, RETRY_DELAY};
use crate::view::View;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::state::Changes;
use std::time::Duration;
use tokio::time::sleep;

/// Follows all entries under a prefix, and calls `on_view` with the view after each response. Never returns.
pub async fn follow(client: Client, prefix: String, clock: impl Fn() -> Duration, on_view: impl Fn(&View)) {
    let mut view = View::default();
    loop {
        let requested_at = clock();
        let mut since = match client.read(&prefix, CALL_TIMEOUT).await {
            Ok((revision, values)) => {
                view.reset(requested_at, values);
                on_view(&view);
                revision
            }
            Err(_) => {
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        loop {
            let requested_at = clock();
            match client.changes_since(&prefix, since, RENEW_INTERVAL).await {
                Ok(Changes::Changes { last_revision, changes }) => {
                    view.apply_changes(requested_at, changes);
                    since = last_revision;
                    on_view(&view);
                }
                Ok(Changes::Lost { .. }) => break,
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }
}
