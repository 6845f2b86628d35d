//! Standard error as a writer that never fails.

use std::io::{self, Write};
use tracing_subscriber::fmt::MakeWriter;

/// Writes to standard error and ignores failures: a program must not exit or block because the reader of its
/// log has gone away.
#[derive(Clone, Copy)]
pub(crate) struct BestEffortStderr;

impl MakeWriter<'_> for BestEffortStderr {
    type Writer = BestEffortStderr;

    fn make_writer(&self) -> BestEffortStderr {
        BestEffortStderr
    }
}

impl Write for BestEffortStderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // There is no other place to report the failure.
        let _ = io::stderr().lock().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
