//! JSON documents of the batch API.

// nanoserde's derive macros generate code that triggers this lint.
#![allow(clippy::question_mark)]

use base64::engine::general_purpose::STANDARD;
use base64::{DecodeError, Engine};
use marblecroft_batch_state::{Item, ItemOutcome};
use marblecroft_configuration::syntax;
use marblecroft_protocol::store::ResultsPage;
use marblecroft_rpc::Bytes;
use nanoserde::{DeJson, DeJsonErr, SerJson};
use quick_error::quick_error;
use std::collections::{HashMap, HashSet};
use std::str::Utf8Error;

/// Maximum number of items in one job.
const MAX_ITEMS: usize = 200;

quick_error! {
    /// Reason for rejecting a job document, as one line for the client.
    #[derive(Debug)]
    pub enum InvalidJob {
        /// The document is not UTF-8 text.
        NotText(cause: Utf8Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The document is not exactly one JSON value.
        NotOneValue {
            display("not one whole JSON value")
        }
        /// A field is missing or has another type.
        Unexpected(cause: DeJsonErr) {
            display("{cause}")
            from()
        }
        /// The job has no items or too many.
        ItemCount {
            display("requests: expected 1 to {MAX_ITEMS} items")
        }
        /// Two items have the same id.
        DuplicateItem(id: String) {
            display("item {id} stands twice")
        }
        /// The body of an item is not valid base64.
        Body(id: String, cause: DecodeError) {
            display("item {id}: {cause}")
            source(cause)
        }
    }
}

#[derive(DeJson)]
struct JobDocument {
    requests: Vec<ItemDocument>,
}

#[derive(DeJson)]
struct ItemDocument {
    id: String,
    path: String,
    headers: Option<HashMap<String, String>>,
    body: Option<String>,
    tokens: f64,
}

#[derive(SerJson)]
struct PageDocument {
    total: u64,
    next_page_token: u64,
    results: Vec<ResultDocument>,
}

#[derive(SerJson)]
struct ResultDocument {
    id: String,
    state: String,
    text: String,
}

/// Parses the items of a job.
pub(super) fn parse_items(body: &[u8]) -> Result<Vec<Item>, InvalidJob> {
    let text = std::str::from_utf8(body)?;
    if !syntax::is_complete_document(text) {
        return Err(InvalidJob::NotOneValue);
    }
    let document: JobDocument = DeJson::deserialize_json(text)?;
    if document.requests.is_empty() || document.requests.len() > MAX_ITEMS {
        return Err(InvalidJob::ItemCount);
    }
    let mut ids = HashSet::new();
    let mut items = Vec::new();
    for item in document.requests {
        if !ids.insert(item.id.clone()) {
            return Err(InvalidJob::DuplicateItem(item.id));
        }
        items.push(to_item(item)?);
    }
    Ok(items)
}

fn to_item(document: ItemDocument) -> Result<Item, InvalidJob> {
    let body = STANDARD
        .decode(document.body.unwrap_or_default())
        .map_err(|cause| InvalidJob::Body(document.id.clone(), cause))?;
    Ok(Item {
        id: document.id,
        path: document.path,
        headers: document.headers.unwrap_or_default().into_iter().collect(),
        body: Bytes(body),
        // The conversion saturates.
        tokens: document.tokens as u64,
    })
}

/// Returns the JSON document for a page of results that was read from `start`.
pub(super) fn page_json(page: ResultsPage, start: u64) -> String {
    let results: Vec<ResultDocument> = page
        .results
        .into_iter()
        .map(|result| {
            let (state, text) = match result.outcome {
                ItemOutcome::Completed(text) => ("completed", text),
                ItemOutcome::DeadLettered => ("dead_lettered", String::new()),
            };
            ResultDocument { id: result.id, state: state.to_owned(), text }
        })
        .collect();
    let next_page_token = start + results.len() as u64;
    PageDocument { total: page.total, next_page_token, results }.serialize_json()
}

#[cfg(test)]
mod tests;
