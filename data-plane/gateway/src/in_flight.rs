//! Guards that count requests while they are in flight: at a server, and as live requests.

use crate::gateway::Gateway;
use marblecroft_protocol::servers::Server;
use marblecroft_routing::prompt::Prompt;
use std::rc::Rc;

/// A request at a server. The balancer counts it there until this is dropped.
pub struct InFlightAttempt {
    gateway: Rc<Gateway>,
    server: Server,
}

impl InFlightAttempt {
    /// Counts a request with this prompt at `server`.
    pub fn new(gateway: &Rc<Gateway>, server: Server, prompt: &Prompt) -> InFlightAttempt {
        gateway.balancer.borrow_mut().on_sent(&server.id, prompt.input_tokens, gateway.now());
        InFlightAttempt { gateway: gateway.clone(), server }
    }

    /// The server.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.gateway.balancer.borrow_mut().on_finished(&self.server.id, self.gateway.now());
    }
}

/// A live request at some server. Counts for the moving average that is reported to the stores, until this is dropped.
pub struct LiveConcurrency(Rc<Gateway>);

impl LiveConcurrency {
    /// Counts one more live request.
    pub fn enter(gateway: &Rc<Gateway>) -> LiveConcurrency {
        gateway.live_concurrency.enter();
        LiveConcurrency(gateway.clone())
    }
}

impl Drop for LiveConcurrency {
    fn drop(&mut self) {
        self.0.live_concurrency.leave();
    }
}
