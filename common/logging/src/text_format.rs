//! The text format: the name of the program and an event's message.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Formats an event as `PROGRAM: MESSAGE`. Other fields are omitted.
pub(crate) struct TextFormat {
    pub(crate) program: &'static str,
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
        let mut visitor = MessageVisitor { writer: &mut writer, result: Ok(()) };
        event.record(&mut visitor);
        visitor.result?;
        writeln!(writer)
    }
}

/// Writes the message among an event's fields.
struct MessageVisitor<'a, 'w> {
    writer: &'a mut Writer<'w>,
    /// The first failure; visiting cannot be aborted.
    result: fmt::Result,
}

impl Visit for MessageVisitor<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" && self.result.is_ok() {
            self.result = write!(self.writer, "{value:?}");
        }
    }
}
