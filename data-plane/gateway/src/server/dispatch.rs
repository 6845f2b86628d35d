//! Dispatch of buffered requests: batch API calls by path, everything else by route.

use crate::body::ResponseBody;
use crate::gateway::Gateway;
use crate::reply::{local_reply, rejection};
use crate::request::BufferedRequest;
use crate::{batch_api, live};
use hyper::{Response, StatusCode};
use marblecroft_configuration::{Configuration, RouteType};
use std::rc::Rc;
use std::time::Instant;

/// `Retry-After` while the gateway cannot execute a request because something that it needs has not
/// arrived yet, in seconds.
const RETRY_AFTER_NOT_READY: &str = "0.2";
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

/// Returns the reply to a request without a route. Clients do not repeat a request after 404, so that
/// status requires a configuration that is not older than the bound for changes to take effect.
fn no_route(gateway: &Gateway) -> Response<ResponseBody> {
    let oldest_allowed = Instant::now().checked_sub(gateway.settings.bounds.config_apply);
    let snapshot = gateway.state.snapshot();
    if oldest_allowed.is_none_or(|time| snapshot.is_confirmed_since(time)) {
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
        batch_api::submit(gateway, &route, request).await
    } else {
        live::serve(gateway, route, request).await
    }
}
