//! Recorded bytes and names of what candidates, owners and operators keep in the coordination service. A type or field that
//! is renamed in the program is renamed in the construction code here; the fixtures stay.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, same_bytes, same_text};
use marblecroft_singleton_roles::keys::{
    decode_value, encode_value, Candidate, Keys, OperatorCommand, RoleOwner, ROLES,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn keeps_its_bytes<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(fixture: &str, value: &T) {
    same_bytes(fixture, &encode_value(value));
    assert_eq!(decode_value::<T>(&bytes(fixture)).as_ref(), Some(value), "{fixture}");
}

#[test]
fn records_keep_their_bytes() {
    let (zone, addr) = ("hall-a".to_owned(), "10.1.2.3:7400".to_owned());
    keeps_its_bytes("candidate.hex", &Candidate { zone, report_address: addr.clone() });
    keeps_its_bytes(
        "owner.hex",
        &RoleOwner { candidate: "steward-b".to_owned(), report_address: addr, token: 1009 },
    );
    keeps_its_bytes("pause.hex", &OperatorCommand::Pause);
    keeps_its_bytes("move.hex", &OperatorCommand::Move("steward-c".to_owned()));
}

#[test]
fn keys_keep_their_names() {
    let names = Keys::of("payroll");
    let duty = ROLES[0];
    let keys = [
        names.prefix.clone(),
        names.candidate("steward-a"),
        names.owner(duty),
        names.decision(duty),
        names.operator_command(duty),
        names.zone_override("hall-b"),
        names.shard_override("77"),
        names.lock(duty),
        ROLES.join(" "),
    ];
    same_text("keys.txt", &keys.join("\n"));
}
