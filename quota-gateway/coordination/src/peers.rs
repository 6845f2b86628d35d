//! How the consensus reaches the other processes.

use crate::env::Env;
use crate::raft::{NodeId, Types};
use crate::wire::{Channel, Request, Response};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, RaftTypeConfig};
use std::cell::Cell;
use std::error::Error;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Reaches the members of a cluster; which one that is may be known only later.
#[derive(Clone)]
pub struct Peers {
    pub env: Env,
    pub cluster: Rc<Cell<u64>>,
    /// Members are called at this address, with their own ports: where they stand behind a translator.
    pub at: Option<IpAddr>,
}

/// The way to one process.
pub struct Peer {
    env: Env,
    cluster: Rc<Cell<u64>>,
    node: NodeId,
    addr: String,
    channel: Option<Channel>,
}

/// An address as it is called: at another host, where there is a translator.
pub fn translated(addr: &str, at: Option<IpAddr>) -> String {
    match (at, addr.parse::<SocketAddr>()) {
        (Some(at), Ok(addr)) => SocketAddr::new(at, addr.port()).to_string(),
        _ => addr.to_owned(),
    }
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, node: NodeId, at: &BasicNode) -> Peer {
        let (env, cluster) = (self.env.clone(), self.cluster.clone());
        Peer { env, cluster, node, addr: translated(&at.addr, self.at), channel: None }
    }
}

type Failed<E> = RPCError<NodeId, <Types as RaftTypeConfig>::Node, E>;

impl Peer {
    async fn call<E: Error>(&mut self, request: Request, within: Duration) -> Result<Response, Failed<E>> {
        let asked = async {
            let channel = match &self.channel {
                Some(channel) => channel.clone(),
                None => {
                    let channel = Channel::connect_in(&self.env, &self.addr, self.cluster.get()).await?;
                    self.channel.insert(channel).clone()
                }
            };
            channel.call(request).await
        };
        let answered = timeout(within, asked).await;
        match answered {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => {
                // The next call connects anew.
                self.channel = None;
                Err(RPCError::Unreachable(Unreachable::new(&e)))
            }
            Err(e) => {
                self.channel = None;
                Err(RPCError::Network(NetworkError::new(&e)))
            }
        }
    }

    /// The answer of another kind than what was asked.
    fn strange<E: Error>(&mut self, response: &Response) -> Failed<E> {
        let e = io::Error::other(format!("an answer of another kind: {response:?}"));
        RPCError::Network(NetworkError::new(&e))
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, Failed<RaftError<NodeId>>> {
        match self.call(Request::Append(rpc), option.hard_ttl()).await? {
            Response::Append(answer) => {
                answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.strange(&other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<NodeId>, Failed<RaftError<NodeId, InstallSnapshotError>>> {
        match self.call(Request::Install(rpc), option.hard_ttl()).await? {
            Response::Install(answer) => {
                answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.strange(&other)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, Failed<RaftError<NodeId>>> {
        match self.call(Request::Vote(rpc), option.hard_ttl()).await? {
            Response::Vote(answer) => {
                answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.strange(&other)),
        }
    }
}
