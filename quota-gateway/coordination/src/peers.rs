//! Connections of the consensus to the other processes.

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
    /// The cluster of this process, or 0 until a new process has joined one.
    pub cluster: Rc<Cell<u64>>,
    /// IP address of the address translator, if there is one. Members are then called at this address, with
    /// their own ports.
    pub translator: Option<IpAddr>,
}

/// The connection to one process, established with the first call.
pub struct Peer {
    env: Env,
    cluster: Rc<Cell<u64>>,
    node: NodeId,
    addr: String,
    channel: Option<Channel>,
}

/// Returns the address at which a process is called: the process' own address, or, with an address
/// translator, the translator's address with the process' port.
pub fn translated(addr: &str, translator: Option<IpAddr>) -> String {
    match (translator, addr.parse::<SocketAddr>()) {
        (Some(translator), Ok(addr)) => SocketAddr::new(translator, addr.port()).to_string(),
        _ => addr.to_owned(),
    }
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, node: NodeId, member: &BasicNode) -> Peer {
        let (env, cluster) = (self.env.clone(), self.cluster.clone());
        Peer { env, cluster, node, addr: translated(&member.addr, self.translator), channel: None }
    }
}

type CallError<E> = RPCError<NodeId, <Types as RaftTypeConfig>::Node, E>;

impl Peer {
    async fn call<E: Error>(&mut self, request: Request, within: Duration) -> Result<Response, CallError<E>> {
        let call = async {
            let channel = match &self.channel {
                Some(channel) => channel.clone(),
                None => {
                    let channel = Channel::connect_in(&self.env, &self.addr, self.cluster.get()).await?;
                    self.channel.insert(channel).clone()
                }
            };
            channel.call(request).await
        };
        let result = timeout(within, call).await;
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => {
                // The next call connects again.
                self.channel = None;
                Err(RPCError::Unreachable(Unreachable::new(&e)))
            }
            Err(e) => {
                self.channel = None;
                Err(RPCError::Network(NetworkError::new(&e)))
            }
        }
    }

    /// Returns the error for a response whose kind does not match the request.
    fn unexpected<E: Error>(&self, response: &Response) -> CallError<E> {
        let e = io::Error::other(format!("unexpected kind of response: {response:?}"));
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
            Response::Append(result) => {
                result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
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
            Response::Install(result) => {
                result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
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
            Response::Vote(result) => {
                result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.node, e)))
            }
            other => Err(self.unexpected(&other)),
        }
    }
}
