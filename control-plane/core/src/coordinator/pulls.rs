//! Long polls of gateways: a pull waits until there is a newer configuration, server list or stores' view
//! than the gateway has, or until its deadline.

use super::context::Context;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::Token;
use marblecroft_protocol::coordinator::{ConfigurationUpdate, ConfigurationUpdates, CoordinatorReply, Pull};
use marblecroft_protocol::servers::ServerList;
use marblecroft_rpc::{decode, Bytes};
use std::time::Duration;

/// Upper bound on the time that a pull waits, whatever the gateway requests.
const MAX_PULL_WAIT: Duration = Duration::from_millis(2000);
/// A coordinator without a valid lease replies to a pull after this time, with no updates, so that the
/// gateway tries another coordinator. Longer than the heartbeat interval (150 ms), because a heartbeat may
/// renew the lease in the meantime.
const STALE_PULL_TIMEOUT: Duration = Duration::from_millis(200);

struct PendingPull {
    token: Token,
    pull: Pull,
    received_at: Duration,
    deadline: Duration,
}

/// The list of servers that the chain broadcasts, decoded once per broadcast.
#[derive(Default)]
struct ServerListCache {
    broadcast: Vec<u8>,
    list: Option<ServerList>,
}

impl ServerListCache {
    fn refresh(&mut self, broadcast: &[u8]) {
        if self.broadcast != broadcast {
            self.list = decode(broadcast).ok();
            self.broadcast = broadcast.to_vec();
        }
    }
}

/// Pulls without a reply so far.
#[derive(Default)]
pub(super) struct PendingPulls {
    pending: Vec<PendingPull>,
    server_list: ServerListCache,
}

impl PendingPulls {
    pub(super) fn insert(&mut self, now: Duration, token: Token, pull: Pull) {
        let deadline = now + Duration::from_millis(pull.wait_ms.into()).min(MAX_PULL_WAIT);
        self.pending.push(PendingPull { token, pull, received_at: now, deadline });
    }

    /// Replies to the pulls for which there are updates, and to those that have timed out.
    pub(super) fn reply_to_ready<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if self.pending.is_empty() {
            return;
        }
        self.server_list.refresh(ctx.chain().broadcast());
        let is_fresh = ctx.has_valid_lease(now);
        // A process without a disk is rarely a member, so it does not wait for a lease.
        let stale_timeout = if ctx.settings.is_durable { STALE_PULL_TIMEOUT } else { Duration::ZERO };
        for pending in std::mem::take(&mut self.pending) {
            let updates = if is_fresh { self.updates_for(ctx, &pending.pull) } else { None };
            let has_timed_out =
                now >= pending.deadline || (!is_fresh && now >= pending.received_at + stale_timeout);
            match updates {
                Some(updates) => ctx.reply(pending.token, CoordinatorReply::Updates(updates)),
                None if has_timed_out => {
                    let updates = ConfigurationUpdates {
                        fresh: is_fresh && ctx.chain().committed_machine().is_some(),
                        coordinators: ctx.member_addresses(),
                        ..ConfigurationUpdates::default()
                    };
                    ctx.reply(pending.token, CoordinatorReply::Updates(updates));
                }
                None => self.pending.push(pending),
            }
        }
    }

    /// Returns the updates that are newer than the versions of the gateway, or `None` if there are none.
    fn updates_for<S: Storage>(&self, ctx: &Context<S>, pull: &Pull) -> Option<ConfigurationUpdates> {
        let known = pull.known_versions;
        let control = ctx.chain().committed_machine()?;
        let list = self.server_list.list.as_ref();
        let updates = ConfigurationUpdates {
            fresh: true,
            configuration: (control.sequence() > known.configuration_sequence).then(|| ConfigurationUpdate {
                sequence: control.sequence(),
                body: Bytes(control.body().unwrap_or_default().to_vec()),
            }),
            servers: list.filter(|list| list.version > known.server_list_version).cloned(),
            stores: (control.store_view().number > known.store_view_number)
                .then(|| control.store_view().clone()),
            coordinators: ctx.member_addresses(),
        };
        let has_updates =
            updates.configuration.is_some() || updates.servers.is_some() || updates.stores.is_some();
        has_updates.then_some(updates)
    }

    /// Returns when the next pull times out: at its stale timeout, or at its deadline if the stale timeout
    /// had passed at `last_input_at`.
    pub(super) fn next_wake(&self, last_input_at: Duration) -> Duration {
        let wake_at = |pending: &PendingPull| {
            let stale_at = pending.received_at + STALE_PULL_TIMEOUT;
            let next = if stale_at > last_input_at { stale_at } else { pending.deadline };
            next.min(pending.deadline)
        };
        self.pending.iter().map(wake_at).min().unwrap_or(Duration::MAX)
    }
}
