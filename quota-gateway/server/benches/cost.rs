//! Instructions that the gateway takes for a request, counted by valgrind's callgrind, which does not depend on how busy
//! the machine is: `cargo bench -p marblecroft-quota-gateway --bench cost`. A fixed number of requests on one connection to one server; the
//! start is taken off by a second run with fewer. Needs valgrind.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use std::process::Command;

const FEW: usize = 200;
const MANY: usize = 1200;
const PLAYS: usize = 3;

/// Instructions of a whole life with so many requests, as valgrind says at its end.
fn life(requests: usize) -> u64 {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = list(1, true, &serving(&[&server]));
    let script = "exec valgrind --tool=callgrind --callgrind-out-file=/dev/null \"$0\"";
    let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
    let mut gateway = Running::start_with(script, &config, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    let mut client = gateway.client();
    for n in 0..requests {
        let request =
            if n % 2 == 0 { saldo(&format!("{n}"), "3") } else { abono(&format!("{n}"), "3", "pago") };
        let answer = client.ask(&request);
        assert_eq!(answer.status(), 200, "request {n}: {}", answer.text());
    }
    assert_eq!(server.requests(), requests, "each was sent once");
    gateway.terminate();
    assert!(gateway.exit().success());
    let mut counted = None;
    until("valgrind has counted", || {
        let log = gateway.log();
        let line =
            log.lines().find_map(|line| line.split_once("Collected :").map(|(_, n)| n.trim().to_owned()));
        counted = line.and_then(|n| n.parse().ok());
        counted.is_some()
    });
    counted.expect("just seen")
}

fn main() {
    if !Command::new("valgrind").arg("--version").output().is_ok_and(|output| output.status.success()) {
        println!("valgrind is not installed: nothing was counted");
        return;
    }
    let mut each: Vec<u64> = (0..PLAYS).map(|_| (life(MANY) - life(FEW)) / (MANY - FEW) as u64).collect();
    each.sort_unstable();
    println!(
        "instructions for each request, median and spread of {PLAYS}: {} ({} to {})",
        each[PLAYS / 2],
        each[0],
        each[PLAYS - 1]
    );
}
