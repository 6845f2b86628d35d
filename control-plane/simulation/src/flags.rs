//! The program's flags.
#![allow(missing_docs, reason = "xflags documents neither the types nor the functions that it generates")]

use std::path::PathBuf;

xflags::xflags! {
    /// Clusters of coordinators and stores on virtual networks, disks and clocks.
    cmd marblecroft-simulation {
        /// Runs seeds, and prints their rate and which of them violate a check.
        cmd search {
            /// The first seed (1).
            optional --from from: u64
            /// How many seeds (1000).
            optional --seeds seeds: u64
            /// Coordinators (3).
            optional --coordinators coordinators: usize
            /// Stores (4).
            optional --stores stores: usize
            /// Machines with a disk that may be lost at once (1).
            optional --tolerated tolerated: usize
            /// Further coordinators without a disk (0).
            optional --without-disk without: usize
            /// Threads (4).
            optional --threads threads: usize
        }
        /// Writes scenarios (days) for the bench, one file each, and prints their faults.
        cmd days {
            /// The site file whose first day is the template of traffic and thresholds.
            required --site site: PathBuf
            /// The directory that they are written to.
            required --out out: PathBuf
            /// The first day (0).
            optional --from from: usize
            /// How many (one for each variant of each fault).
            optional --days days: usize
            /// The seed (1).
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
