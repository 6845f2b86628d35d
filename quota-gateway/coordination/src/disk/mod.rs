//! Storage backends for the log other than a plain file.
//!
//! - [`Overlay`]: a read-only file whose changes are kept in memory.
//! - [`FaultyFile`]: a file with slow or failing syncs, for fault tests.
//! - [`MemoryDisk`]: a disk in memory that can crash, for tests and simulations.

mod faulty_file;
mod memory_disk;
mod overlay;

pub use faulty_file::FaultyFile;
pub use memory_disk::MemoryDisk;
pub use overlay::Overlay;
