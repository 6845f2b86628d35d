//! Conformance tables of the shard map: steps of a migration, fences of cells, tickets of gateways, and
//! planned migrations. Each row shows one clause of the design page.

use marblecroft_control_messages::published::{Decision, DecisionReader, Stamp};
use marblecroft_shard_map::cell::{CellAction, CellReply, CellRequest, CellState};
use marblecroft_shard_map::map::{MigrationStep, ShardMap};
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::plan::{plan_migrations, CellStatus, Limits};
use marblecroft_shard_map::ticket::{Ticket, TicketError};
use marblecroft_test_support::conformance::{check_rows, RowResult};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Tables {
    clause: BTreeMap<String, String>,
    row: Vec<Row>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    id: String,
    clause: String,
    because: String,
    #[serde(flatten)]
    kind: Kind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    /// A shard at cell 0 with epoch 1: each change, and the state after it as `step cell epoch`, or
    /// `rejected`.
    #[serde(rename = "move")]
    Migration(Vec<(String, String)>),
    /// Requests to a cell as `close|open FROM..END EPOCH TOKEN`, each with the reply; and writes as `write
    /// FIRM EPOCH`, each with `admitted`, `closed` or the expected epoch.
    Cell(Vec<(String, String)>),
    /// A ticket is acquired `at` ms after a map was read that is valid for 1000 ms and has its only shard in
    /// `step`. Expects `cell epoch until ms` or the reason for no ticket.
    Ticket {
        at: u64,
        step: String,
        #[serde(rename = "says")]
        expected: String,
    },
    /// Cells with a capacity of 100 as zone, status and load; shards as cell and load; migrations as shard
    /// and new cell.
    Plan {
        cells: Vec<(String, String, f64)>,
        #[serde(rename = "books")]
        shards: Vec<(u32, f64)>,
        #[serde(rename = "rested_s")]
        residence_s: u64,
        #[serde(rename = "moves")]
        migrations: Vec<(usize, u32)>,
    },
}

fn check_equal<T: std::fmt::Debug + PartialEq>(actual: T, expected: T) -> Result<(), String> {
    (actual == expected).then_some(()).ok_or_else(|| format!("got {actual:?}, expected {expected:?}"))
}

fn check_migration(changes: &[(String, String)]) -> Result<(), String> {
    let mut map = ShardMap::even(2, &[0, 1]);
    for (change, expected) in changes {
        let epoch = map.shards[0].epoch;
        let result = match change.as_str() {
            "plan" => map.plan(0, 1),
            "raise epoch" => map.raise_epoch(0),
            "drained" => map.mark_drained(0, epoch),
            "drained at the previous epoch" => map.mark_drained(0, epoch - 1),
            "copied" => map.mark_copied(0, epoch),
            "complete" => map.complete(0, epoch),
            "abandon" => map.abandon(0),
            "split" => map.split(0, 5),
            other => return Err(format!("unknown change {other}")),
        };
        let shard = map.shards[0];
        let step = shard
            .migration
            .map_or("idle".to_owned(), |migration| format!("{:?}", migration.step).to_lowercase());
        let actual = if result.is_ok() {
            format!("{step} {} {}", shard.cell, shard.epoch)
        } else {
            "rejected".to_owned()
        };
        check_equal(actual.as_str(), expected).map_err(|e| format!("{change}: {e}"))?;
    }
    Ok(())
}

fn check_cell(requests: &[(String, String)]) -> Result<(), String> {
    let mut cell = CellState::default();
    for (request, expected) in requests {
        let words: Vec<&str> = request.split(' ').collect();
        let number = |i: usize| words[i].parse::<u64>().map_err(|e| format!("{request}: {e}"));
        let actual = match words[0] {
            "write" => match cell.admit(number(1)?, number(2)?) {
                Ok(()) => "admitted".to_owned(),
                Err(mismatch) => {
                    mismatch.expected_epoch().map_or("closed".to_owned(), |epoch| epoch.to_string())
                }
            },
            word => {
                let (from, end) = words[1].split_once("..").ok_or("not a range")?;
                let range = (from.parse().map_err(|_| "not a firm")?, end.parse().map_err(|_| "not a firm")?);
                let (epoch, token) = (number(2)?, number(3)?);
                let operation = match word {
                    "close" => CellOperation::Close { cell: 0, range, epoch },
                    _ => CellOperation::Open { cell: 0, range, epoch },
                };
                match cell.handle_request(&CellRequest { token, operation }) {
                    CellAction::Reply(CellReply::Done) => "done".to_owned(),
                    CellAction::Reply(reply) => format!("{reply:?}").to_lowercase(),
                    CellAction::AwaitDrained(_) => "await drained".to_owned(),
                    CellAction::Copy { .. } => "copy".to_owned(),
                }
            }
        };
        check_equal(actual.as_str(), expected).map_err(|e| format!("{request}: {e}"))?;
    }
    Ok(())
}

fn check_ticket(at: u64, step: &str, expected: &str) -> Result<(), String> {
    let mut map = ShardMap::even(1, &[4]);
    let steps = ["planned", "fencing", "drained", "copied"];
    let step_count = steps.iter().position(|name| *name == step).map_or(0, |step| step + 1);
    let changes: [fn(&mut ShardMap); 4] = [
        |map| map.plan(0, 5).expect("no migration"),
        |map| map.raise_epoch(0).expect("planned"),
        |map| map.mark_drained(0, 2).expect("fencing"),
        |map| map.mark_copied(0, 2).expect("drained"),
    ];
    changes[..step_count].iter().for_each(|change| change(&mut map));
    let mut reader = DecisionReader::default();
    if step != "no map" {
        let stamp = Stamp { token: 1, revision: 1 };
        reader.accept(Duration::ZERO, Decision { stamp, valid_ms: 1000, body: map });
    }
    let now = Duration::from_millis(at);
    let actual = match Ticket::acquire(now, &reader, 7) {
        Ok(ticket) => {
            let (cell, epoch) = ticket.destination(now).ok_or("the ticket has expired already")?;
            let expires_at =
                (at..at + 2000).find(|ms| ticket.destination(Duration::from_millis(*ms)).is_none());
            format!("{cell} {epoch} until {}", expires_at.unwrap_or(0))
        }
        Err(TicketError::NoValidMap) => "no valid map".to_owned(),
        Err(TicketError::Migrating) => "migrating".to_owned(),
        Err(TicketError::UnknownFirm) => "unknown firm".to_owned(),
    };
    check_equal(actual.as_str(), expected)
}

fn check_plan(
    cells: &[(String, String, f64)],
    shards: &[(u32, f64)],
    residence_s: u64,
    migrations: &[(usize, u32)],
) -> Result<(), String> {
    let mut map = ShardMap::even(shards.len(), &[0]);
    map.shards.iter_mut().zip(shards).for_each(|(shard, (cell, _))| shard.cell = *cell);
    let cells: BTreeMap<u32, CellStatus> = (0..)
        .zip(cells)
        .map(|(number, (location, status, load))| {
            let (region, zone) = location.split_once('/').unwrap_or(("", location));
            let (region, zone) = (region.to_owned(), zone.to_owned());
            let (accepts_writes, is_draining) = (status == "accepts", status == "draining");
            (number, CellStatus { zone, region, accepts_writes, is_draining, capacity: 100.0, load: *load })
        })
        .collect();
    let load: Vec<f64> = shards.iter().map(|(_, load)| *load).collect();
    let residence = vec![Duration::from_secs(residence_s); shards.len()];
    let mut actual: Vec<(usize, u32)> = plan_migrations(&map, &cells, &load, &residence, &Limits::default())
        .iter()
        .map(|planned| (planned.shard, planned.to))
        .collect();
    actual.sort_unstable();
    check_equal(actual, migrations.to_vec())
}

impl Row {
    fn play(&self) -> Result<(), String> {
        match &self.kind {
            Kind::Migration(changes) => check_migration(changes),
            Kind::Cell(requests) => check_cell(requests),
            Kind::Ticket { at, step, expected } => check_ticket(*at, step, expected),
            Kind::Plan { cells, shards, residence_s, migrations } => {
                check_plan(cells, shards, *residence_s, migrations)
            }
        }
    }
}

#[test]
fn every_clause_has_rows_and_every_row_passes() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/conformance/books.toml"));
    let tables: Tables =
        toml::from_str(&text.expect("the table file is readable")).expect("the table file is valid");
    let rows = tables.row.iter().map(|row| RowResult {
        id: row.id.clone(),
        clause: row.clause.clone(),
        because: row.because.clone(),
        outcome: row.play(),
    });
    check_rows(&tables.clause, rows);
    // Comparisons of steps rely on this order.
    assert!(
        MigrationStep::Planned < MigrationStep::Fencing
            && MigrationStep::Fencing < MigrationStep::Drained
            && MigrationStep::Drained < MigrationStep::Copied
    );
}
