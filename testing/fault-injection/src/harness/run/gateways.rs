//! Processes of the gateway.

use super::process_config::merge;
use super::running_fleet::RunningFleet;
use super::FLEET;
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::address;
use crate::harness::discovery::addr_for;
use marblecroft_discovery::format::{Host, HostListRef, State};
use serde_json::{json, Value};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};

impl RunningFleet {
    /// Returns the discovery entry of a server, with this address.
    pub(super) fn host_entry(&self, number: u16, state: State, ip: Ipv4Addr) -> Host {
        let (port, started_ms) = self.server_instances.borrow()[usize::from(number)];
        let server = &self.context.deployment.servers[usize::from(number)];
        Host {
            id: server.id.clone(),
            addr: SocketAddr::from((ip, port)),
            zone: self.context.scenario.fleet.zones[server.zone].clone(),
            kind: "std-2core".to_owned(),
            cell: server.cell,
            state,
            weight: 1.0,
            started_ms,
        }
    }

    /// Returns all current servers, as a gateway that ran before would have cached them.
    pub(super) fn cached_servers(&self, endpoint: Endpoint) -> Value {
        let hosts: Vec<Host> = (0..self.servers.len() as u16)
            .filter(|i| self.registered.borrow()[usize::from(*i)])
            .map(|i| self.host_entry(i, State::Serving, address::seen_by(endpoint)))
            .collect();
        // Every store has a version above 0, so the first watch returns all entries.
        let servers = hosts.iter().collect();
        json!(HostListRef { version: 0, full: true, store: 0, epoch: 0, servers })
    }

    pub(super) async fn start_gateway(&self, number: u16, with_cached_servers: bool) -> Result<(), RunError> {
        let (context, endpoint) = (&self.context, Endpoint::Gateway(number));
        self.starts.set(self.starts.get() + 1);
        let seed = context.deployment.gateway_seeds[usize::from(number)].wrapping_add(self.starts.get());
        let mut config = json!({
            "name": format!("n{number}"), "listen": SocketAddr::from((address::listen_addr(endpoint), 0)),
            "discovery": addr_for(endpoint, self.ports.discovery[0]), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": context.deployment.settings(&context.scenario, number),
        });
        if let Some(port) = self.ports.counter {
            config["counter"] = json!(addr_for(endpoint, port));
        }
        if with_cached_servers {
            config["known"] = self.cached_servers(endpoint);
        }
        if !self.discovery_processes.is_empty() {
            let others: Vec<String> =
                self.ports.discovery[1..].iter().map(|port| addr_for(endpoint, *port)).collect();
            config["list_service"] = json!({"others": others});
        }
        if !self.controllers.is_empty() {
            config["stewards"] = json!({"fleet": FLEET, "gateway": number, "coordinators": self.coordinator_addrs(endpoint),
                "at": address::seen_by(endpoint), "shares": context.scenario.tenants.is_some(),
                "books": context.scenario.shards.is_some()});
        }
        if let Some(overrides) = &context.scenario.fleet.gateway_config {
            merge(
                &mut config,
                serde_json::to_value(overrides)
                    .map_err(|error| RunError::Configuration("fleet.gateway_config", error.to_string()))?,
            );
        }
        let folder = self.dir.join("tmp").join(endpoint.to_string());
        let path = folder.join("config.json");
        let process = &self.gateways[usize::from(number)];
        process
            .start(|command| {
                fs::create_dir_all(&folder)?;
                fs::write(&path, config.to_string())?;
                command
                    .env("RELAY_CONFIG", &path)
                    .env("RELAY_NAME", format!("n{number}"))
                    .env("TMPDIR", &folder);
                for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", "RELAY_FD"] {
                    command.env_remove(name);
                }
                Ok(())
            })
            .await
    }
}
