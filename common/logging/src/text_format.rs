//! The text formats: the name of the program and an event's message, with or without the other fields.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Formats an event as `PROGRAM: MESSAGE`, and ` name=value` for each other field if `with_fields` is set.
pub(crate) struct TextFormat {
    pub(crate) program: &'static str,
    pub(crate) with_fields: bool,
}

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "{}: ", self.program)?;
        let mut visitor = TextVisitor { writer: &mut writer, with_fields: self.with_fields, result: Ok(()) };
        event.record(&mut visitor);
        visitor.result?;
        writeln!(writer)
    }
}

/// Writes an event's message, and its other fields if `with_fields` is set. `tracing` visits the message
/// first.
struct TextVisitor<'a, 'w> {
    writer: &'a mut Writer<'w>,
    with_fields: bool,
    /// The first failure. It is stored because visiting cannot be aborted.
    result: fmt::Result,
}

impl Visit for TextVisitor<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if self.result.is_err() {
            return;
        }
        if field.name() == "message" {
            self.result = write!(self.writer, "{value:?}");
        } else if self.with_fields {
            self.result = write!(self.writer, " {}={value:?}", field.name());
        }
    }
}
