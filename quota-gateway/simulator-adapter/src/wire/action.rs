//! The wire format of actions. The names of variants, and the names of fields in `PascalCase`, are part of
//! the format.

use serde::Serialize;

/// An action of one gateway.
#[derive(Serialize)]
pub enum WireAction {
    /// Sends an attempt to a server.
    #[serde(rename_all = "PascalCase")]
    Route { gateway_id: String, tid: u32, try_until: u64, server: u32 },
    /// Cancels an attempt.
    #[serde(rename_all = "PascalCase")]
    UndoSend { gateway_id: String, tid: u32, send_no: u32 },
    /// Rejects a request; `retry_after` is in nanoseconds.
    #[serde(rename_all = "PascalCase")]
    Shed { gateway_id: String, tid: u32, retry_after: u64 },
    /// Answers a request with an error.
    #[serde(rename_all = "PascalCase")]
    RespondError { gateway_id: String, tid: u32 },
    /// Sets a timer; `alarm_time` is in nanoseconds.
    #[serde(rename_all = "PascalCase")]
    NotifyMe { gateway_id: String, alarm_time: u64, r#ref: u64 },
    /// Subscribes to server lists.
    #[serde(rename_all = "PascalCase")]
    Subscribe { gateway_id: String, active: bool },
    /// Logs a text.
    #[serde(rename_all = "PascalCase")]
    Log { gateway_id: String, body_text: String },
    /// Reports a panic of the decision logic.
    #[serde(rename_all = "PascalCase")]
    Fault { gateway_id: String, body_text: String },
}

impl WireAction {
    /// Creates the report that a gateway has panicked.
    pub fn fault(gateway: &str, text: &str) -> WireAction {
        WireAction::Fault { gateway_id: gateway.to_owned(), body_text: text.to_owned() }
    }
}
