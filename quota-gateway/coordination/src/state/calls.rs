//! Deduplication of client calls: a call takes effect once, however often it arrives. Replies are cached to
//! make the RPCs linearizable (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.3).

use super::bounds;
use super::command::{ClientId, Op, OperationError, Outcome};
use super::tables::{CachedReply, Client, State};
use super::validate::BUSY_DELAY_MS;

impl State {
    pub(super) fn call(&mut self, id: ClientId, number: u64, acknowledged: u64, op: &Op) -> Outcome {
        let request_crc = request_crc(op);
        if let Some(reply) = self.cached_reply(id, number) {
            return match reply.request_crc == request_crc {
                true => reply.outcome.clone(),
                false => Err(OperationError::Bad("number: it was used for something else".to_owned())),
            };
        }
        self.admit_call(id, number, acknowledged)?;
        let outcome = self.apply_op(op);
        if let Some(client) = self.clients.get_mut(&id) {
            client.replies.insert(number, CachedReply { request_crc, outcome: outcome.clone() });
        }
        outcome
    }

    fn cached_reply(&self, id: ClientId, number: u64) -> Option<&CachedReply> {
        self.clients.get(&id)?.replies.get(&number)
    }

    /// Registers a new client, or drops the cached replies that a registered client has acknowledged.
    fn admit_call(&mut self, id: ClientId, number: u64, acknowledged: u64) -> Result<(), OperationError> {
        let is_full = self.clients.len() >= bounds::MAX_CLIENTS;
        match self.clients.get_mut(&id) {
            Some(client) => client.admit(number, acknowledged),
            // The first call of a new client has number 1. An unregistered client that sends another number
            // has expired, and its call may have taken effect before it expired.
            None if number != 1 => Err(OperationError::Forgotten),
            None if is_full => Err(OperationError::Busy(BUSY_DELAY_MS)),
            None => {
                self.clients.insert(id, Client::default());
                Ok(())
            }
        }
    }
}

impl Client {
    fn admit(&mut self, number: u64, acknowledged: u64) -> Result<(), OperationError> {
        if number <= self.acknowledged {
            return Err(OperationError::Forgotten);
        }
        self.acknowledged = self.acknowledged.max(acknowledged.min(number - 1));
        self.replies = self.replies.split_off(&(self.acknowledged + 1));
        match self.replies.len() >= bounds::MAX_CACHED_REPLIES {
            true => Err(OperationError::Busy(BUSY_DELAY_MS)),
            false => Ok(()),
        }
    }
}

fn request_crc(op: &Op) -> u32 {
    // Serializing into memory does not fail.
    postcard::to_stdvec(op).map_or(0, |bytes| crc32fast::hash(&bytes))
}
