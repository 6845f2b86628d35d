//! Dispatch of buffered requests: batch API calls by path, everything else by route.
//!
//! A gateway that was suspended has an outdated configuration until its next pull. It serves live requests
//! by it, as a disconnected gateway does. What cannot be revised later, a 404 or the acceptance of a job,
//! requires a configuration within the bound for changes to take effect, `bounds.config_apply_ms`.

use crate::body::ResponseBody;
use crate::gateway::Gateway;
use crate::reply::{local_reply, rejection};
use crate::request::BufferedRequest;
use crate::{batch_api, live};
use hyper::{Response, StatusCode};
use marblecroft_configuration::{Configuration, RouteType};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// `Retry-After` while the gateway cannot execute a request because something that it needs has not
/// arrived yet, in seconds.
const RETRY_AFTER_NOT_READY: &str = "0.2";
/// Maximum time for which a job waits for the confirmation of an outdated configuration. A gateway that was
/// suspended tries up to three coordinators in this time.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of the operator call that returns the current configuration.
const CONFIGURATION_READ_PATH: &str = "/-/Config.Read";

/// Serves a request.
pub(super) async fn dispatch(gateway: &Rc<Gateway>, request: BufferedRequest) -> Response<ResponseBody> {
    if let Some(call) = batch_api::JobCall::from_request(&request) {
        return batch_api::handle_call(gateway, call).await;
    }
    if request.uri.path() == CONFIGURATION_READ_PATH {
        // A gateway cannot know that its configuration is the newest one.
        return not_ready("the coordinators tell the configuration");
    }
    match gateway.state.snapshot().configuration {
        Some(configuration) => route(gateway, &configuration, request).await,
        None => not_ready("there is no configuration yet"),
    }
}

/// Returns the time since which the configuration must have been confirmed.
fn oldest_confirmation(gateway: &Gateway) -> Option<Instant> {
    Instant::now().checked_sub(gateway.settings.bounds.config_apply)
}

/// Returns the reply to a request without a route. Clients do not repeat a request after 404.
fn no_route(gateway: &Gateway) -> Response<ResponseBody> {
    let snapshot = gateway.state.snapshot();
    if oldest_confirmation(gateway).is_none_or(|oldest| snapshot.is_confirmed_since(oldest)) {
        return local_reply(StatusCode::NOT_FOUND, "no route");
    }
    not_ready("no route is known, and the configuration may be outdated")
}

fn not_ready(text: &str) -> Response<ResponseBody> {
    rejection(StatusCode::SERVICE_UNAVAILABLE, text, RETRY_AFTER_NOT_READY)
}

async fn route(
    gateway: &Rc<Gateway>,
    configuration: &Configuration,
    request: BufferedRequest,
) -> Response<ResponseBody> {
    let Some(route) = configuration.route(request.host(), request.uri.path()).cloned() else {
        return no_route(gateway);
    };
    if route.route_type == RouteType::Batch {
        submit_job(gateway, request).await
    } else {
        live::serve(gateway, route, request).await
    }
}

/// Submits a job under the newest configuration that is available in time: an older one may allow more
/// queued tokens than the one in force.
async fn submit_job(gateway: &Rc<Gateway>, request: BufferedRequest) -> Response<ResponseBody> {
    if let Some(oldest) = oldest_confirmation(gateway) {
        // Without a confirmation the job is accepted all the same, so that batch jobs do not depend on the
        // coordinators.
        gateway.state.wait_until_confirmed_since(oldest, Instant::now() + CONFIRMATION_TIMEOUT).await;
    }
    let configuration = gateway.state.snapshot().configuration;
    let route = configuration.as_ref().and_then(|c| c.route(request.host(), request.uri.path()));
    match route {
        Some(route) if route.route_type == RouteType::Batch => {
            batch_api::submit(gateway, route, request).await
        }
        Some(route) => live::serve(gateway, route.clone(), request).await,
        None => no_route(gateway),
    }
}
