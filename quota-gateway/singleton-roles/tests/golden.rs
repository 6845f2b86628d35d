//! Golden tests of the keys and the encoded values that candidates, owners and operators store in the
//! coordination service. If a type or field is renamed, only the code that constructs the values here
//! changes; the fixtures do not.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, same_bytes, same_text};
use marblecroft_singleton_roles::keys::{
    decode_value, encode_value, Candidate, Keys, OperatorCommand, RoleOwner, ROLES,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn check_encoding<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(fixture: &str, value: &T) {
    same_bytes(fixture, &encode_value(value));
    assert_eq!(decode_value::<T>(&bytes(fixture)).as_ref(), Some(value), "{fixture}");
}

#[test]
fn values_have_a_stable_encoding() {
    let (zone, addr) = ("hall-a".to_owned(), "10.1.2.3:7400".to_owned());
    check_encoding("candidate.hex", &Candidate { zone, report_address: addr.clone() });
    check_encoding(
        "owner.hex",
        &RoleOwner { candidate: "steward-b".to_owned(), report_address: addr, token: 1009 },
    );
    check_encoding("pause.hex", &OperatorCommand::Pause);
    check_encoding("move.hex", &OperatorCommand::Move("steward-c".to_owned()));
}

#[test]
fn keys_have_stable_names() {
    let names = Keys::of("payroll");
    let role = ROLES[0];
    let keys = [
        names.prefix.clone(),
        names.candidate("steward-a"),
        names.owner(role),
        names.decision(role),
        names.operator_command(role),
        names.zone_override("hall-b"),
        names.shard_override("77"),
        names.lock(role),
        ROLES.join(" "),
    ];
    same_text("keys.txt", &keys.join("\n"));
}
