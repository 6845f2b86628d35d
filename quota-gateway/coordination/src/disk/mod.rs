//! Disks under the log that are not the plain file.
//!
//! - [`Overlay`]: a file that is read and never written.
//! - [`FaultyFile`]: a file on a slow or failing disk, for trials.
//! - [`MemoryDisk`]: a disk in memory that crashes, for tests and simulations.

mod faulty_file;
mod memory_disk;
mod overlay;

pub use faulty_file::FaultyFile;
pub use memory_disk::MemoryDisk;
pub use overlay::Overlay;
