//! Connects the decision logic of the quota gateway to a simulator.
//!
//! The simulator writes a batch of events as one line to standard input, and reads the actions as one line
//! from standard output before it writes the next batch. Malformed input is reported on standard error.

mod gateways;
mod wire;

use gateways::Gateways;
use std::io::{self, BufRead, Write};
use std::panic;
use wire::{Batch, Reply};

/// The program name, with which each line on standard error begins.
const PROGRAM: &str = "marblecroft-simulator-adapter";

fn main() -> io::Result<()> {
    panic::set_hook(Box::new(|info| eprintln!("{PROGRAM}: {info}")));
    let mut gateways = Gateways::default();
    let mut output = io::stdout().lock();
    for line in io::stdin().lock().split(b'\n') {
        let line = line?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = handle_line(&mut gateways, &line);
        serde_json::to_writer(&mut output, &reply)?;
        output.write_all(b"\n")?;
        output.flush()?;
    }
    Ok(())
}

/// Handles a batch. The reply to a malformed batch is empty, because the simulator always waits for a line.
fn handle_line(gateways: &mut Gateways, line: &[u8]) -> Reply {
    match serde_json::from_slice::<Batch>(line) {
        Ok(batch) => gateways.handle_batch(batch),
        Err(cause) => {
            eprintln!("{PROGRAM}: not a batch: {cause}");
            Reply::default()
        }
    }
}
