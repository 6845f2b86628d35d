//! The command line.

xflags::xflags! {
    /// The control plane of the serving tier. Settings are read from the file that MARBLECROFT_CONFIG names.
    cmd marblecroft-control-plane {
        /// Replicates the configuration and the server list, and serves both to the gateways.
        cmd coordinator {}
        /// Replicates batch jobs.
        cmd store {}
        /// Validates the settings file.
        cmd check {}
    }
}
