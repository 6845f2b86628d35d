//! The trace of one request by its id: events of clients and pay servers, and log lines of processes, ordered
//! by time.
//!
//! Gateways log single requests only if their configuration has `log = { form = "json", requests = true }`.

use crate::error::RecordingError;
use crate::harness::run::HISTORY;
use crate::history::{Event, Reader, Trace};
use serde_json::Value;
use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Fields of a log line that are omitted, because they are printed elsewhere or are always the same.
const OMITTED_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "trace"];

/// Returns the events and log lines of a request as text, ordered by time.
///
/// # Errors
///
/// The id is invalid, or the history or a log cannot be read.
pub fn follow(dir: &Path, id: &str) -> Result<Vec<String>, RecordingError> {
    let trace = Trace::from_str_radix(id, 16).map_err(|_| RecordingError::TraceId(id.to_owned()))?;
    let mut lines = events_of(&dir.join(HISTORY), trace)?;
    let logs = dir.join("logs");
    for entry in fs::read_dir(&logs).map_err(|error| RecordingError::File(logs.clone(), error))?.flatten() {
        let source =
            entry.path().file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
        let file = File::open(entry.path()).map_err(|error| RecordingError::File(entry.path(), error))?;
        let entries = BufReader::new(file)
            .lines()
            .map_while(Result::ok)
            .filter_map(|line| parse_log_line(&line, trace));
        lines.extend(entries.map(|(at, what)| (at, source.clone(), what)));
    }
    lines.sort();
    let begin = lines.first().map_or(UNIX_EPOCH, |(at, ..)| *at);
    let since = |at: SystemTime| at.duration_since(begin).unwrap_or_default().as_secs_f64() * 1e3;
    Ok(lines
        .into_iter()
        .map(|(at, source, what)| format!("{:>10.3} ms  {source}: {what}", since(at)))
        .collect())
}

type LogEntry = (SystemTime, String, String);

/// Returns the recorded events of a request as lines of text.
fn events_of(path: &Path, trace: Trace) -> Result<Vec<LogEntry>, RecordingError> {
    let (mut origin, mut lines, mut attempts) = (UNIX_EPOCH, Vec::new(), HashSet::new());
    Reader::open(path)?
        .each(|at| {
            let mut push = |source: String, what: String| lines.push((at.at, source, what));
            match &at.event {
                Event::Setup(setup) => origin = UNIX_EPOCH + Duration::from_micros(setup.unix_us),
                Event::AttemptStarted { trace: of, request, gateway, timeout, .. } if *of == trace => {
                    push(
                        "client".to_owned(),
                        format!("request {request} to gateways[{gateway}], waits {} ms", timeout / 1_000_000),
                    );
                }
                Event::AttemptEnded { trace: of, outcome } if *of == trace => {
                    push("client".to_owned(), format!("{outcome:?}"));
                }
                Event::AttemptEndedLate { trace: of, answered } if *of == trace => {
                    push("client".to_owned(), format!("after its timeout: answered {answered}"));
                }
                Event::Arrived { trace: of, attempt, server, gateway, .. } if *of == trace => {
                    attempts.insert(*attempt);
                    push(
                        format!("pay_servers[{server}]"),
                        format!("attempt {attempt} arrived from gateways[{gateway}]"),
                    );
                }
                Event::Ran { attempt } if attempts.contains(attempt) => {
                    push("pay server".to_owned(), format!("attempt {attempt} runs"));
                }
                Event::Responded { attempt, outcome } if attempts.contains(attempt) => {
                    push("pay server".to_owned(), format!("attempt {attempt}: {outcome:?}"));
                }
                _ => {}
            }
        })
        .map_err(|damage| RecordingError::Damaged(path.to_owned(), damage))?;
    let entries =
        lines.into_iter().map(|(at, source, what)| (origin + Duration::from_nanos(at), source, what));
    Ok(entries.collect())
}

/// Returns the time and the text of a log line if it is about the request.
fn parse_log_line(line: &str, trace: Trace) -> Option<(SystemTime, String)> {
    let fields: Value = serde_json::from_str(line).ok()?;
    let of = Trace::from_str_radix(fields.get("trace")?.as_str()?, 16).ok()?;
    let at = humantime::parse_rfc3339(fields.get("timestamp")?.as_str()?).ok()?;
    let rest = fields.as_object()?.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={value}")).collect();
    let message = fields.get("message")?.as_str()?;
    (of == trace).then(|| (at, format!("{message} {}", rest.join(" "))))
}
