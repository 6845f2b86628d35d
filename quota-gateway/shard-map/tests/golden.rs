//! Recorded bytes of the published map and of what is asked of cells. A type or field that is renamed in the program is
//! renamed in the construction code here; the fixtures stay.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;
#[path = "../../../testing/support/golden/message.rs"]
mod message;

use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_shard_map::cell::{CellReply, CellRequest};
use marblecroft_shard_map::map::{Migration, MigrationStep, Shard, ShardMap};
use marblecroft_shard_map::migration::CellOperation;
use message::check_message;

#[test]
fn maps_keep_their_bytes() {
    let book = |number: u32, step: Option<MigrationStep>| Shard {
        first: u64::from(number) * 1_000_003,
        cell: 40 + number,
        epoch: 500 + u64::from(number),
        migration: step.map(|step| Migration { to: 60 + number, step }),
    };
    let books = vec![
        book(0, None),
        book(1, Some(MigrationStep::Planned)),
        book(2, Some(MigrationStep::Fencing)),
        book(3, Some(MigrationStep::Drained)),
        book(4, Some(MigrationStep::Copied)),
    ];
    let stamp = Stamp { token: 1009, revision: 2011 };
    check_message("map.hex", &Decision { stamp, valid_ms: 3017, body: ShardMap { shards: books } });
}

#[test]
fn requests_to_cells_keep_their_bytes() {
    let range = (1_000_003, 2_000_006);
    let asked = |ask| CellRequest { token: 1013, operation: ask };
    check_message("shut.hex", &asked(CellOperation::Close { cell: 41, range, epoch: 501 }));
    check_message("copy.hex", &asked(CellOperation::Copy { cell: 42, to: 62, range, epoch: 502 }));
    check_message("open.hex", &asked(CellOperation::Open { cell: 43, range, epoch: 503 }));
}

#[test]
fn replies_of_cells_keep_their_bytes() {
    check_message("done.hex", &CellReply::Done);
    check_message("not-yet.hex", &CellReply::InProgress);
    check_message("higher.hex", &CellReply::Higher);
    check_message("fenced.hex", &CellReply::Fenced { token: 1019 });
}
