//! Command-line flags.

xflags::xflags! {
    /// The data plane of the serving tier. Settings are read from the file that MARBLECROFT_CONFIG names.
    cmd marblecroft-data-plane {
        /// Serves clients.
        cmd gateway {
            /// Overrides a placement constant, as NAME=VALUE (for experiments).
            repeated --tune setting: String
            /// Logs the events of single requests too.
            optional --log-requests
        }
        /// Checks whether the settings are valid.
        cmd check {}
    }
}
