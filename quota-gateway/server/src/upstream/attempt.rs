//! One attempt of a request at a server, up to the head of the response.

use super::pool::{Acquired, ConnectionPool, PooledConnection};
use super::request::{AttemptEnd, AttemptWindow, ServedResponse, UpstreamRequest, EXPIRES_IN};
use super::{ServerProcess, Upstream};
use crate::body::request_body::{Delivery, OutgoingBody};
use crate::shard_map::{ShardRouting, EPOCH, MAX_MAP_UPDATE_WAIT};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Request, Response};
use marblecroft_quota_gateway_core::Status;
use std::rc::Rc;
use std::time::Instant;

/// The reason why an attempt that has a connection is not written.
enum NotWritten {
    /// The attempt is no longer valid, or no time remains.
    Obsolete,
    /// The firm's shard may not currently be written at this server.
    ShardClosed,
}

/// Guards an attempt that has no response yet.
///
/// If the server has sent nothing on any connection since the attempt began, its machine may be lost:
/// existing connections to it stay open without traffic, whereas a new connect fails, which proves that
/// nothing ran. When such an attempt is abandoned, the idle connections to the server are closed.
struct PendingResponse<'a> {
    pool: &'a ConnectionPool,
    process: ServerProcess,
    sent_at: Instant,
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        if !self.pool.has_activity_since(&self.process, self.sent_at) {
            self.pool.close_idle(&self.process);
        }
    }
}

impl Upstream {
    /// Makes one attempt at `process`. `on_stream` is called with a streamed response when it begins.
    ///
    /// A pooled connection that turns out to be closed is replaced within the attempt if nothing was written.
    pub async fn attempt(
        &self,
        process: ServerProcess,
        request: &UpstreamRequest,
        window: AttemptWindow,
        on_stream: impl Fn(ServedResponse),
    ) -> AttemptEnd {
        // Another attempt has consumed the streamed body.
        let Some(body) = OutgoingBody::take(&request.body) else { return Status::NotSent.into() };
        let mut message = outgoing_message(&process, request, body);
        loop {
            let Acquired { mut connection, idle_for } =
                match self.pool.acquire(&process, &request.budget).await {
                    Ok(acquired) => acquired,
                    Err(status) => {
                        message.into_body().put_back();
                        return status.into();
                    }
                };
            if connection.ready().await {
                if let Err(cause) = self.authorize(&process, request, window, message.headers_mut()) {
                    message.into_body().put_back();
                    self.put_back(process, connection);
                    return self.on_not_written(request, cause).await;
                }
                let sent_at = Instant::now();
                let _pending = PendingResponse { pool: &self.pool, process, sent_at };
                let sent = connection.try_send(message).await;
                self.on_activity(process);
                match sent {
                    Ok(response) => {
                        return self.on_response(process, connection, request, response, on_stream).await
                    }
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => {
                            request.budget.cancel_attempt();
                            message = unsent;
                        }
                        // The last byte was not written, so the request did not run.
                        None if request.delivery() != Delivery::Complete => {
                            return Status::ConnectFailed.into()
                        }
                        // At least a part was written, and the request may have run.
                        None => {
                            self.pool.on_reset(idle_for, sent_at);
                            return Status::Reset.into();
                        }
                    },
                }
            }
            // The connection was closed before anything was written. A pooled one is replaced within the same
            // attempt. A new one counts as a failed connect.
            if idle_for.is_none() {
                message.into_body().put_back();
                return Status::ConnectFailed.into();
            }
        }
    }

    /// Decides, immediately before the request is written, whether it may be, and sets the headers that
    /// depend on this instant.
    fn authorize(
        &self,
        process: &ServerProcess,
        request: &UpstreamRequest,
        window: AttemptWindow,
        headers: &mut HeaderMap,
    ) -> Result<(), NotWritten> {
        if !self.may_write(process, request, window.begin_by) {
            return Err(NotWritten::Obsolete);
        }
        let timeout = request
            .budget
            .begin_attempt(window.ends_at, self.pool.response_transit())
            .ok_or(NotWritten::Obsolete)?;
        if let Ok(timeout) = HeaderValue::from_str(&format!("{:.3}", timeout.as_secs_f64())) {
            headers.insert(EXPIRES_IN, timeout);
        }
        if let Some((shards, firm)) = self.written_shard(request) {
            let Some(epoch) = shards.epoch(firm, process.server) else {
                request.budget.cancel_attempt();
                return Err(NotWritten::ShardClosed);
            };
            headers.insert(EPOCH, epoch);
        }
        Ok(())
    }

    async fn on_not_written(&self, request: &UpstreamRequest, cause: NotWritten) -> AttemptEnd {
        match (cause, self.written_shard(request)) {
            (NotWritten::ShardClosed, Some((shards, firm))) => rejected_by_cell(shards, firm, request).await,
            _ => Status::NotSent.into(),
        }
    }

    async fn on_response(
        &self,
        process: ServerProcess,
        connection: PooledConnection,
        request: &UpstreamRequest,
        response: Response<Incoming>,
        on_stream: impl Fn(ServedResponse),
    ) -> AttemptEnd {
        let shard = self.written_shard(request);
        let is_wrong_epoch = shard.is_some_and(|(shards, _)| shards.epoch_due(response.headers()).is_some());
        let end = self.read_response(process, connection, request, response, on_stream).await;
        match shard {
            // The write did not run, and the rejection is no evidence about the server's health.
            Some((shards, firm)) if is_wrong_epoch && end.status == Status::Rejected => {
                rejected_by_cell(shards, firm, request).await
            }
            _ => end,
        }
    }

    /// The shard map and the firm whose shard the request writes, if it writes one.
    fn written_shard(&self, request: &UpstreamRequest) -> Option<(&Rc<ShardRouting>, u64)> {
        self.shard_routing.as_ref().zip(request.written_firm)
    }
}

/// Builds the message to a server.
fn outgoing_message(
    process: &ServerProcess,
    request: &UpstreamRequest,
    body: OutgoingBody,
) -> Request<OutgoingBody> {
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = request.headers.clone();
    if let Ok(host) = HeaderValue::from_str(&process.addr.to_string()) {
        message.headers_mut().insert(HOST, host);
    }
    message
}

/// Ends an attempt that was not written, or was rejected, because its shard is not open at this cell. Waits
/// until the shard's new cell is known, for at most [`MAX_MAP_UPDATE_WAIT`] and the time remaining.
async fn rejected_by_cell(shards: &ShardRouting, firm: u64, request: &UpstreamRequest) -> AttemptEnd {
    let max_wait = request.budget.limit_wait(MAX_MAP_UPDATE_WAIT);
    let moved_to_cell = shards.wait_for_move(firm, max_wait).await;
    AttemptEnd { moved_to_cell, ..Status::NotSent.into() }
}
