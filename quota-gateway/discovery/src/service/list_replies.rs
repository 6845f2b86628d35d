//! List responses: each is encoded once for all readers with the same version, and full lists are
//! rate-limited.

use marblecroft_discovery::http::ok_response;
use marblecroft_discovery::store::Store;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The maximum number of cached responses. Readers have few different versions.
const MAX_CACHED_REPLIES: usize = 64;

/// An encoded response that several connections can send.
pub type SharedReply = Rc<[u8]>;

/// The responses that were encoded for the store's current version.
#[derive(Default)]
pub struct ReplyCache {
    version: u64,
    /// The responses by the version that the reader has; `None` for the full list.
    by_since: HashMap<Option<u64>, SharedReply>,
    encodings: u64,
}

impl ReplyCache {
    /// Returns the response for a reader with this version, which the history must cover, or for one without
    /// a version.
    pub fn get(&mut self, store: &Store, since: Option<u64>) -> SharedReply {
        if self.version != store.version() || self.by_since.len() >= MAX_CACHED_REPLIES {
            self.version = store.version();
            self.by_since.clear();
        }
        let reply = self.by_since.entry(since).or_insert_with(|| {
            self.encodings += 1;
            ok_response(&store.encode_list(since).unwrap_or_else(|| store.encode_unchanged()), true).into()
        });
        reply.clone()
    }

    /// Returns the number of responses that were encoded since the start.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }
}

/// A token bucket that limits full lists. Its capacity is the number of tokens per second.
pub struct FullListRateLimiter {
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl FullListRateLimiter {
    /// Returns a full bucket.
    pub fn new(tokens_per_s: u32, now: Instant) -> FullListRateLimiter {
        let tokens_per_s = f64::from(tokens_per_s);
        FullListRateLimiter { tokens_per_s, tokens: tokens_per_s, refilled_at: now }
    }

    /// Takes a token. Returns whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        let refill = (now - self.refilled_at).as_secs_f64() * self.tokens_per_s;
        self.tokens = (self.tokens + refill).min(self.tokens_per_s);
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
