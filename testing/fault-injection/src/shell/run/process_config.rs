//! Configuration files of processes.

use super::harness::Lab;
use crate::error::RunError;
use crate::history::{Event, ProcessChange};
use crate::shell::process::Process;
use serde_json::Value;
use std::fs;
use std::path::Path;
use std::rc::Rc;

impl Lab {
    /// Starts a program that takes `run FILE`, a TOML file.
    pub(super) async fn run_with(
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
        self.world.record(Event::ProcessChanged { end: process.end, change: ProcessChange::Ready });
        Ok(())
    }
}

/// Merges a value into another one, tables key by key.
pub(super) fn merge(into: &mut Value, more: Value) {
    match (into, more) {
        (Value::Object(into), Value::Object(more)) => {
            for (key, value) in more {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, more) => *into = more,
    }
}
