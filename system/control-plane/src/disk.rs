//! Opens the log of a member of a chain, or stands in for one where the machine has no disk.

use marblecroft_chain::storage::Storage;
use marblecroft_chain::{Replica, StateMachine, View};
use marblecroft_control_core::member;
use marblecroft_log::{Log, Recovered};
use marblecroft_wire::draw_number;
use std::io;
use std::path::Path;

/// The state in `folder`, under `founding` where the folder is empty and this member founds its chain.
pub fn open<M: StateMachine + Default>(
    folder: &Path,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, Log>> {
    let (log, recovered) = Log::open(folder)?;
    member::open(log, recovered, draw_number(), founding)
}

/// What a member keeps on a machine without a disk: nothing.
pub struct NoDisk;

impl Storage for NoDisk {
    fn append(&mut self, _: &[&[u8]]) -> io::Result<()> {
        Ok(())
    }

    fn start_segment(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn is_writable(&self) -> bool {
        true
    }

    fn record_bytes(&self) -> u64 {
        0
    }
}

/// An empty state on a machine without a disk.
pub fn without<M: StateMachine + Default>(founding: Option<(u64, View)>) -> io::Result<Replica<M, NoDisk>> {
    member::open(NoDisk, Recovered::default(), draw_number(), founding)
}
