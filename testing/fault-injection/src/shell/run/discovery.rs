//! The list of pay servers: its processes or its stand-in, registrations and their renewal.

use super::harness::Lab;
use super::measurement::unix_us;
use super::{CALL_TIMEOUT, LEASE_MS, RENEW_INTERVAL};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{Event, ProcessChange};
use crate::shell::address;
use crate::shell::lists::{lateness, list_process, place};
use crate::shell::relay::{relay, Watch};
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

impl Lab {
    /// Starts whoever tells the list, and gives it the servers.
    pub(super) async fn begin_lists(self: &Rc<Self>) -> Result<(), RunError> {
        if let Some(platform) = &self.platform {
            for i in 0..self.servers.len() as u16 {
                let host = self.host(i, State::Serving, address::REGISTERED);
                platform.set(i, host);
            }
            return Ok(());
        }
        let servers = self.world.deployment.servers.iter().enumerate();
        let numbers: Rc<HashMap<_, _>> = Rc::new(servers.map(|(i, s)| (s.id.clone(), i as u16)).collect());
        for (i, (process, door)) in self.lists.iter().enumerate() {
            list_process(door, i as u16, process, numbers.clone());
        }
        // The one that writes waits for its peers, so all start together.
        for started in join_all((0..self.lists.len() as u16).map(|i| self.start_list(i))).await {
            started?;
        }
        let registering = (0..self.servers.len() as u16).map(|i| async move {
            while !self.register(i).await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        let registered = timeout(Duration::from_secs(60), join_all(registering)).await;
        registered.map_err(|_| RunError::NotInTime("the list service takes no registrations"))?;
        for i in 0..self.servers.len() as u16 {
            spawn_local(self.clone().stay_registered(i));
        }
        Ok(())
    }

    pub(super) async fn start_list(&self, number: u16) -> Result<(), RunError> {
        let end = End::ListService(number);
        let folder = self.dir.join("tmp").join(end.to_string());
        let peers: Vec<String> = (0..self.ports.lists.len())
            .filter(|i| *i != usize::from(number))
            .map(|i| place(end, self.ports.lists[i]))
            .collect();
        let mut config = json!({"listen": SocketAddr::from((address::own(end), 0)), "data": folder.join("data"),
            "peers": peers, "limits": {"connections": 4096, "watches": 2048}});
        if number > 0 {
            config["follow"] = json!(place(end, self.ports.lists[0]));
            config["peers"] = json!([place(end, self.ports.lists[0])]);
        }
        let path = folder.join("config.json");
        let process = &self.lists[usize::from(number)].0;
        process
            .start(|command| {
                fs::create_dir_all(&folder)?;
                fs::write(&path, config.to_string())?;
                command.arg(&path);
                Ok(())
            })
            .await?;
        self.world.record(Event::ProcessChanged { end, change: ProcessChange::Ready });
        Ok(())
    }

    /// Calls the list service's writer as a pay server does, through the link between; the status of the answer.
    pub(super) async fn call(&self, number: u16, call: &str, body: Value) -> Option<u16> {
        let (world, from, to) = (self.world.clone(), End::PayServer(number), End::ListService(0));
        let asked = async move {
            world.until(|world| world.connects(from, to) || world.reset(from, to)).await;
            let addr = self.lists.first()?.0.addr().filter(|_| !world.reset(from, to))?;
            let mut tcp = TcpStream::connect(addr).await.ok()?;
            let (mut outer, inner) = tokio::io::duplex(16 << 10);
            let passing = spawn_local(async move {
                relay(&world, &mut tcp, to, &mut outer, from, Watch::default()).await;
            });
            let (mut sender, connection) = http1::handshake(TokioIo::new(inner)).await.ok()?;
            let serving = spawn_local(async move { drop(connection.await) });
            let request = Request::post(format!("/discovery/{call}")).header("host", "list");
            let answer =
                sender.send_request(request.body(Full::new(Bytes::from(body.to_string()))).ok()?).await;
            let status = answer.ok().map(|answer| answer.status().as_u16());
            drop(sender);
            drop((serving.await, passing.abort()));
            status
        };
        timeout(CALL_TIMEOUT, asked).await.ok().flatten()
    }

    pub(super) async fn register(&self, number: u16) -> bool {
        let host = self.host(number, State::Serving, address::REGISTERED);
        let body = json!({"id": host.id, "addr": host.addr, "zone": host.zone, "kind": host.kind, "cell": host.cell,
            "weight": 1.0, "lease_ms": LEASE_MS});
        let status = self.call(number, "register", body).await;
        if status == Some(200) {
            self.world.record(Event::Registered { server: number, list: 0 });
            return true;
        }
        if status == Some(409) {
            // It is there with another address: the one before has not been let go yet.
            let id = &self.world.deployment.servers[usize::from(number)].id;
            self.call(number, "deregister", json!({ "id": id })).await;
        }
        false
    }

    /// Renews a server's lease while it has a process; registers again where that is refused.
    pub(super) async fn stay_registered(self: Rc<Self>, number: u16) {
        let id = self.world.deployment.servers[usize::from(number)].id.clone();
        // Spread, so that all do not call at one moment.
        tokio::time::sleep(RENEW_INTERVAL * u32::from(number % 32) / 32).await;
        loop {
            tokio::time::sleep(RENEW_INTERVAL).await;
            if !self.registered.borrow()[usize::from(number)] {
                continue;
            }
            self.world.record(Event::Renewed { server: number });
            if self.call(number, "renew", json!({ "id": id })).await == Some(404) {
                self.register(number).await;
            }
        }
    }

    /// A server no longer serves; the list hears of it late.
    pub(super) async fn leave(&self, number: u16, state: State) {
        if let Some(platform) = &self.platform {
            self.world.sleep_until(self.world.now() + lateness(&self.world, false)).await;
            let host = self.host(number, state, address::REGISTERED);
            platform.set(number, host);
        } else if state == State::Draining {
            let id = &self.world.deployment.servers[usize::from(number)].id;
            self.call(number, "drain", json!({ "id": id })).await;
        }
        if state == State::Deleted {
            // Where it registers itself, its lease ends.
            self.registered.borrow_mut()[usize::from(number)] = false;
        }
    }

    /// A server is started again, cold, at a port of its own.
    pub(super) async fn return_server(&self, number: u16) -> Result<(), RunError> {
        let port = self.servers[usize::from(number)].start(true);
        let port = port.map_err(|error| RunError::ListenAgain(End::PayServer(number), error))?;
        let started = unix_us() / 1000;
        self.places.borrow_mut()[usize::from(number)] = (port, started);
        self.world
            .record(Event::ProcessChanged { end: End::PayServer(number), change: ProcessChange::Started });
        if let Some(platform) = &self.platform {
            self.world.sleep_until(self.world.now() + lateness(&self.world, true)).await;
            let host = self.host(number, State::Serving, address::REGISTERED);
            platform.set(number, host);
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
