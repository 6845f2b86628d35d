//! The command-line flags of the program.
#![allow(missing_docs, reason = "xflags documents neither the types nor the functions that it generates")]

use std::path::PathBuf;

xflags::xflags! {
    /// Simulates clusters of coordinators and stores on virtual networks, disks and clocks.
    cmd marblecroft-simulation {
        /// Runs seeds; prints the seeds that violate a check and the number of seeds per second.
        cmd search {
            /// First seed (default: 1).
            optional --from from: u64
            /// Number of seeds (default: 1000).
            optional --seeds seeds: u64
            /// Number of coordinators with a disk (default: 3).
            optional --coordinators coordinators: usize
            /// Number of stores (default: 4).
            optional --stores stores: usize
            /// Number of machines with a disk that may be lost at once (default: 1).
            optional --tolerated tolerated: usize
            /// Number of additional coordinators without a disk (default: 0).
            optional --without-disk without: usize
            /// Number of threads (default: 4).
            optional --threads threads: usize
        }
        /// Writes scenarios (days) for the test bench, one file each, and prints a summary of each.
        cmd days {
            /// Site file whose first day is the template for traffic and thresholds.
            required --site site: PathBuf
            /// Directory that the scenarios are written to.
            required --out out: PathBuf
            /// Number of the first day (default: 0).
            optional --from from: usize
            /// Number of days (default: one for each kind of fault, variant and role).
            optional --days days: usize
            /// Seed (default: 1).
            optional --seed seed: u64
        }
        /// Runs one seed and logs its events.
        cmd replay {
            required --seed seed: u64
            optional --coordinators coordinators: usize
            optional --stores stores: usize
            optional --tolerated tolerated: usize
            optional --without-disk without: usize
        }
    }
}
