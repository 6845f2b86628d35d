//! The discovery service or its stand-in, and the registrations of pay servers.

use super::measurement::unix_us;
use super::running_fleet::RunningFleet;
use super::{CALL_TIMEOUT, LEASE_MS, RENEW_INTERVAL};
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::address;
use crate::harness::discovery::{addr_for, discovery_delay, proxy_discovery_process};
use crate::harness::relay::{relay, Observer};
use crate::history::{Event, ProcessChange};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use marblecroft_discovery::format::State;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

impl RunningFleet {
    /// Starts the discovery service or its stand-in, and registers the pay servers.
    pub(super) async fn start_discovery_service(self: &Rc<Self>) -> Result<(), RunError> {
        if let Some(discovery) = &self.discovery {
            for i in 0..self.servers.len() as u16 {
                let host = self.host_entry(i, State::Serving, address::REGISTERED);
                discovery.set(i, host);
            }
            return Ok(());
        }
        let servers = self.context.deployment.servers.iter().enumerate();
        let numbers: Rc<HashMap<_, _>> = Rc::new(servers.map(|(i, s)| (s.id.clone(), i as u16)).collect());
        for (i, (process, listener)) in self.discovery_processes.iter().enumerate() {
            proxy_discovery_process(listener, i as u16, process, numbers.clone());
        }
        // The writer waits for its peers, so all processes start together.
        for started in
            join_all((0..self.discovery_processes.len() as u16).map(|i| self.start_discovery_process(i)))
                .await
        {
            started?;
        }
        let registering = (0..self.servers.len() as u16).map(|i| async move {
            while !self.register(i).await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        let registered = timeout(Duration::from_secs(60), join_all(registering)).await;
        registered.map_err(|_| {
            RunError::NotInTime("the discovery service did not accept the registrations in time")
        })?;
        for i in 0..self.servers.len() as u16 {
            spawn_local(self.clone().renew_registration(i));
        }
        Ok(())
    }

    pub(super) async fn start_discovery_process(&self, number: u16) -> Result<(), RunError> {
        let endpoint = Endpoint::DiscoveryService(number);
        let folder = self.dir.join("tmp").join(endpoint.to_string());
        let peers: Vec<String> = (0..self.ports.discovery.len())
            .filter(|i| *i != usize::from(number))
            .map(|i| addr_for(endpoint, self.ports.discovery[i]))
            .collect();
        let mut config = json!({"listen": SocketAddr::from((address::listen_addr(endpoint), 0)), "data": folder.join("data"),
            "peers": peers, "limits": {"connections": 4096, "watches": 2048}});
        if number > 0 {
            config["follow"] = json!(addr_for(endpoint, self.ports.discovery[0]));
            config["peers"] = json!([addr_for(endpoint, self.ports.discovery[0])]);
        }
        let path = folder.join("config.json");
        let process = &self.discovery_processes[usize::from(number)].0;
        process
            .start(|command| {
                fs::create_dir_all(&folder)?;
                fs::write(&path, config.to_string())?;
                command.arg(&path);
                Ok(())
            })
            .await?;
        self.context.record(Event::ProcessChanged { endpoint, change: ProcessChange::Ready });
        Ok(())
    }

    /// Calls the writer of the discovery service as a pay server, over the link between them. Returns the
    /// status of the response.
    pub(super) async fn call_discovery_service(
        &self,
        number: u16,
        operation: &str,
        body: Value,
    ) -> Option<u16> {
        let (context, from, to) =
            (self.context.clone(), Endpoint::PayServer(number), Endpoint::DiscoveryService(0));
        let exchange = async move {
            context.wait_until(|context| context.can_connect(from, to) || context.is_reset(from, to)).await;
            let addr = self.discovery_processes.first()?.0.addr().filter(|_| !context.is_reset(from, to))?;
            let mut tcp = TcpStream::connect(addr).await.ok()?;
            let (mut outer, inner) = tokio::io::duplex(16 << 10);
            let passing = spawn_local(async move {
                relay(&context, &mut tcp, to, &mut outer, from, Observer::default()).await;
            });
            let (mut sender, connection) = http1::handshake(TokioIo::new(inner)).await.ok()?;
            let serving = spawn_local(async move { drop(connection.await) });
            let request = Request::post(format!("/discovery/{operation}")).header("host", "list");
            let answer =
                sender.send_request(request.body(Full::new(Bytes::from(body.to_string()))).ok()?).await;
            let status = answer.ok().map(|answer| answer.status().as_u16());
            drop(sender);
            drop((serving.await, passing.abort()));
            status
        };
        timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
    }

    pub(super) async fn register(&self, number: u16) -> bool {
        let host = self.host_entry(number, State::Serving, address::REGISTERED);
        let body = json!({"id": host.id, "addr": host.addr, "zone": host.zone, "kind": host.kind, "cell": host.cell,
            "weight": 1.0, "lease_ms": LEASE_MS});
        let status = self.call_discovery_service(number, "register", body).await;
        if status == Some(200) {
            self.context.record(Event::Registered { server: number, process: 0 });
            return true;
        }
        if status == Some(409) {
            // The earlier registration, with another address, has not expired yet.
            let id = &self.context.deployment.servers[usize::from(number)].id;
            self.call_discovery_service(number, "deregister", json!({ "id": id })).await;
        }
        false
    }

    /// Renews the lease of a server while it has a process, and registers it again if its lease has expired.
    pub(super) async fn renew_registration(self: Rc<Self>, number: u16) {
        let id = self.context.deployment.servers[usize::from(number)].id.clone();
        // Spreads the renewals, so that the servers do not all call at the same time.
        tokio::time::sleep(RENEW_INTERVAL * u32::from(number % 32) / 32).await;
        loop {
            tokio::time::sleep(RENEW_INTERVAL).await;
            if !self.registered.borrow()[usize::from(number)] {
                continue;
            }
            self.context.record(Event::Renewed { server: number });
            if self.call_discovery_service(number, "renew", json!({ "id": id })).await == Some(404) {
                self.register(number).await;
            }
        }
    }

    /// Marks a server as draining or deleted in discovery. The stand-in is updated after a delay.
    pub(super) async fn remove_from_discovery(&self, number: u16, state: State) {
        if let Some(discovery) = &self.discovery {
            self.context.sleep_until(self.context.now() + discovery_delay(&self.context, false)).await;
            let host = self.host_entry(number, state, address::REGISTERED);
            discovery.set(number, host);
        } else if state == State::Draining {
            let id = &self.context.deployment.servers[usize::from(number)].id;
            self.call_discovery_service(number, "drain", json!({ "id": id })).await;
        }
        if state == State::Deleted {
            // A server that registers itself stops renewing its lease, which then expires.
            self.registered.borrow_mut()[usize::from(number)] = false;
        }
    }

    /// Restarts a server on a new port, with a cold start.
    pub(super) async fn restart_pay_server(&self, number: u16) -> Result<(), RunError> {
        let port = self.servers[usize::from(number)].start(true);
        let port = port.map_err(|error| RunError::ListenAgain(Endpoint::PayServer(number), error))?;
        let started = unix_us() / 1000;
        self.server_instances.borrow_mut()[usize::from(number)] = (port, started);
        self.context.record(Event::ProcessChanged {
            endpoint: Endpoint::PayServer(number),
            change: ProcessChange::Started,
        });
        if let Some(discovery) = &self.discovery {
            self.context.sleep_until(self.context.now() + discovery_delay(&self.context, true)).await;
            let host = self.host_entry(number, State::Serving, address::REGISTERED);
            discovery.set(number, host);
        } else {
            for _ in 0..50 {
                if self.register(number).await {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        self.registered.borrow_mut()[usize::from(number)] = true;
        Ok(())
    }
}
