//! Tables of conformance of books: rows from the design page, a clause each: moves through their steps, cells' fences, gateways'
//! tickets, what moves where.

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
    /// A book at cell 0 under epoch 1: what is done to it, and where it is behind each, as `step cell epoch`, or `no`.
    Move(Vec<(String, String)>),
    /// A cell: `shut|open FROM..END EPOCH TOKEN` and what it says, or `write FIRM EPOCH` and `yes`, or which epoch is due.
    Cell(Vec<(String, String)>),
    /// At this ms of a map that is valid for 1000, its book in this step: `cell epoch`, and until when; or why not.
    Ticket { at: u64, step: String, says: String },
    /// Cells as `zone takes|leave load` of 100 each, books as cell and load; moves as `book cell`.
    Plan {
        cells: Vec<(String, String, f64)>,
        books: Vec<(u32, f64)>,
        rested_s: u64,
        moves: Vec<(usize, u32)>,
    },
}

fn told<T: std::fmt::Debug + PartialEq>(seen: T, wanted: T) -> Result<(), String> {
    (seen == wanted).then_some(()).ok_or_else(|| format!("{seen:?}, not {wanted:?}"))
}

fn moved(steps: &[(String, String)]) -> Result<(), String> {
    let mut map = ShardMap::even(2, &[0, 1]);
    for (what, wanted) in steps {
        let epoch = map.shards[0].epoch;
        let done = match what.as_str() {
            "plan" => map.plan(0, 1),
            "fence" => map.raise_epoch(0),
            "drained" => map.mark_drained(0, epoch),
            "drained late" => map.mark_drained(0, epoch - 1),
            "copied" => map.mark_copied(0, epoch),
            "serve" => map.complete(0, epoch),
            "abandon" => map.abandon(0),
            "split" => map.split(0, 5),
            other => return Err(format!("nothing is called {other}")),
        };
        let book = map.shards[0];
        let step =
            book.migration.map_or("stands".to_owned(), |moving| format!("{:?}", moving.step).to_lowercase());
        let seen =
            if done.is_ok() { format!("{step} {} {}", book.cell, book.epoch) } else { "no".to_owned() };
        told(seen.as_str(), wanted).map_err(|e| format!("{what}: {e}"))?;
    }
    Ok(())
}

fn celled(steps: &[(String, String)]) -> Result<(), String> {
    let mut keeper = CellState::default();
    for (what, wanted) in steps {
        let words: Vec<&str> = what.split(' ').collect();
        let number = |i: usize| words[i].parse::<u64>().map_err(|e| format!("{what}: {e}"));
        let seen = match words[0] {
            "write" => match keeper.admit(number(1)?, number(2)?) {
                Ok(()) => "yes".to_owned(),
                Err(due) => due.expected_epoch().map_or("shut".to_owned(), |due| due.to_string()),
            },
            word => {
                let (from, end) = words[1].split_once("..").ok_or("a range")?;
                let range = (from.parse().map_err(|_| "a firm")?, end.parse().map_err(|_| "a firm")?);
                let (epoch, token) = (number(2)?, number(3)?);
                let ask = match word {
                    "shut" => CellOperation::Close { cell: 0, range, epoch },
                    _ => CellOperation::Open { cell: 0, range, epoch },
                };
                match keeper.handle_request(&CellRequest { token, operation: ask }) {
                    CellAction::Reply(CellReply::Done) => "done".to_owned(),
                    CellAction::Reply(said) => format!("{said:?}").to_lowercase(),
                    CellAction::AwaitDrained(_) => "once quiet".to_owned(),
                    CellAction::Copy { .. } => "copy".to_owned(),
                }
            }
        };
        told(seen.as_str(), wanted).map_err(|e| format!("{what}: {e}"))?;
    }
    Ok(())
}

fn ticketed(at: u64, step: &str, says: &str) -> Result<(), String> {
    let mut map = ShardMap::even(1, &[4]);
    let steps = ["planned", "fencing", "drained", "copied"];
    let upto = steps.iter().position(|name| *name == step).map_or(0, |step| step + 1);
    let doing: [fn(&mut ShardMap); 4] = [
        |map| map.plan(0, 5).expect("it stands"),
        |map| map.raise_epoch(0).expect("planned"),
        |map| map.mark_drained(0, 2).expect("fencing"),
        |map| map.mark_copied(0, 2).expect("drained"),
    ];
    doing[..upto].iter().for_each(|step| step(&mut map));
    let mut reader = DecisionReader::default();
    if step != "never" {
        let stamp = Stamp { token: 1, revision: 1 };
        reader.accept(Duration::ZERO, Decision { stamp, valid_ms: 1000, body: map });
    }
    let now = Duration::from_millis(at);
    let seen = match Ticket::acquire(now, &reader, 7) {
        Ok(ticket) => {
            let (cell, epoch) = ticket.destination(now).ok_or("over at once")?;
            let until = (at..at + 2000).find(|ms| ticket.destination(Duration::from_millis(*ms)).is_none());
            format!("{cell} {epoch} until {}", until.unwrap_or(0))
        }
        Err(TicketError::NoValidMap) => "alone".to_owned(),
        Err(TicketError::Migrating) => "moving".to_owned(),
        Err(TicketError::UnknownFirm) => "unknown".to_owned(),
    };
    told(seen.as_str(), says)
}

fn planned(
    cells: &[(String, String, f64)],
    books: &[(u32, f64)],
    rested_s: u64,
    moves: &[(usize, u32)],
) -> Result<(), String> {
    let mut map = ShardMap::even(books.len(), &[0]);
    map.shards.iter_mut().zip(books).for_each(|(book, (cell, _))| book.cell = *cell);
    let cells: BTreeMap<u32, CellStatus> = (0..)
        .zip(cells)
        .map(|(number, (place, how, load))| {
            let (region, zone) = place.split_once('/').unwrap_or(("", place));
            let (region, zone) = (region.to_owned(), zone.to_owned());
            let (accepts_writes, is_draining) = (how == "takes", how == "leave");
            (number, CellStatus { zone, region, accepts_writes, is_draining, capacity: 100.0, load: *load })
        })
        .collect();
    let load: Vec<f64> = books.iter().map(|(_, load)| *load).collect();
    let rested = vec![Duration::from_secs(rested_s); books.len()];
    let mut seen: Vec<(usize, u32)> = plan_migrations(&map, &cells, &load, &rested, &Limits::default())
        .iter()
        .map(|planned| (planned.shard, planned.to))
        .collect();
    seen.sort_unstable();
    told(seen, moves.to_vec())
}

impl Row {
    fn play(&self) -> Result<(), String> {
        match &self.kind {
            Kind::Move(steps) => moved(steps),
            Kind::Cell(steps) => celled(steps),
            Kind::Ticket { at, step, says } => ticketed(*at, step, says),
            Kind::Plan { cells, books, rested_s, moves } => planned(cells, books, *rested_s, moves),
        }
    }
}

#[test]
fn every_clause_has_rows_and_every_row_holds() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/conformance/books.toml"));
    let tables: Tables = toml::from_str(&text.expect("readable")).expect("tables");
    let rows = tables.row.iter().map(|row| RowResult {
        id: row.id.clone(),
        clause: row.clause.clone(),
        because: row.because.clone(),
        outcome: row.play(),
    });
    check_rows(&tables.clause, rows);
    // A book in the middle of its move is open to nobody.
    assert!(
        MigrationStep::Planned < MigrationStep::Fencing
            && MigrationStep::Fencing < MigrationStep::Drained
            && MigrationStep::Drained < MigrationStep::Copied
    );
}
