//! Guards that count requests in flight: per server, and over all live requests.

use crate::gateway::Gateway;
use marblecroft_protocol::servers::Server;
use marblecroft_routing::prompt::Prompt;
use std::rc::Rc;

/// A request in flight at a server. The balancer counts it until this guard is dropped.
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

    /// Returns the server.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.gateway.balancer.borrow_mut().on_finished(&self.server.id, self.gateway.now());
    }
}

/// A live request at any server. It is part of the moving average that is reported to the stores,
/// until this guard is dropped.
pub struct LiveRequestGuard(Rc<Gateway>);

impl LiveRequestGuard {
    /// Counts one more live request.
    pub fn new(gateway: &Rc<Gateway>) -> LiveRequestGuard {
        gateway.live_concurrency.increment();
        LiveRequestGuard(gateway.clone())
    }
}

impl Drop for LiveRequestGuard {
    fn drop(&mut self) {
        self.0.live_concurrency.decrement();
    }
}
