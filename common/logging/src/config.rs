//! The configuration of logging.

use serde::Deserialize;
use tracing::level_filters::LevelFilter;

/// How events are logged; the member `log` of a program's configuration.
// `rename` keeps the outer type names, which deserializers print in their errors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename = "Log", deny_unknown_fields, default)]
pub struct LogConfig {
    /// Format of the log (`form`). Default: text.
    #[serde(rename = "form")]
    pub format: LogFormat,
    /// Whether events of single requests, at least four per request, are logged too. Default: false.
    pub requests: bool,
}

impl LogConfig {
    /// Returns the most verbose level that is logged. Events of single requests have the level `DEBUG`.
    pub(crate) fn max_level(&self) -> LevelFilter {
        if self.requests {
            LevelFilter::DEBUG
        } else {
            LevelFilter::INFO
        }
    }
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename = "Form", rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each event: the name of the program and the message (`text`).
    #[default]
    Text,
    /// Like [`Text`](Self::Text), with the event's other fields after the message, each as ` name=value`. For
    /// programs whose messages are constant texts. It cannot be selected in a configuration.
    #[serde(skip)]
    TextWithFields,
    /// One line with a JSON object for each event, with the event's fields (`json`).
    Json,
}
