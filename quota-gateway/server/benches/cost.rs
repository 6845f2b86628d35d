//! Measures the instructions per request of the gateway with valgrind's callgrind, whose result does not
//! depend on the load of the machine: `cargo bench -p marblecroft-quota-gateway --bench cost`. A fixed number
//! of requests is sent on one connection and forwarded to one server. The cost of the start is removed by
//! subtracting a second run with fewer requests. Needs valgrind.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use std::process::Command;

const BASELINE_REQUESTS: usize = 200;
const MEASURED_REQUESTS: usize = 1200;
const RUNS: usize = 3;

/// Runs a gateway process that serves `requests` requests, and returns its total number of instructions as
/// reported by valgrind on exit.
fn count_instructions(requests: usize) -> u64 {
    let server = Stub::start(|_| ok("served"));
    let agent = Agent::start();
    let known = endpoint_list(1, true, &serving(&[&server]));
    let script = "exec valgrind --tool=callgrind --callgrind-out-file=/dev/null \"$0\"";
    let config = config("127.0.0.1:0", agent.stub.addr, Some(&known));
    let mut gateway = GatewayProcess::start_with(script, &config, &[("RELAY_CONSOLE", "127.0.0.1:0")]);
    let mut client = gateway.client();
    for n in 0..requests {
        let request =
            if n % 2 == 0 { saldo(&format!("{n}"), "3") } else { abono(&format!("{n}"), "3", "pago") };
        let response = client.call(&request);
        assert_eq!(response.status(), 200, "request {n}: {}", response.text());
    }
    assert_eq!(server.requests(), requests, "each request was sent once");
    gateway.terminate();
    assert!(gateway.exit().success());
    let mut instructions = None;
    until("valgrind has reported its count", || {
        let log = gateway.log();
        let line =
            log.lines().find_map(|line| line.split_once("Collected :").map(|(_, n)| n.trim().to_owned()));
        instructions = line.and_then(|n| n.parse().ok());
        instructions.is_some()
    });
    instructions.expect("the condition above was met")
}

fn main() {
    if !Command::new("valgrind").arg("--version").output().is_ok_and(|output| output.status.success()) {
        println!("valgrind is not installed: no instructions were counted");
        return;
    }
    let mut per_request: Vec<u64> = (0..RUNS)
        .map(|_| {
            (count_instructions(MEASURED_REQUESTS) - count_instructions(BASELINE_REQUESTS))
                / (MEASURED_REQUESTS - BASELINE_REQUESTS) as u64
        })
        .collect();
    per_request.sort_unstable();
    println!(
        "instructions per request, median and range of {RUNS} runs: {} ({} to {})",
        per_request[RUNS / 2],
        per_request[0],
        per_request[RUNS - 1]
    );
}
