//! The connections of the consensus to the other processes.

use crate::env::Env;
use crate::raft_types::{NodeId, Types};
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

/// Makes connections to the members of a cluster.
#[derive(Clone)]
pub struct Peers {
    /// The environment of this process.
    pub env: Env,
    /// The cluster, which a new process learns later; 0 until then.
    pub cluster: Rc<Cell<u64>>,
    /// The address at which members are called, with their own ports, if there is an address translator between.
    pub translator: Option<IpAddr>,
}

/// The connection to one process, made with the first call.
pub struct Peer {
    env: Env,
    cluster: Rc<Cell<u64>>,
    node: NodeId,
    addr: String,
    channel: Option<Channel>,
}

/// Returns the address at which a process is called: that of the address translator, with the process' port, if there is one.
pub fn translated(addr: &str, translator: Option<IpAddr>) -> String {
    match (translator, addr.parse::<SocketAddr>()) {
        (Some(translator), Ok(addr)) => SocketAddr::new(translator, addr.port()).to_string(),
        _ => addr.to_owned(),
    }
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, node: NodeId, at: &BasicNode) -> Peer {
        let (env, cluster) = (self.env.clone(), self.cluster.clone());
        Peer { env, cluster, node, addr: translated(&at.addr, self.translator), channel: None }
    }
}

type CallError<E> = RPCError<NodeId, <Types as RaftTypeConfig>::Node, E>;

impl Peer {
    async fn call<E: Error>(&mut self, request: Request, within: Duration) -> Result<Response, CallError<E>> {
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

    /// The error for a response of another kind than the request's.
    fn unexpected<E: Error>(&self, response: &Response) -> CallError<E> {
        let e = io::Error::other(format!("an answer of another kind: {response:?}"));
        RPCError::Network(NetworkError::new(&e))
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, CallError<RaftError<NodeId>>> {
        match self.call(Request::Append(rpc), option.hard_ttl()).await? {
            Response::Append(answer) => {
                answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.unexpected(&other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<NodeId>, CallError<RaftError<NodeId, InstallSnapshotError>>> {
        match self.call(Request::Install(rpc), option.hard_ttl()).await? {
            Response::Install(answer) => {
                answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.unexpected(&other)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, CallError<RaftError<NodeId>>> {
        match self.call(Request::Vote(rpc), option.hard_ttl()).await? {
            Response::Vote(answer) => {
                answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.unexpected(&other)),
        }
    }
}
