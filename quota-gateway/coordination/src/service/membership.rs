//! Who votes: the beginning of a cluster, and members that are added and removed by operators.

use super::Service;
use crate::raft::NodeId;
use crate::wire::Response;
use openraft::error::{ChangeMembershipError, ClientWriteError, RaftError};
use openraft::{BasicNode, ChangeMembers, RaftMetrics};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A new member has the log within this time, or its addition is requested again.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(5);
/// A caller comes back after this time where another change of the members is under way.
const MEMBERSHIP_CHANGE_DELAY_MS: u32 = 50;

type MembershipError = RaftError<NodeId, ClientWriteError<NodeId, BasicNode>>;

impl Service {
    /// Makes this process, which belongs to no cluster yet, belong to one.
    pub(super) async fn join(&self, cluster: u64) -> Response {
        match (self.cluster.get(), cluster) {
            (_, 0) => Response::No("cluster: 0 names none".to_owned()),
            (own, cluster) if own == cluster => Response::Done,
            (0, cluster) => match self.log.join(cluster).await {
                Ok(()) => {
                    self.cluster.set(cluster);
                    Response::Done
                }
                Err(error) => Response::Unknown(error.to_string()),
            },
            (own, _) => Response::No(format!("this process is of cluster {own:016x}")),
        }
    }

    /// Begins the cluster with these members.
    pub(super) async fn begin(&self, members: BTreeMap<NodeId, String>) -> Response {
        let members: BTreeMap<NodeId, BasicNode> =
            members.into_iter().map(|(node, address)| (node, BasicNode::new(address))).collect();
        match self.raft.initialize(members).await {
            Ok(()) => Response::Done,
            Err(error) => Response::No(error.to_string()),
        }
    }

    /// Adds a process. It first gets the complete log, without a vote; then it is a member, and knows that it is one when this
    /// is answered.
    pub(super) async fn add(&self, node: NodeId, address: String) -> Response {
        // One that belonged to no cluster until now would answer for itself.
        if !self.is_serving() {
            return self.not_serving();
        }
        let learner = match self.raft.add_learner(node, BasicNode::new(address), true).await {
            Ok(learner) => learner,
            Err(error) => return self.membership_error(error),
        };
        // The consensus takes a learner for caught up that lacks no more entries than a threshold: where the log is shorter,
        // one that has nothing.
        if !self.has_replicated(node, learner.log_id.index).await {
            return self.not_serving();
        }
        let voter = ChangeMembers::AddVoterIds(BTreeSet::from([node]));
        match self.raft.change_membership(voter, false).await {
            Ok(changed) if self.has_replicated(node, changed.log_id.index).await => Response::Done,
            // It votes by now; requested again, this waits for it again.
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

    /// Waits until a process has the log up to an entry; false where it has not in time, or this process no longer leads.
    async fn has_replicated(&self, node: NodeId, index: u64) -> bool {
        let is_over = |metrics: &RaftMetrics<NodeId, BasicNode>| {
            let Some(replication) = &metrics.replication else { return true };
            replication.get(&node).copied().flatten().is_some_and(|matched| matched.index >= index)
        };
        let wait = self.raft.wait(Some(REPLICATION_TIMEOUT));
        let waited = wait.metrics(is_over, "a new member has the log").await;
        waited.is_ok_and(|metrics| metrics.replication.is_some())
    }

    fn membership_error(&self, error: MembershipError) -> Response {
        match error {
            RaftError::APIError(ClientWriteError::ForwardToLeader(_)) => self.not_leader(),
            // Often the same change, of a caller that had no reply in time and requests it again.
            RaftError::APIError(ClientWriteError::ChangeMembershipError(
                ChangeMembershipError::InProgress(_),
            )) => Response::Busy { after_ms: MEMBERSHIP_CHANGE_DELAY_MS },
            RaftError::APIError(error) => Response::No(error.to_string()),
            // It may be in the log all the same.
            RaftError::Fatal(error) => Response::Unknown(error.to_string()),
        }
    }
}
