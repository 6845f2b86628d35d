//! Logging to standard error, one event a line.
//!
//! Programs log with `tracing`. As text, a line is the program's name and the event's message, with the event's fields where
//! the program's messages are constant texts; as JSON, it always has the fields. Events of single requests are logged only where the [`LogConfig`] says so: they carry the request's id in
//! the field `trace`, so that one request can be followed through all programs.
#![forbid(unsafe_code)]

mod config;
mod stderr;
mod text_format;

pub use config::{LogConfig, LogFormat};

use stderr::BestEffortStderr;
use text_format::TextFormat;
use tracing::level_filters::LevelFilter;
use tracing::Subscriber;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;

/// Logs the events of this process to standard error from now on, under the name `program`. A second call has no effect.
pub fn init(program: &'static str, config: LogConfig) {
    set_global(subscriber(program, config, BestEffortStderr));
}

/// Like [`init`], for programs whose dependencies log too: of events whose target does not begin with `target_prefix`, only
/// errors are logged.
pub fn init_for_target(program: &'static str, target_prefix: &'static str, config: LogConfig) {
    let targets =
        Targets::new().with_target(target_prefix, config.max_level()).with_default(LevelFilter::ERROR);
    set_global(subscriber(program, config, BestEffortStderr).with(targets));
}

fn set_global(subscriber: impl Subscriber + Send + Sync) {
    // This fails where a subscriber is set already, which then logs all events.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Returns a subscriber that logs to `writer`.
pub fn subscriber<W>(program: &'static str, config: LogConfig, writer: W) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let builder = tracing_subscriber::fmt()
        .with_max_level(config.max_level())
        .with_writer(writer)
        // Errors of the writer would be logged to the standard error that has failed.
        .log_internal_errors(false);
    let text = |with_fields| TextFormat { program, with_fields };
    match config.format {
        LogFormat::Text => Box::new(builder.event_format(text(false)).finish()),
        LogFormat::TextWithFields => Box::new(builder.event_format(text(true)).finish()),
        LogFormat::Json => Box::new(builder.json().flatten_event(true).with_current_span(false).finish()),
    }
}
