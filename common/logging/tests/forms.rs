//! One event in both forms, and what is told of requests.

use marblecroft_logging::{subscriber, Form, Log};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn told(log: Log) -> String {
    let kept = Kept::default();
    let writer = kept.clone();
    tracing::subscriber::with_default(
        subscriber("marblecroft-quota-gateway", log, move || writer.clone()),
        || {
            tracing::info!(server = 7, state = "DRAINING", "server {} is {}", 7, "DRAINING");
            tracing::debug!(trace = "00ab", "taken");
        },
    );
    let bytes = kept.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("UTF-8")
}

#[test]
fn text_is_the_line_as_it_was_and_json_has_the_fields() {
    assert_eq!(told(Log::default()), "marblecroft-quota-gateway: server 7 is DRAINING\n");
    let json = told(Log { form: Form::Json, requests: false });
    let line: serde_json::Value = serde_json::from_str(&json).expect("one object");
    assert_eq!(line["message"], "server 7 is DRAINING");
    assert_eq!((line["server"].as_u64(), line["state"].as_str()), (Some(7), Some("DRAINING")));
    assert!(line["timestamp"].is_string() && line["level"] == "INFO");
}

#[test]
fn requests_are_told_only_where_they_are_asked_for() {
    assert_eq!(told(Log { form: Form::Text, requests: true }).lines().count(), 2);
    let json = told(Log { form: Form::Json, requests: true });
    let last: serde_json::Value = serde_json::from_str(json.lines().last().expect("two")).expect("an object");
    assert_eq!((last["trace"].as_str(), last["message"].as_str()), (Some("00ab"), Some("taken")));
}

#[test]
fn the_configuration_names_form_and_requests_and_nothing_else() {
    let read = |text: &str| serde_json::from_str::<Log>(text);
    assert_eq!(read("{}").expect("all have a default"), Log::default());
    let all = read(r#"{"form":"json","requests":true}"#).expect("both");
    assert_eq!(all, Log { form: Form::Json, requests: true });
    assert!(read(r#"{"form":"xml"}"#).is_err() && read(r#"{"level":"info"}"#).is_err());
}
