//! Compares the encodings of the published map and of requests to cells and their replies with recorded
//! bytes. After a rename of a type or field only the code here changes; the fixtures stay.

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
fn the_encoding_of_maps_matches_the_fixture() {
    let shard = |number: u32, step: Option<MigrationStep>| Shard {
        first: u64::from(number) * 1_000_003,
        cell: 40 + number,
        epoch: 500 + u64::from(number),
        migration: step.map(|step| Migration { to: 60 + number, step }),
    };
    let shards = vec![
        shard(0, None),
        shard(1, Some(MigrationStep::Planned)),
        shard(2, Some(MigrationStep::Fencing)),
        shard(3, Some(MigrationStep::Drained)),
        shard(4, Some(MigrationStep::Copied)),
    ];
    let stamp = Stamp { token: 1009, revision: 2011 };
    check_message("map.hex", &Decision { stamp, valid_ms: 3017, body: ShardMap { shards } });
}

#[test]
fn the_encoding_of_requests_to_cells_matches_the_fixtures() {
    let range = (1_000_003, 2_000_006);
    let request = |operation| CellRequest { token: 1013, operation };
    check_message("shut.hex", &request(CellOperation::Close { cell: 41, range, epoch: 501 }));
    check_message("copy.hex", &request(CellOperation::Copy { cell: 42, to: 62, range, epoch: 502 }));
    check_message("open.hex", &request(CellOperation::Open { cell: 43, range, epoch: 503 }));
}

#[test]
fn the_encoding_of_replies_of_cells_matches_the_fixtures() {
    check_message("done.hex", &CellReply::Done);
    check_message("not-yet.hex", &CellReply::InProgress);
    check_message("higher.hex", &CellReply::Higher);
    check_message("fenced.hex", &CellReply::Fenced { token: 1019 });
}
