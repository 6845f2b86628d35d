//! Answers requests: the readiness check, and requests that are passed to the engine.

use super::request_reader::AdmittedRequest;
use super::response::{
    bad_request, body_timeout, payload_too_large, plain_response, response_for, Rejection,
};
use super::serving::ClientSocket;
use super::{ClientServer, DrainState};
use crate::body::request_body::{Delivery, StreamedBody};
use crate::body::response_body::ResponseBody;
use crate::engine::open_request::FinalResponse;
use crate::engine::Engine;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use marblecroft_quota_gateway_core::RequestId;
use marblecroft_transport::framing::Framing;
use std::time::Instant;

/// The path of the readiness check.
const READINESS_PATH: &str = "/up";

/// Notifies the engine if it is dropped before the response has been received: the client has disconnected,
/// which drops its connection, or the request's body was rejected.
struct DisconnectGuard<'a> {
    engine: &'a Engine,
    /// `None` once the response has been received.
    id: Option<RequestId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.engine.on_client_disconnected(id);
        }
    }
}

impl ClientServer {
    /// Answers a request.
    ///
    /// # Errors
    /// Returns the rejection of a request that is not passed to the engine, or whose body ends prematurely,
    /// is too long or is too slow.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        framing: Framing,
        socket: &ClientSocket,
    ) -> Result<Response<ResponseBody>, Rejection> {
        if framing == Framing::Ambiguous {
            return Err(bad_request("more than one length, or one beside a transfer-encoding"));
        }
        if request.uri().path() == READINESS_PATH {
            return self.readiness(request.method());
        }
        let AdmittedRequest { request, upstream_request, _open_trace_id } =
            self.read_request(request, socket).await?;
        let streamed = upstream_request.body.as_streamed().cloned();
        socket.observer.budget.replace(Some(upstream_request.budget.clone()));
        let (id, response) = self.engine.on_request(request, upstream_request);
        // Dropped on every return path, so that the core is notified of the request's end.
        let mut guard = DisconnectGuard { engine: &self.engine, id: Some(id) };
        let response = match streamed {
            None => response.await,
            Some(body) => tokio::select! {
                biased;
                response = response => response,
                rejection = body_rejection(&body) => return Err(rejection),
            },
        };
        guard.id = None;
        Ok(response_for(response.unwrap_or(FinalResponse::GatewayFault)))
    }

    fn readiness(&self, method: &Method) -> Result<Response<ResponseBody>, Rejection> {
        if method != Method::GET {
            return Err(bad_request("/up takes GET"));
        }
        let unavailable = |reason| plain_response(StatusCode::SERVICE_UNAVAILABLE, reason);
        Ok(match self.drain_state.get() {
            _ if !self.is_ready.get() => unavailable("no list of servers yet"),
            DrainState::Draining => unavailable("draining"),
            DrainState::Exiting => unavailable("ending"),
            DrainState::Open | DrainState::Replaced => plain_response(StatusCode::OK, "ready"),
        })
    }
}

/// Waits until a streamed body ends prematurely, is too long or is too slow; forever if none of this happens.
async fn body_rejection(body: &StreamedBody) -> Rejection {
    loop {
        match (body.delivery(), body.deadline()) {
            (Delivery::Truncated, _) => return bad_request("a body that is cut off"),
            (Delivery::TooLong, _) => return payload_too_large(),
            (Delivery::Complete, _) | (_, None) => return std::future::pending().await,
            (_, Some(deadline)) if deadline > Instant::now() => body.changed(deadline).await,
            _ if body.awaits_client() => return body_timeout(),
            _ => {
                return Rejection {
                    status: StatusCode::GATEWAY_TIMEOUT,
                    reason: "the body was not taken in time".into(),
                }
            }
        }
    }
}
