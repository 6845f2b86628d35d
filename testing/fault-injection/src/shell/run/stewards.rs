//! Stewards, and what is decided in common: their processes, what they publish, cells, operators' words on books.

use super::harness::Lab;
use super::process_config::merge;
use super::{CALL_TIMEOUT, FLEET};
use crate::deployment::{Nanos, MS};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{Event, ShardRecord, ShardStep, ZoneState};
use crate::shell::address;
use crate::shell::lists::{place, process_behind};
use crate::shell::relay::Watch;
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

impl Lab {
    /// Starts the stewards, and listens to what is decided.
    pub(super) async fn begin_stewards(self: &Rc<Self>) -> Result<(), RunError> {
        if self.stewards.is_empty() {
            return Ok(());
        }
        for (process, door) in &self.stewards {
            process_behind(door, process, |_| Watch::default());
        }
        for started in join_all((0..self.stewards.len() as u16).map(|i| self.start_steward(i))).await {
            started?;
        }
        let (view, world) = (address::view(End::Clients), self.world.clone());
        let client = Client::behind_translator(self.coordinators_of(End::Clients), Some(view.into()));
        self.asking.replace(Some(client.clone()));
        let (names, listening) = (Keys::of(FLEET), world.clone());
        let last: [Cell<Option<(u64, u64)>>; 3] = Default::default();
        let seen = move |seen: &View| {
            if let Some((token, revision, body)) = newer::<ZonesDecision>(seen, &names, "zones", &last[0]) {
                let zones = body.zones.iter().map(|zone| (state_of(zone.state), zone.capacity)).collect();
                world.record(Event::ZonesDecided { token, revision, zones });
            }
            if let Some((token, revision, body)) = newer::<ShareDecision>(seen, &names, "shares", &last[1]) {
                let ShareDecision { level, capacity, .. } = body;
                world.record(Event::SharesDecided { token, revision, level, capacity });
            }
            if let Some((token, revision, body)) = newer::<ShardMap>(seen, &names, "books", &last[2]) {
                let books = body.shards.iter().map(book_seen).collect();
                world.record(Event::ShardMapDecided { token, revision, shards: books });
            }
        };
        let prefix = Keys::of(FLEET).prefix;
        spawn_local(follow(client, prefix, move || Duration::from_nanos(listening.now()), seen));
        Ok(())
    }

    pub(super) async fn start_steward(&self, number: u16) -> Result<(), RunError> {
        let (end, scenario) = (End::Controller(number), &self.world.scenario);
        let (process, door) = &self.stewards[usize::from(number)];
        let folder = self.dir.join("tmp").join(end.to_string());
        let zone = scenario.zone_of(end).and_then(|zone| scenario.all_zones().get(zone).copied());
        let places: Vec<Value> = scenario
            .fleet
            .zones
            .iter()
            .map(|zone| json!({"name": zone, "region": scenario.region(zone)}))
            .collect();
        let mut config = json!({"fleet": FLEET, "name": format!("steward-{number}"), "zone": zone.unwrap_or_default(),
            "listen": SocketAddr::from((address::own(end), 0)),
            "reached_at": SocketAddr::from((address::REGISTERED, door.port)),
            "coordinators": self.coordinators_of(end), "coordinators_at": address::view(end), "session_ms": 1500,
            "zones": {"places": places, "ramp_ms": scenario.site.cold_ms.max(1)}});
        if scenario.tenants.is_some() {
            config["shares"] = json!({});
        }
        if let Some(books) = &scenario.shards {
            let cells = (0..).zip(&self.cells.doors).map(|(number, door)| {
                let zone = &scenario.fleet.zones[scenario.zone_of_cell(number)];
                json!({"number": number, "zone": zone, "region": scenario.region(zone), "at": place(end, door.port)})
            });
            let cells: Vec<Value> = cells.collect();
            config["books"] = json!({"count": books.count, "cells": cells, "fencing": scenario.fleet.fencing,
                "gateways": scenario.fleet.gateways, "attempt_ms": scenario.site.deadline_ms.max(100)});
        }
        if let Some(more) = &scenario.fleet.controller_config {
            merge(
                &mut config,
                serde_json::to_value(more)
                    .map_err(|error| RunError::Configuration("fleet.steward_config", error.to_string()))?,
            );
        }
        self.run_with(process, &folder, &config).await
    }

    /// The steward that owns a duty, by what it has written down.
    pub(super) async fn role_owner(&self, duty: &str) -> Option<End> {
        let client = self.asking.borrow().clone()?;
        let key = Keys::of(FLEET).owner(duty);
        let (_, values) = client.read(&key, CALL_TIMEOUT).await.ok()?;
        let (_, value, _) = values.into_iter().find(|(name, ..)| *name == key)?;
        let number = decode_value::<RoleOwner>(&value)?.candidate.strip_prefix("steward-")?.parse().ok()?;
        Some(End::Controller(number))
    }

    /// Waits until everything is decided that the load is to begin with.
    pub(super) async fn decided_first(&self) {
        let scenario = &self.world.scenario;
        let Some(client) = self.asking.borrow().clone() else { return };
        let names = Keys::of(FLEET);
        for (duty, wanted) in [("books", scenario.shards.is_some()), ("shares", scenario.tenants.is_some())] {
            let key = names.decision(duty);
            if !wanted {
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

    /// Says an operator's words on books, each at its time.
    pub(super) async fn say_moves(self: Rc<Self>, load_from: Nanos) {
        let Some(books) = &self.world.scenario.shards else { return };
        let Some(client) = self.asking.borrow().clone() else { return };
        let cells: Vec<u32> = (0..self.world.scenario.fleet.cells).collect();
        let begun = ShardMap::even(books.count as usize, &cells);
        let mut moves = books.moves.clone();
        moves.sort_by_key(|moved| moved.at_ms);
        for moved in moves {
            self.world.sleep_until(load_from + moved.at_ms * MS).await;
            let Some(book) = begun.shards.get(moved.shard as usize) else { continue };
            let key = Keys::of(FLEET).shard_override(&book.first.to_string());
            let put =
                Op::Put { key, value: encode_value(&moved.to_cell), expect: None, owner: Owner::Nobody };
            let client = client.clone();
            spawn_local(async move { drop(client.call(put, Duration::from_secs(20)).await) });
        }
    }

    /// Writes down which cells have each write that was made.
    pub(super) fn note_cells(&self) {
        if self.world.scenario.shards.is_none() {
            return;
        }
        for (trace, firm) in self.cells.written() {
            self.world.record(Event::WriteLocations { trace, cells: self.cells.holding(firm, trace) });
        }
    }
}

/// What stands of a duty, if it is another one than the last.
fn newer<T: Body>(
    view: &View,
    names: &Keys,
    duty: &str,
    last: &Cell<Option<(u64, u64)>>,
) -> Option<(u64, u64, T)> {
    let decision = decode::<Decision<T>>(FleetId::named(FLEET), view.get(&names.decision(duty))?).ok()?;
    let now = (decision.stamp.token, decision.stamp.revision);
    (last.replace(Some(now)) != Some(now)).then_some((now.0, now.1, decision.body))
}

fn book_seen(book: &Shard) -> ShardRecord {
    let step = match book.migration.map(|moving| moving.step) {
        None => ShardStep::Stable,
        Some(MigrationStep::Planned) => ShardStep::Planned,
        Some(MigrationStep::Fencing) => ShardStep::Fencing,
        Some(MigrationStep::Drained) => ShardStep::Drained,
        Some(MigrationStep::Copied) => ShardStep::Copied,
    };
    let to = book.migration.map_or(book.cell, |moving| moving.to);
    ShardRecord { first: book.first, cell: book.cell as u16, epoch: book.epoch, step, to: to as u16 }
}

fn state_of(state: DecidedState) -> ZoneState {
    match state {
        DecidedState::Serving => ZoneState::Serving,
        DecidedState::Suspect => ZoneState::Suspect,
        DecidedState::FailedOver => ZoneState::Out,
        DecidedState::Returning => ZoneState::Returning,
        DecidedState::HeldByOperator => ZoneState::HeldOut,
    }
}
