//! What the programs tell their operators, on standard error: one event a line.
//!
//! As text a line is the program's name and the event's message, as it has always been; as JSON it has the event's fields as
//! well. Events of single requests are told only where the configuration asks for them: they carry the request's id under
//! `trace`, so that one request can be followed through all programs.
#![forbid(unsafe_code)]

use serde::Deserialize;
use std::fmt;
use std::io::{self, Write};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;

/// How events are told; the configuration's `log`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub form: Form,
    /// Events of single requests too: four or more for each.
    pub requests: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    #[default]
    Text,
    Json,
}

/// Tells events from now on, in this program's name. A second call changes nothing.
pub fn begin(program: &'static str, log: Log) {
    // Whoever has begun already tells them.
    drop(tracing::subscriber::set_global_default(subscriber(program, log, Stderr)));
}

/// The same where crates beneath tell events too: only those whose target begins so are told, and of others what is wrong.
pub fn begin_of(program: &'static str, own: &'static str, log: Log) {
    let level = if log.requests { LevelFilter::DEBUG } else { LevelFilter::INFO };
    let targets = Targets::new().with_target(own, level).with_default(LevelFilter::ERROR);
    let told = subscriber(program, log, Stderr).with(targets);
    // Whoever has begun already tells them.
    drop(tracing::subscriber::set_global_default(told));
}

/// The same for a writer of one's own.
pub fn subscriber<W>(program: &'static str, log: Log, writer: W) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let level = if log.requests { LevelFilter::DEBUG } else { LevelFilter::INFO };
    // Its own complaints would go to the standard error that is gone.
    let built =
        tracing_subscriber::fmt().with_max_level(level).with_writer(writer).log_internal_errors(false);
    match log.form {
        Form::Text => Box::new(built.event_format(Lines { program }).finish()),
        Form::Json => Box::new(built.json().flatten_event(true).with_current_span(false).finish()),
    }
}

/// The name of a program and an event's message.
struct Lines {
    program: &'static str,
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        write!(out, "{}: ", self.program)?;
        let mut message = Message { out: &mut out, result: Ok(()) };
        event.record(&mut message);
        message.result?;
        writeln!(out)
    }
}

struct Message<'a, 'w> {
    out: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" && self.result.is_ok() {
            self.result = write!(self.out, "{value:?}");
        }
    }
}

/// Standard error, also when nobody reads it any more: a program must not end, or stop, for want of a reader.
#[derive(Clone, Copy)]
struct Stderr;

impl MakeWriter<'_> for Stderr {
    type Writer = Stderr;

    fn make_writer(&self) -> Stderr {
        Stderr
    }
}

impl Write for Stderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(io::stderr().lock().write_all(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
