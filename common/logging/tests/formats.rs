//! Tests of the text and JSON formats, of the filter for events of single requests, and of the configuration.

use marblecroft_logging::{subscriber, LogConfig, LogFormat};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_output(config: LogConfig) -> String {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    tracing::subscriber::with_default(
        subscriber("marblecroft-quota-gateway", config, move || writer.clone()),
        || {
            tracing::info!(server = 7, state = "DRAINING", "server {} is {}", 7, "DRAINING");
            tracing::debug!(trace = "00ab", "taken");
        },
    );
    let bytes = buffer.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("UTF-8")
}

#[test]
fn text_has_only_the_message_and_json_has_the_fields() {
    assert_eq!(log_output(LogConfig::default()), "marblecroft-quota-gateway: server 7 is DRAINING\n");
    let json = log_output(LogConfig { format: LogFormat::Json, requests: false });
    let line: serde_json::Value = serde_json::from_str(&json).expect("one object");
    assert_eq!(line["message"], "server 7 is DRAINING");
    assert_eq!((line["server"].as_u64(), line["state"].as_str()), (Some(7), Some("DRAINING")));
    assert!(line["timestamp"].is_string() && line["level"] == "INFO");
}

#[test]
fn text_with_fields_has_the_fields_after_the_message() {
    let log = log_output(LogConfig { format: LogFormat::TextWithFields, requests: true });
    let lines = [
        "marblecroft-quota-gateway: server 7 is DRAINING server=7 state=\"DRAINING\"",
        "marblecroft-quota-gateway: taken trace=\"00ab\"",
    ];
    assert_eq!(log.lines().collect::<Vec<_>>(), lines);
}

#[test]
fn events_of_requests_are_logged_only_if_enabled() {
    assert_eq!(log_output(LogConfig { format: LogFormat::Text, requests: true }).lines().count(), 2);
    let json = log_output(LogConfig { format: LogFormat::Json, requests: true });
    let last: serde_json::Value = serde_json::from_str(json.lines().last().expect("two")).expect("an object");
    assert_eq!((last["trace"].as_str(), last["message"].as_str()), (Some("00ab"), Some("taken")));
}

#[test]
fn configuration_accepts_only_the_members_form_and_requests() {
    let parse = |text: &str| serde_json::from_str::<LogConfig>(text);
    assert_eq!(parse("{}").expect("each member has a default"), LogConfig::default());
    let all = parse(r#"{"form":"json","requests":true}"#).expect("valid");
    assert_eq!(all, LogConfig { format: LogFormat::Json, requests: true });
    assert!(parse(r#"{"form":"xml"}"#).is_err() && parse(r#"{"level":"info"}"#).is_err());
    assert!(parse(r#"{"form":"textwithfields"}"#).is_err());
}
