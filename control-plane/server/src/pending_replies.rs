//! Incoming calls whose threads are blocked until the state machine replies.

use marblecroft_chain_replication::Token;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time after which a call without a reply is abandoned. Longer than the longest call, an operation followed
/// by a read, which takes up to 3.7 s.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

struct Waiting<R> {
    last_token: Token,
    senders: HashMap<Token, SyncSender<R>>,
}

/// The calls that wait for a reply, by token. The first token is 1.
pub struct PendingReplies<R> {
    waiting: Mutex<Waiting<R>>,
}

impl<R> Default for PendingReplies<R> {
    fn default() -> PendingReplies<R> {
        PendingReplies { waiting: Mutex::new(Waiting { last_token: 0, senders: HashMap::new() }) }
    }
}

impl<R> PendingReplies<R> {
    /// Submits a call under a new token with `submit`, and blocks until its reply arrives. Returns `None`
    /// after a timeout.
    pub fn wait_for(&self, submit: impl FnOnce(Token)) -> Option<R> {
        let (token, reply) = self.register();
        submit(token);
        let reply = reply.recv_timeout(REPLY_TIMEOUT).ok();
        self.lock().senders.remove(&token);
        reply
    }

    fn register(&self) -> (Token, Receiver<R>) {
        let (sender, reply) = sync_channel(1);
        let mut waiting = self.lock();
        waiting.last_token += 1;
        let token = waiting.last_token;
        waiting.senders.insert(token, sender);
        (token, reply)
    }

    /// Delivers the reply to the call with this token.
    pub fn deliver(&self, token: Token, reply: R) {
        if let Some(sender) = self.lock().senders.remove(&token) {
            // The channel has capacity for the only reply, so this fails only if the caller has timed out.
            let _ = sender.try_send(reply);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting<R>> {
        // The table is consistent after each statement, so it can be used even if a thread has panicked.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
