//! The wire format of actions. The names in the `rename` attributes, or else the names of variants and the
//! names of fields in `PascalCase`, are part of the format.

use serde::Serialize;

/// An action of one gateway.
#[derive(Serialize)]
pub enum WireAction {
    /// Sends an attempt to a server.
    #[serde(rename = "Route", rename_all = "PascalCase")]
    Send {
        gateway_id: String,
        #[serde(rename = "Tid")]
        request_id: u32,
        #[serde(rename = "TryUntil")]
        deadline: u64,
        server: u32,
    },
    /// Cancels an attempt.
    #[serde(rename = "UndoSend", rename_all = "PascalCase")]
    Cancel {
        gateway_id: String,
        #[serde(rename = "Tid")]
        request_id: u32,
        #[serde(rename = "SendNo")]
        attempt: u32,
    },
    /// Rejects a request; `retry_after` is in nanoseconds.
    #[serde(rename = "Shed", rename_all = "PascalCase")]
    Reject {
        gateway_id: String,
        #[serde(rename = "Tid")]
        request_id: u32,
        retry_after: u64,
    },
    /// Responds to a request with an error.
    #[serde(rename = "RespondError", rename_all = "PascalCase")]
    Fail {
        gateway_id: String,
        #[serde(rename = "Tid")]
        request_id: u32,
    },
    /// Sets a timer; `due_at` is in nanoseconds.
    #[serde(rename = "NotifyMe", rename_all = "PascalCase")]
    SetTimer {
        gateway_id: String,
        #[serde(rename = "AlarmTime")]
        due_at: u64,
        #[serde(rename = "Ref")]
        token: u64,
    },
    /// Subscribes to server lists.
    #[serde(rename_all = "PascalCase")]
    Subscribe { gateway_id: String, active: bool },
    /// Logs a text.
    #[serde(rename_all = "PascalCase")]
    Log {
        gateway_id: String,
        #[serde(rename = "BodyText")]
        text: String,
    },
    /// Reports a panic of the decision logic.
    #[serde(rename_all = "PascalCase")]
    Fault {
        gateway_id: String,
        #[serde(rename = "BodyText")]
        text: String,
    },
}

impl WireAction {
    /// Creates the report that a gateway has panicked.
    pub fn fault(gateway: &str, text: &str) -> WireAction {
        WireAction::Fault { gateway_id: gateway.to_owned(), text: text.to_owned() }
    }
}
