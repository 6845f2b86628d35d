//! Golden test: the recorded events of two gateways must produce exactly the recorded actions and error
//! lines.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{same_text, text};
use std::io::Write;
use std::process::{Command, Stdio};
use std::thread;

#[test]
fn recorded_events_produce_the_recorded_actions_and_errors() {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_marblecroft-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = adapter.stdin.take().expect("piped");
    // Input is written in a separate thread while the output is read, because the pipes cannot buffer it
    // completely.
    let writer = thread::spawn(move || input.write_all((text("events.jsonl") + "\n").as_bytes()));
    let output = adapter.wait_with_output().expect("it ends with its input");
    writer.join().expect("no panic").expect("written");
    assert!(output.status.success());
    same_text("actions.jsonl", String::from_utf8(output.stdout).expect("UTF-8").trim_end_matches('\n'));
    same_text("errors.txt", String::from_utf8(output.stderr).expect("UTF-8").trim_end_matches('\n'));
}
