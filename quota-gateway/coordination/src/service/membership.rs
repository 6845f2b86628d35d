//! Cluster membership: the creation of a cluster, and the members that operators add and remove.

use super::Service;
use crate::raft::NodeId;
use crate::wire::Response;
use openraft::error::{ChangeMembershipError, ClientWriteError, RaftError};
use openraft::{BasicNode, ChangeMembers, RaftMetrics};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time limit for a new member to receive the log. If it is exceeded, the caller must request the addition
/// again.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay of a caller while another membership change is in progress.
const MEMBERSHIP_CHANGE_DELAY_MS: u32 = 50;

type MembershipError = RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>;

impl Service {
    /// Assigns this process to a cluster, if it belongs to none yet.
    pub(super) async fn join(&self, cluster: u64) -> Response {
        match (self.cluster.get(), cluster) {
            (_, 0) => Response::Rejected("cluster: 0 names none".to_owned()),
            (own, cluster) if own == cluster => Response::Done,
            (0, cluster) => match self.log.join(cluster).await {
                Ok(()) => {
                    self.cluster.set(cluster);
                    Response::Done
                }
                Err(error) => Response::Unknown(error.to_string()),
            },
            (own, _) => Response::Rejected(format!("this process is of cluster {own:016x}")),
        }
    }

    /// Initializes the cluster with these members.
    pub(super) async fn begin(&self, members: BTreeMap<NodeId, String>) -> Response {
        let members: BTreeMap<NodeId, BasicNode> =
            members.into_iter().map(|(node, address)| (node, BasicNode::new(address))).collect();
        match self.raft.initialize(members).await {
            Ok(()) => Response::Done,
            Err(error) => Response::Rejected(error.to_string()),
        }
    }

    /// Adds a process as a voter. It first receives the complete log as a learner. When the response is
    /// [`Response::Done`], the process itself has the entry that makes it a voter.
    pub(super) async fn add(&self, node: NodeId, address: String) -> Response {
        // Without this check, a process that has only just joined a cluster would answer on its own behalf.
        if !self.is_serving() {
            return self.not_serving();
        }
        let learner = match self.raft.add_learner(node, BasicNode::new(address), true).await {
            Ok(learner) => learner,
            Err(error) => return self.membership_error(error),
        };
        // The consensus crate treats a learner as caught up if its lag in entries does not exceed a threshold.
        // If the log is shorter than the threshold, this includes a learner that has no entry at all.
        if !self.has_replicated(node, learner.log_id.index).await {
            return self.not_serving();
        }
        let voter = ChangeMembers::AddVoterIds(BTreeSet::from([node]));
        match self.raft.change_membership(voter, false).await {
            Ok(changed) if self.has_replicated(node, changed.log_id.index).await => Response::Done,
            // The process is a voter, but has not received the entry yet. A repeated request waits for it
            // again.
            Ok(_) => self.not_serving(),
            Err(error) => self.membership_error(error),
        }
    }

    /// Removes a member.
    pub(super) async fn remove(&self, node: NodeId) -> Response {
        if !self.is_serving() {
            return self.not_serving();
        }
        let others = ChangeMembers::RemoveVoters(BTreeSet::from([node]));
        match self.raft.change_membership(others, false).await {
            Ok(_) => Response::Done,
            Err(error) => self.membership_error(error),
        }
    }

    /// Waits until a process has the log up to an entry. Returns false if it does not have it in time, or if
    /// this process no longer leads.
    async fn has_replicated(&self, node: NodeId, index: u64) -> bool {
        let is_finished = |metrics: &RaftMetrics<NodeId, BasicNode>| {
            let Some(replication) = &metrics.replication else { return true };
            replication.get(&node).copied().flatten().is_some_and(|matched| matched.index >= index)
        };
        let wait = self.raft.wait(Some(REPLICATION_TIMEOUT));
        let waited = wait.metrics(is_finished, "a new member has the log").await;
        waited.is_ok_and(|metrics| metrics.replication.is_some())
    }

    fn membership_error(&self, error: MembershipError) -> Response {
        match error {
            RaftError::APIError(ClientWriteError::ForwardToLeader(_)) => self.not_leader(),
            // Often this is the same change, requested again by a caller that got no reply in time.
            RaftError::APIError(ClientWriteError::ChangeMembershipError(
                ChangeMembershipError::InProgress(_),
            )) => Response::Busy { after_ms: MEMBERSHIP_CHANGE_DELAY_MS },
            RaftError::APIError(error) => Response::Rejected(error.to_string()),
            // The change may be in the log despite the error.
            RaftError::Fatal(error) => Response::Unknown(error.to_string()),
        }
    }
}
