//! Processes of the gateway.

use super::harness::Lab;
use super::process_config::merge;
use super::FLEET;
use crate::endpoint::End;
use crate::error::RunError;
use crate::shell::address;
use crate::shell::lists::place;
use marblecroft_discovery::format::{Host, HostListRef, State};
use serde_json::{json, Value};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};

impl Lab {
    /// The entry of a server in lists, as this caller's view has it.
    pub(super) fn host(&self, number: u16, state: State, ip: Ipv4Addr) -> Host {
        let (port, started_ms) = self.places.borrow()[usize::from(number)];
        let server = &self.world.deployment.servers[usize::from(number)];
        Host {
            id: server.id.clone(),
            addr: SocketAddr::from((ip, port)),
            zone: self.world.scenario.fleet.zones[server.zone].clone(),
            kind: "std-2core".to_owned(),
            cell: server.cell,
            state,
            weight: 1.0,
            started_ms,
        }
    }

    /// The whole list, as a gateway would have had it last.
    pub(super) fn known(&self, end: End) -> Value {
        let hosts: Vec<Host> = (0..self.servers.len() as u16)
            .filter(|i| self.registered.borrow()[usize::from(*i)])
            .map(|i| self.host(i, State::Serving, address::view(end)))
            .collect();
        // A version that every store is beyond: the first watch tells all.
        let servers = hosts.iter().collect();
        json!(HostListRef { version: 0, full: true, store: 0, epoch: 0, servers })
    }

    pub(super) async fn start_gateway(&self, number: u16, with_list: bool) -> Result<(), RunError> {
        let (world, end) = (&self.world, End::Gateway(number));
        self.starts.set(self.starts.get() + 1);
        let seed = world.deployment.gateway_seeds[usize::from(number)].wrapping_add(self.starts.get());
        let mut config = json!({
            "name": format!("n{number}"), "listen": SocketAddr::from((address::own(end), 0)),
            "discovery": place(end, self.ports.lists[0]), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": world.deployment.settings(&world.scenario, number),
        });
        if let Some(port) = self.ports.counter {
            config["counter"] = json!(place(end, port));
        }
        if with_list {
            config["known"] = self.known(end);
        }
        if !self.lists.is_empty() {
            let others: Vec<String> = self.ports.lists[1..].iter().map(|port| place(end, *port)).collect();
            config["list_service"] = json!({"others": others});
        }
        if !self.stewards.is_empty() {
            config["stewards"] = json!({"fleet": FLEET, "gateway": number, "coordinators": self.coordinators_of(end),
                "at": address::view(end), "shares": world.scenario.tenants.is_some(),
                "books": world.scenario.shards.is_some()});
        }
        if let Some(more) = &world.scenario.fleet.gateway_config {
            merge(
                &mut config,
                serde_json::to_value(more)
                    .map_err(|error| RunError::Configuration("fleet.gateway_config", error.to_string()))?,
            );
        }
        let folder = self.dir.join("tmp").join(end.to_string());
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
