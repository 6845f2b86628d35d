//! The command line.

xflags::xflags! {
    /// The control plane of the serving tier. Settings are read from the file that MARBLECROFT_CONFIG names.
    cmd marblecroft-control-plane {
        /// Keeps the configuration and the list of servers, and gives both to the gateways.
        cmd coordinator {}
        /// Keeps batch jobs.
        cmd store {}
        /// Reads the settings and says whether they can be used.
        cmd check {}
    }
}
