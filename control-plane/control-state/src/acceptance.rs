//! Acceptance of configurations: optimistic concurrency control by generation, and idempotence by digest.
//!
//! A submission contains the generation that it is based on, so the second of two concurrent submissions is
//! rejected with a conflict. A client that received no reply submits again. Because the digests of accepted
//! submissions are retained, the resubmission is acknowledged without being applied again, even if later
//! submissions have been accepted in between.

use crate::operation::Output;
use crate::state::{digest, AcceptedConfiguration, ControlState};
use marblecroft_configuration::Update;
use marblecroft_rpc::Bytes;

/// Number of accepted submissions that are retained, so that resubmissions of them are acknowledged. It
/// cannot be determined whether an older submission was accepted.
pub const MAX_RETAINED_GENERATIONS: usize = 20_000;

/// Accepts a complete configuration, or rejects it.
pub(crate) fn replace_configuration(
    state: &mut ControlState,
    base: u64,
    generation: u64,
    body: Bytes,
) -> Output {
    if let Some(output) = check_generation(state, base, generation, &body.0) {
        return output;
    }
    let digest = digest(&body.0);
    accept(state, AcceptedConfiguration { generation, digest }, body)
}

/// Accepts a change of the configuration in force, or rejects it.
pub(crate) fn update_configuration(
    state: &mut ControlState,
    base: u64,
    generation: u64,
    change: &Bytes,
) -> Output {
    if let Some(output) = check_generation(state, base, generation, &change.0) {
        return output;
    }
    match Update::parse(&change.0).and_then(|update| update.apply(&state.body.0)) {
        Ok(body) => {
            let accepted = AcceptedConfiguration { generation, digest: digest(&change.0) };
            accept(state, accepted, Bytes(body))
        }
        Err(e) => Output::Invalid(e.to_string()),
    }
}

/// Returns the output of a submission that was accepted before or is rejected; `None` if it is to be applied.
///
/// The order of the checks matters: a resubmission is acknowledged whatever configuration is in force now,
/// and a conflict is only reported if the submission was certainly not accepted before.
fn check_generation(state: &ControlState, base: u64, generation: u64, submission: &[u8]) -> Option<Output> {
    if state.has_accepted(generation, submission) {
        Some(Output::Accepted)
    } else if generation <= state.highest_pruned_generation {
        Some(Output::GenerationPruned)
    } else if base != state.generation {
        Some(Output::Conflict(state.generation))
    } else if generation <= state.generation {
        Some(Output::GenerationTooLow(state.generation))
    } else {
        None
    }
}

/// Puts the configuration `body` in force and retains the submission that resulted in it.
fn accept(state: &mut ControlState, accepted: AcceptedConfiguration, body: Bytes) -> Output {
    state.generation = accepted.generation;
    state.body = body;
    state.sequence += 1;
    state.accepted.push_back(accepted);
    if state.accepted.len() > MAX_RETAINED_GENERATIONS {
        if let Some(oldest) = state.accepted.pop_front() {
            state.highest_pruned_generation = oldest.generation;
        }
    }
    Output::Accepted
}
