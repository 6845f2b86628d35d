//! Configuration files of processes.

use super::running_fleet::RunningFleet;
use crate::error::RunError;
use crate::harness::process::Process;
use crate::history::{Event, ProcessChange};
use serde_json::Value;
use std::fs;
use std::path::Path;
use std::rc::Rc;

impl RunningFleet {
    /// Starts a program with the arguments `run FILE`, where the file is its configuration in TOML.
    pub(super) async fn start_with_config(
        &self,
        process: &Rc<Process>,
        folder: &Path,
        config: &Value,
    ) -> Result<(), RunError> {
        let config = toml::to_string(config)
            .map_err(|error| RunError::Configuration("configuration", error.to_string()))?;
        let path = folder.join("config.toml");
        let prepare = |command: &mut tokio::process::Command| {
            fs::create_dir_all(folder)?;
            fs::write(&path, config)?;
            command.arg("run").arg(&path);
            Ok(())
        };
        process.start(prepare).await?;
        self.context
            .record(Event::ProcessChanged { endpoint: process.endpoint, change: ProcessChange::Ready });
        Ok(())
    }
}

/// Merges a value into another one, objects key by key.
pub(super) fn merge(into: &mut Value, overrides: Value) {
    match (into, overrides) {
        (Value::Object(into), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, overrides) => *into = overrides,
    }
}
