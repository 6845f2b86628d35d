//! Processes of the coordination service: the beginning of their cluster, and the replacement of one.

use super::harness::Lab;
use super::process_config::merge;
use super::{CALL_TIMEOUT, RENEW_INTERVAL, REPLACE_TIMEOUT};
use crate::endpoint::End;
use crate::error::RunError;
use crate::shell::lists::{place, process_behind};
use crate::shell::owners::{Owners, BEGIN_MOST};
use crate::shell::relay::Watch;
use crate::shell::{address, registers};
use futures_util::future::join_all;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::wire;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

impl Lab {
    /// Starts the coordinators, makes them a cluster, and lets the candidates in.
    pub(super) async fn begin_coordinators(self: &Rc<Self>) -> Result<(), RunError> {
        if self.coordinators.is_empty() {
            return Ok(());
        }
        for (process, door) in &self.coordinators {
            process_behind(door, process, |_| Watch::default());
        }
        for started in join_all((0..self.coordinators.len() as u16).map(|i| self.start_coordinator(i))).await
        {
            started?;
        }
        let ports: Vec<u16> = self.coordinators.iter().map(|(_, door)| door.port).collect();
        let most = Duration::from_nanos(BEGIN_MOST);
        let begun = timeout(most, self.begin_cluster(&ports)).await;
        begun
            .map_err(|_| RunError::NotInTime("the coordinators do not begin"))?
            .map_err(RunError::Cluster)?;
        let client = |candidate| {
            let view = address::view(End::Candidate(candidate));
            let addrs = ports.iter().map(|port| format!("{view}:{port}")).collect();
            Client::behind_translator(addrs, Some(view.into()))
        };
        self.owners.replace(Some(Owners::start(&self.world, client)));
        registers::start(&self.world, self.world.scenario.owners.candidates as u16, client);
        Ok(())
    }

    /// By which addresses something reaches the coordinators.
    pub(super) fn coordinators_of(&self, end: End) -> Vec<String> {
        self.coordinators.iter().map(|(_, door)| place(end, door.port)).collect()
    }

    /// What an operator's `begin` does, past the links: they are not there yet for whoever sets up the fleet.
    pub(super) async fn begin_cluster(&self, ports: &[u16]) -> std::io::Result<()> {
        let cluster = self.world.seed | 1;
        let ask = |i: usize, cluster: u64, request: wire::Request| {
            let addr = self.coordinators[i].0.addr().map(|addr| addr.to_string()).unwrap_or_default();
            async move { wire::Channel::connect(&addr, cluster).await?.call(request).await }
        };
        let mut members = std::collections::BTreeMap::new();
        for (i, port) in ports.iter().enumerate() {
            if let wire::Response::Identity { node, .. } = ask(i, 0, wire::Request::Identity).await? {
                members.insert(node, format!("{}:{port}", address::REGISTERED));
            }
            ask(i, 0, wire::Request::Join { cluster }).await?;
        }
        // As `marblecroft-coordination-server begin` has it: all are told at once, and one that has heard of it already says no.
        let begin = || wire::Request::Begin { members: members.clone() };
        let said = join_all((0..ports.len()).map(|i| ask(i, cluster, begin()))).await;
        match said.iter().any(|said| matches!(said, Ok(wire::Response::Done))) {
            true => Ok(()),
            false => Err(std::io::Error::other(format!("{said:?}"))),
        }
    }

    pub(super) async fn start_coordinator(&self, number: u16) -> Result<(), RunError> {
        let end = End::Coordinator(number);
        let folder = self.dir.join("tmp").join(end.to_string());
        let mut config = json!({"listen": SocketAddr::from((address::own(end), 0)), "peers_at": address::view(end),
            "data": folder.join("data"), "heartbeat_ms": 50, "election_ms": 300});
        if let Some(more) = self.world.scenario.fleet.coordinator_config.get(usize::from(number)) {
            merge(
                &mut config,
                serde_json::to_value(more).map_err(|error| {
                    RunError::Configuration("fleet.coordinator_config", error.to_string())
                })?,
            );
        }
        self.run_with(&self.coordinators[usize::from(number)].0, &folder, &config).await
    }

    /// What an operator does about a coordinator that lost its disk and is somebody else now: the old one is removed, the new
    /// one added.
    pub(super) async fn replace_coordinator(&self, number: u16) -> Result<(), RunError> {
        let (process, door) = &self.coordinators[usize::from(number)];
        let addr = format!("{}:{}", address::REGISTERED, door.port);
        let failed = |reason: &dyn std::fmt::Display| {
            RunError::Replacement(End::Coordinator(number), reason.to_string())
        };
        let own = process.addr().ok_or_else(|| failed(&"it is gone again"))?.to_string();
        let told = async { wire::Channel::connect(&own, 0).await?.call(wire::Request::Identity).await };
        let wire::Response::Identity { node, .. } = told.await.map_err(|e| failed(&e))? else {
            return Err(failed(&"does not say who it is"));
        };
        let view = address::view(End::Clients);
        let ports = self.coordinators.iter().map(|(_, door)| door.port);
        let client = Client::behind_translator(
            ports.map(|port| format!("{view}:{port}")).collect(),
            Some(view.into()),
        );
        // The one that is to be replaced answers too; it is of no cluster.
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
        let joined = async { wire::Channel::connect(&own, 0).await?.call(join).await };
        joined.await.map_err(|e| failed(&e))?;
        let old = status.members.iter().filter(|(of, at, _)| *at == addr && *of != node).map(|(of, ..)| *of);
        for old in old.collect::<Vec<_>>() {
            let remove = || wire::Request::Remove { node: old };
            client.send_request(remove, REPLACE_TIMEOUT).await.map_err(|e| failed(&e))?;
        }
        let add = || wire::Request::Add { node, addr: addr.clone() };
        match client.send_request(add, REPLACE_TIMEOUT).await.map_err(|e| failed(&e))? {
            wire::Response::Done => Ok(()),
            other => Err(failed(&format!("cannot be added: {other:?}"))),
        }
    }

    /// The coordinator that leads, by what they say themselves, past the links.
    pub(super) async fn leader(&self) -> Option<End> {
        let told = self.coordinators.iter().enumerate().map(|(i, (process, _))| async move {
            let addr = process.addr()?.to_string();
            let ask = async { wire::Channel::connect(&addr, 0).await?.call(wire::Request::Status).await };
            match timeout(CALL_TIMEOUT, ask).await {
                Ok(Ok(wire::Response::Status(status))) if status.leads => {
                    Some((status.term, End::Coordinator(i as u16)))
                }
                _ => None,
            }
        });
        join_all(told).await.into_iter().flatten().max().map(|(_, end)| end)
    }
}
