//! The command line.

xflags::xflags! {
    /// The data plane of the serving tier. Settings are read from the file that MARBLECROFT_CONFIG names.
    cmd marblecroft {
        /// Serves clients.
        cmd gateway {}
        /// Reads the settings and says whether they can be used.
        cmd check {}
    }
}
