//! Checks that are shared by operations of several kinds.

use super::bounds;
use super::command::OperationError;

/// Retry delay of a caller when a limit is reached, in milliseconds.
pub(super) const BUSY_DELAY_MS: u32 = 500;

/// Checks the length of a name or key. The error contains the name of the field.
pub(super) fn check_name(field: &str, name: &str) -> Result<(), OperationError> {
    match name.is_empty() || name.len() > bounds::MAX_NAME_BYTES {
        true => Err(OperationError::Bad(field.to_owned())),
        false => Ok(()),
    }
}
