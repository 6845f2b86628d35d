//! Processes of the controller, the decisions that they publish, and operators' commands to move shards.

use super::process_config::merge;
use super::running_fleet::RunningFleet;
use super::{CALL_TIMEOUT, FLEET};
use crate::deployment::{Nanos, MS};
use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::address;
use crate::harness::discovery::{addr_for, proxy_process};
use crate::harness::relay::Observer;
use crate::history::{Event, ShardRecord, ShardStep, ZoneState};
use futures_util::future::join_all;
use marblecroft_control_messages::frame::{decode, Fleet as FleetId};
use marblecroft_control_messages::published::{Body, Decision};
use marblecroft_coordination::client::Client;
use marblecroft_coordination::state::{Op, Owner};
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_shard_map::map::{MigrationStep, Shard, ShardMap};
use marblecroft_singleton_roles::keys::{decode_value, encode_value, Keys, RoleOwner};
use marblecroft_singleton_roles::run::follow;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::decision::{ZoneState as DecidedState, ZonesDecision};
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

impl RunningFleet {
    /// Starts the controllers, and records the decisions that they publish.
    pub(super) async fn start_controllers(self: &Rc<Self>) -> Result<(), RunError> {
        if self.controllers.is_empty() {
            return Ok(());
        }
        for (process, listener) in &self.controllers {
            proxy_process(listener, process, |_| Observer::default());
        }
        for started in join_all((0..self.controllers.len() as u16).map(|i| self.start_controller(i))).await {
            started?;
        }
        let (ip, context) = (address::seen_by(Endpoint::Clients), self.context.clone());
        let client = Client::behind_translator(self.coordinator_addrs(Endpoint::Clients), Some(ip.into()));
        self.coordination_client.replace(Some(client.clone()));
        let (keys, clock) = (Keys::of(FLEET), context.clone());
        let last: [Cell<Option<(u64, u64)>>; 3] = Default::default();
        let on_view = move |view: &View| {
            if let Some((token, revision, body)) =
                new_decision::<ZonesDecision>(view, &keys, "zones", &last[0])
            {
                let zones = body.zones.iter().map(|zone| (zone_state(zone.state), zone.capacity)).collect();
                context.record(Event::ZonesDecided { token, revision, zones });
            }
            if let Some((token, revision, body)) =
                new_decision::<ShareDecision>(view, &keys, "shares", &last[1])
            {
                let ShareDecision { level, capacity, .. } = body;
                context.record(Event::SharesDecided { token, revision, level, capacity });
            }
            if let Some((token, revision, body)) = new_decision::<ShardMap>(view, &keys, "books", &last[2]) {
                let shards = body.shards.iter().map(shard_record).collect();
                context.record(Event::ShardMapDecided { token, revision, shards });
            }
        };
        let prefix = Keys::of(FLEET).prefix;
        spawn_local(follow(client, prefix, move || Duration::from_nanos(clock.now()), on_view));
        Ok(())
    }

    pub(super) async fn start_controller(&self, number: u16) -> Result<(), RunError> {
        let (endpoint, scenario) = (Endpoint::Controller(number), &self.context.scenario);
        let (process, listener) = &self.controllers[usize::from(number)];
        let folder = self.dir.join("tmp").join(endpoint.to_string());
        let zone = scenario.zone_of(endpoint).and_then(|zone| scenario.all_zones().get(zone).copied());
        let zones: Vec<Value> = scenario
            .fleet
            .zones
            .iter()
            .map(|zone| json!({"name": zone, "region": scenario.region(zone)}))
            .collect();
        let mut config = json!({"fleet": FLEET, "name": format!("steward-{number}"), "zone": zone.unwrap_or_default(),
            "listen": SocketAddr::from((address::listen_addr(endpoint), 0)),
            "reached_at": SocketAddr::from((address::REGISTERED, listener.port)),
            "coordinators": self.coordinator_addrs(endpoint), "coordinators_at": address::seen_by(endpoint), "session_ms": 1500,
            "zones": {"places": zones, "ramp_ms": scenario.site.warmup_ms.max(1)}});
        if scenario.tenants.is_some() {
            config["shares"] = json!({});
        }
        if let Some(shard_settings) = &scenario.shards {
            let cells = (0..).zip(&self.cells.listeners).map(|(number, listener)| {
                let zone = &scenario.fleet.zones[scenario.zone_of_cell(number)];
                json!({"number": number, "zone": zone, "region": scenario.region(zone), "at": addr_for(endpoint, listener.port)})
            });
            let cells: Vec<Value> = cells.collect();
            config["books"] = json!({"count": shard_settings.count, "cells": cells, "fencing": scenario.fleet.fencing,
                "gateways": scenario.fleet.gateways, "attempt_ms": scenario.site.deadline_ms.max(100)});
        }
        if let Some(overrides) = &scenario.fleet.controller_config {
            merge(
                &mut config,
                serde_json::to_value(overrides)
                    .map_err(|error| RunError::Configuration("fleet.steward_config", error.to_string()))?,
            );
        }
        self.start_with_config(process, &folder, &config).await
    }

    /// Returns the controller that owns a role, according to its record in the coordination service.
    pub(super) async fn role_owner(&self, role: &str) -> Option<Endpoint> {
        let client = self.coordination_client.borrow().clone()?;
        let key = Keys::of(FLEET).owner(role);
        let (_, values) = client.read(&key, CALL_TIMEOUT).await.ok()?;
        let (_, value, _) = values.into_iter().find(|(name, ..)| *name == key)?;
        let number = decode_value::<RoleOwner>(&value)?.candidate.strip_prefix("steward-")?.parse().ok()?;
        Some(Endpoint::Controller(number))
    }

    /// Waits for the first decisions on shards and shares, without which the load cannot start.
    pub(super) async fn wait_for_first_decisions(&self) {
        let scenario = &self.context.scenario;
        let Some(client) = self.coordination_client.borrow().clone() else { return };
        let keys = Keys::of(FLEET);
        for (role, is_configured) in
            [("books", scenario.shards.is_some()), ("shares", scenario.tenants.is_some())]
        {
            let key = keys.decision(role);
            if !is_configured {
                continue;
            }
            loop {
                let read = client.read(&key, CALL_TIMEOUT).await;
                if read.is_ok_and(|(_, values)| values.iter().any(|(name, ..)| *name == key)) {
                    break;
                }
                tokio::time::sleep(CALL_TIMEOUT / 10).await;
            }
        }
    }

    /// Sends the scenario's operator commands to move shards, each at its time.
    pub(super) async fn send_shard_moves(self: Rc<Self>, load_from: Nanos) {
        let Some(shard_settings) = &self.context.scenario.shards else { return };
        let Some(client) = self.coordination_client.borrow().clone() else { return };
        let cells: Vec<u32> = (0..self.context.scenario.fleet.cells).collect();
        let initial_map = ShardMap::even(shard_settings.count as usize, &cells);
        let mut moves = shard_settings.moves.clone();
        moves.sort_by_key(|requested_move| requested_move.at_ms);
        for requested_move in moves {
            self.context.sleep_until(load_from + requested_move.at_ms * MS).await;
            let Some(shard) = initial_map.shards.get(requested_move.shard as usize) else { continue };
            let key = Keys::of(FLEET).shard_override(&shard.first.to_string());
            let put = Op::Put {
                key,
                value: encode_value(&requested_move.to_cell),
                expect: None,
                owner: Owner::Nobody,
            };
            let client = client.clone();
            spawn_local(async move { drop(client.call(put, Duration::from_secs(20)).await) });
        }
    }

    /// Records which cells hold each write.
    pub(super) fn record_write_locations(&self) {
        if self.context.scenario.shards.is_none() {
            return;
        }
        for (trace, firm) in self.cells.written() {
            self.context.record(Event::WriteLocations { trace, cells: self.cells.cells_with(firm, trace) });
        }
    }
}

/// Returns the current decision of a role, if it differs from the last one.
fn new_decision<T: Body>(
    view: &View,
    keys: &Keys,
    role: &str,
    last: &Cell<Option<(u64, u64)>>,
) -> Option<(u64, u64, T)> {
    let decision = decode::<Decision<T>>(FleetId::named(FLEET), view.get(&keys.decision(role))?).ok()?;
    let now = (decision.stamp.token, decision.stamp.revision);
    (last.replace(Some(now)) != Some(now)).then_some((now.0, now.1, decision.body))
}

fn shard_record(shard: &Shard) -> ShardRecord {
    let step = match shard.migration.map(|moving| moving.step) {
        None => ShardStep::Stable,
        Some(MigrationStep::Planned) => ShardStep::Planned,
        Some(MigrationStep::Fencing) => ShardStep::Fencing,
        Some(MigrationStep::Drained) => ShardStep::Drained,
        Some(MigrationStep::Copied) => ShardStep::Copied,
    };
    let to = shard.migration.map_or(shard.cell, |moving| moving.to);
    ShardRecord { first: shard.first, cell: shard.cell as u16, epoch: shard.epoch, step, to: to as u16 }
}

fn zone_state(state: DecidedState) -> ZoneState {
    match state {
        DecidedState::Serving => ZoneState::Serving,
        DecidedState::Suspect => ZoneState::Suspect,
        DecidedState::FailedOver => ZoneState::FailedOver,
        DecidedState::Returning => ZoneState::Returning,
        DecidedState::HeldByOperator => ZoneState::HeldByOperator,
    }
}
