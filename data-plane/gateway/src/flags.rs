//! The command line.

xflags::xflags! {
    /// The data plane of the serving tier. Settings are read from the file that MARBLECROFT_CONFIG names.
    cmd marblecroft-data-plane {
        /// Serves clients.
        cmd gateway {
            /// NAME=VALUE: sets a constant of placement, for a trial.
            repeated --tune setting: String
        }
        /// Reads the settings and says whether they can be used.
        cmd check {}
    }
}
