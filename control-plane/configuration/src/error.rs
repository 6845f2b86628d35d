//! Reasons for the rejection of a configuration or of a change. Each display text is one line for the
//! operator.

use nanoserde::DeJsonErr;
use quick_error::quick_error;
use std::str::Utf8Error;

quick_error! {
    /// The reason why a configuration is rejected.
    #[derive(Debug)]
    pub enum ConfigurationError {
        /// The text is not UTF-8.
        NotUtf8(cause: Utf8Error) {
            display("not a configuration: {cause}")
            source(cause)
        }
        /// The text is not exactly one JSON value.
        IncompleteJson {
            display("not a configuration: not one whole JSON value")
        }
        /// The JSON lacks required members, or members have other types.
        Json(cause: DeJsonErr) {
            display("not a configuration: {cause}")
            source(cause)
        }
        /// The change of named items cannot be applied.
        InvalidUpdate(cause: UpdateError) {
            display("not an update: {cause}")
            source(cause)
            from()
        }
        /// A member of a route has an invalid value, for this reason.
        InvalidRoute(route: String, reason: &'static str) {
            display("route {route}: {reason}")
        }
        /// A route names a service that the configuration does not have.
        UnknownService(route: String, service: String) {
            display("route {route}: no service is named {service}")
        }
        /// Two routes have the same host and prefix.
        DuplicateRoute(route: String) {
            display("route {route}: another route has the same hostname and path_prefix")
        }
        /// Two services have the same name.
        DuplicateService(service: String) {
            display("service {service}: another service has the same name")
        }
    }
}

quick_error! {
    /// The reason why a change of named items cannot be applied.
    #[derive(Debug)]
    pub enum UpdateError {
        /// The text of the change, or of the configuration to change, is not UTF-8.
        NotUtf8(cause: Utf8Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The text is not exactly one JSON value.
        IncompleteJson {
            display("not one whole JSON value")
        }
        /// A member does not have the required type.
        Json(cause: DeJsonErr) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An object is required, and the text contains another value.
        NotAnObject {
            display("an object is missing")
        }
        /// A list is required, and the text contains a value other than an array.
        NotAList(list: String) {
            display("{list} is no list")
        }
        /// The change contains no generation.
        MissingGeneration {
            display("generation is missing")
        }
        /// A member of the change occurs more than once.
        DuplicateMember(member: String) {
            display("{member} is there twice")
        }
        /// An item is both upserted and removed, or occurs twice.
        DuplicateItem(item: String, list: String) {
            display("{item} is named twice in {list}")
        }
        /// No configuration is in force yet.
        NoConfiguration {
            display("there is no configuration to change")
        }
        /// The change names a list that the configuration does not have.
        UnknownList(list: String) {
            display("the configuration has no list {list}")
        }
    }
}
