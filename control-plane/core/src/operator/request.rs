//! Parsing of the operator's calls.

use super::{Call, Method};
use marblecroft_configuration::{Configuration, ConfigurationError, Update};
use marblecroft_control_state::Operation;
use marblecroft_rpc::http::Reply;
use marblecroft_rpc::Bytes;
use quick_error::quick_error;

quick_error! {
    /// Reason why a call is rejected. Its text is the body of the reply.
    #[derive(Debug)]
    pub enum RequestError {
        /// There is no call with this path.
        UnknownPath {
            display("no such call")
        }
        /// The method is not allowed for the path.
        MethodNotAllowed {
            display("not with this method")
        }
        /// A change has no `X-Base-Version` header.
        MissingBaseVersion {
            display("X-Base-Version is missing")
        }
        /// The `X-Base-Version` header of a change is not a number.
        InvalidBaseVersion(error: std::num::ParseIntError) {
            display("X-Base-Version: expected a whole number")
            source(error)
        }
        /// The configuration or the update is invalid.
        InvalidConfiguration(error: ConfigurationError) {
            from()
            display("{}", error)
            source(error)
        }
    }
}

impl RequestError {
    /// Returns the reply to the call.
    pub(crate) fn reply(&self) -> Reply {
        let status = match self {
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::MissingBaseVersion
            | RequestError::InvalidBaseVersion(_)
            | RequestError::InvalidConfiguration(_) => 400,
        };
        Reply::text(status, &self.to_string())
    }
}

/// The call that a path selects.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    ReplaceConfiguration,
    UpdateConfiguration,
    ReadConfiguration,
    StartRetirement { node: String },
    ReadRetirement { node: String },
}

impl Endpoint {
    /// Parses the path of a URL. The query is ignored.
    pub(crate) fn parse(url: &str) -> Result<Endpoint, RequestError> {
        let path = url.split('?').next().unwrap_or_default();
        if let Some(node) = path.strip_prefix("/-/Retire.Start/") {
            return Ok(Endpoint::StartRetirement { node: node.to_owned() });
        }
        if let Some(node) = path.strip_prefix("/-/Retire.Read/") {
            return Ok(Endpoint::ReadRetirement { node: node.to_owned() });
        }
        match path {
            "/-/Config.Replace" => Ok(Endpoint::ReplaceConfiguration),
            "/-/Config.Update" => Ok(Endpoint::UpdateConfiguration),
            "/-/Config.Read" => Ok(Endpoint::ReadConfiguration),
            _ => Err(RequestError::UnknownPath),
        }
    }
}

/// A well-formed call.
#[derive(Debug)]
pub(crate) enum Request {
    /// Changes the configuration; the result has this generation.
    Change {
        generation: u64,
        operation: Operation,
    },
    ReadConfiguration,
    StartRetirement {
        node: String,
    },
    ReadRetirement {
        node: String,
    },
}

impl Request {
    /// Parses the method, the headers and the body of a call to `endpoint`.
    ///
    /// # Errors
    ///
    /// Fails if the method is not allowed, if the base version of a change is missing or not a number, or if
    /// its body is invalid.
    pub(crate) fn parse(endpoint: Endpoint, call: Call) -> Result<Request, RequestError> {
        match (endpoint, call.method) {
            (Endpoint::ReplaceConfiguration, Method::Post) => {
                let base = parse_base(call.base)?;
                let generation = Configuration::parse(&call.body)?.generation;
                let body = Bytes(call.body);
                let operation = Operation::ReplaceConfiguration { base, generation, body };
                Ok(Request::Change { generation, operation })
            }
            (Endpoint::UpdateConfiguration, Method::Post) => {
                let base = parse_base(call.base)?;
                let generation = Update::parse(&call.body)?.generation;
                let change = Bytes(call.body);
                let operation = Operation::UpdateConfiguration { base, generation, change };
                Ok(Request::Change { generation, operation })
            }
            (Endpoint::ReadConfiguration, Method::Get) => Ok(Request::ReadConfiguration),
            (Endpoint::StartRetirement { node }, Method::Post) => Ok(Request::StartRetirement { node }),
            (Endpoint::ReadRetirement { node }, _) => Ok(Request::ReadRetirement { node }),
            _ => Err(RequestError::MethodNotAllowed),
        }
    }
}

fn parse_base(base: Option<String>) -> Result<u64, RequestError> {
    let base = base.ok_or(RequestError::MissingBaseVersion)?;
    base.trim().parse().map_err(RequestError::InvalidBaseVersion)
}
