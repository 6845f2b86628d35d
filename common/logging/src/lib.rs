//! Logging to standard error, one event per line.
//!
//! Programs log with `tracing`. A text line consists of the program's name and the event's message, followed
//! by the event's fields in programs whose messages are constant texts. A JSON line always has the fields.
//! Events of single requests are logged only if the [`LogConfig`] enables them. They carry the request's id
//! in the field `trace`, so that one request can be followed through all programs.
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

/// Starts logging the events of this process to standard error, under the name `program`. A second call has
/// no effect.
pub fn init(program: &'static str, config: LogConfig) {
    set_global(subscriber(program, config, BestEffortStderr));
}

/// Like [`init`], for programs whose dependencies log too: events whose target does not begin with
/// `target_prefix` are logged only if they are errors.
pub fn init_for_target(program: &'static str, target_prefix: &'static str, config: LogConfig) {
    let targets =
        Targets::new().with_target(target_prefix, config.max_level()).with_default(LevelFilter::ERROR);
    set_global(subscriber(program, config, BestEffortStderr).with(targets));
}

fn set_global(subscriber: impl Subscriber + Send + Sync) {
    // Fails if a subscriber is already set; that one continues to log all events.
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
        // A write error would be reported to standard error, which is what has just failed.
        .log_internal_errors(false);
    let text = |with_fields| TextFormat { program, with_fields };
    match config.format {
        LogFormat::Text => Box::new(builder.event_format(text(false)).finish()),
        LogFormat::TextWithFields => Box::new(builder.event_format(text(true)).finish()),
        LogFormat::Json => Box::new(builder.json().flatten_event(true).with_current_span(false).finish()),
    }
}
