//! Processes of the coordination service: forms their cluster and replaces a member.

use super::process_config::merge;
use super::running_fleet::RunningFleet;
use super::{CALL_TIMEOUT, RENEW_INTERVAL, REPLACE_TIMEOUT};
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::candidates::{Candidates, CLUSTER_START_TIMEOUT};
use crate::harness::discovery::{addr_for, proxy_process};
use crate::harness::relay::Observer;
use crate::harness::{address, registers};
use futures_util::future::join_all;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::wire;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

impl RunningFleet {
    /// Starts the coordinators, forms their cluster, and starts the candidates and the clients of registers.
    pub(super) async fn start_coordinators(self: &Rc<Self>) -> Result<(), RunError> {
        if self.coordinators.is_empty() {
            return Ok(());
        }
        for (process, listener) in &self.coordinators {
            proxy_process(listener, process, |_| Observer::default());
        }
        for started in join_all((0..self.coordinators.len() as u16).map(|i| self.start_coordinator(i))).await
        {
            started?;
        }
        let ports: Vec<u16> = self.coordinators.iter().map(|(_, listener)| listener.port).collect();
        let limit = Duration::from_nanos(CLUSTER_START_TIMEOUT);
        let formed = timeout(limit, self.begin_cluster(&ports)).await;
        formed
            .map_err(|_| RunError::NotInTime("the coordinators did not form a cluster in time"))?
            .map_err(RunError::Cluster)?;
        let client = |candidate| {
            let ip = address::seen_by(Endpoint::Candidate(candidate));
            let addrs = ports.iter().map(|port| format!("{ip}:{port}")).collect();
            Client::behind_translator(addrs, Some(ip.into()))
        };
        self.candidates.replace(Some(Candidates::start(&self.context, client)));
        registers::start(&self.context, self.context.scenario.owners.candidates as u16, client);
        Ok(())
    }

    /// Returns the addresses at which an endpoint reaches the coordinators.
    pub(super) fn coordinator_addrs(&self, endpoint: Endpoint) -> Vec<String> {
        self.coordinators.iter().map(|(_, listener)| addr_for(endpoint, listener.port)).collect()
    }

    /// Forms the cluster, like an operator's `begin`. It bypasses the links, which are for the endpoints of
    /// the fleet.
    pub(super) async fn begin_cluster(&self, ports: &[u16]) -> std::io::Result<()> {
        let cluster = self.context.seed | 1;
        let send = |i: usize, cluster: u64, request: wire::Request| {
            let addr = self.coordinators[i].0.addr().map(|addr| addr.to_string()).unwrap_or_default();
            async move { wire::Channel::connect(&addr, cluster).await?.call(request).await }
        };
        let mut members = std::collections::BTreeMap::new();
        for (i, port) in ports.iter().enumerate() {
            if let wire::Response::Identity { node, .. } = send(i, 0, wire::Request::Identity).await? {
                members.insert(node, format!("{}:{port}", address::REGISTERED));
            }
            send(i, 0, wire::Request::Join { cluster }).await?;
        }
        // Like `marblecroft-coordination-server begin`, sends the request to all coordinators at once. One
        // that is already in the cluster rejects it.
        let begin = || wire::Request::Begin { members: members.clone() };
        let replies = join_all((0..ports.len()).map(|i| send(i, cluster, begin()))).await;
        match replies.iter().any(|reply| matches!(reply, Ok(wire::Response::Done))) {
            true => Ok(()),
            false => Err(std::io::Error::other(format!("{replies:?}"))),
        }
    }

    pub(super) async fn start_coordinator(&self, number: u16) -> Result<(), RunError> {
        let endpoint = Endpoint::Coordinator(number);
        let folder = self.dir.join("tmp").join(endpoint.to_string());
        let mut config = json!({"listen": SocketAddr::from((address::listen_addr(endpoint), 0)), "peers_at": address::seen_by(endpoint),
            "data": folder.join("data"), "heartbeat_ms": 50, "election_ms": 300});
        if let Some(more) = self.context.scenario.fleet.coordinator_config.get(usize::from(number)) {
            merge(
                &mut config,
                serde_json::to_value(more).map_err(|error| {
                    RunError::Configuration("fleet.coordinator_config", error.to_string())
                })?,
            );
        }
        self.start_with_config(&self.coordinators[usize::from(number)].0, &folder, &config).await
    }

    /// Replaces a coordinator that lost its disk and has a new identity, as an operator does: removes the old
    /// member and adds the new one.
    pub(super) async fn replace_coordinator(&self, number: u16) -> Result<(), RunError> {
        let (process, listener) = &self.coordinators[usize::from(number)];
        let addr = format!("{}:{}", address::REGISTERED, listener.port);
        let failed = |reason: &dyn std::fmt::Display| {
            RunError::Replacement(Endpoint::Coordinator(number), reason.to_string())
        };
        let own_addr = process.addr().ok_or_else(|| failed(&"the process has ended again"))?.to_string();
        let reply = async { wire::Channel::connect(&own_addr, 0).await?.call(wire::Request::Identity).await };
        let wire::Response::Identity { node, .. } = reply.await.map_err(|e| failed(&e))? else {
            return Err(failed(&"the coordinator did not return its identity"));
        };
        let ip = address::seen_by(Endpoint::Clients);
        let ports = self.coordinators.iter().map(|(_, listener)| listener.port);
        let client =
            Client::behind_translator(ports.map(|port| format!("{ip}:{port}")).collect(), Some(ip.into()));
        // The new coordinator responds too; it is in no cluster yet.
        let status = loop {
            match client
                .send_request(|| wire::Request::Status, REPLACE_TIMEOUT)
                .await
                .map_err(|e| failed(&e))?
            {
                wire::Response::Status(status) if status.cluster != 0 && status.leader.is_some() => {
                    break status
                }
                _ => tokio::time::sleep(RENEW_INTERVAL / 10).await,
            }
        };
        let join = wire::Request::Join { cluster: status.cluster };
        let joined = async { wire::Channel::connect(&own_addr, 0).await?.call(join).await };
        joined.await.map_err(|e| failed(&e))?;
        let old = status.members.iter().filter(|(of, at, _)| *at == addr && *of != node).map(|(of, ..)| *of);
        for old in old.collect::<Vec<_>>() {
            let remove = || wire::Request::Remove { node: old };
            client.send_request(remove, REPLACE_TIMEOUT).await.map_err(|e| failed(&e))?;
        }
        let add = || wire::Request::Add { node, addr: addr.clone() };
        match client.send_request(add, REPLACE_TIMEOUT).await.map_err(|e| failed(&e))? {
            wire::Response::Done => Ok(()),
            other => Err(failed(&format!("the coordinator was not added: {other:?}"))),
        }
    }

    /// Returns the leader, according to the coordinators' own status; the requests bypass the links.
    pub(super) async fn leader(&self) -> Option<Endpoint> {
        let replies = self.coordinators.iter().enumerate().map(|(i, (process, _))| async move {
            let addr = process.addr()?.to_string();
            let status_call =
                async { wire::Channel::connect(&addr, 0).await?.call(wire::Request::Status).await };
            match timeout(CALL_TIMEOUT, status_call).await {
                Ok(Ok(wire::Response::Status(status))) if status.leads => {
                    Some((status.term, Endpoint::Coordinator(i as u16)))
                }
                _ => None,
            }
        });
        join_all(replies).await.into_iter().flatten().max().map(|(_, endpoint)| endpoint)
    }
}
