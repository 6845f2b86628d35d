//! Checks that operations of several kinds share.

use super::bounds;
use super::command::Refused;

/// The retry delay where a bound is reached, in milliseconds.
pub(super) const BUSY_DELAY_MS: u32 = 500;

/// Checks a name or key; the error names the field.
pub(super) fn check_name(field: &str, name: &str) -> Result<(), Refused> {
    match name.is_empty() || name.len() > bounds::MAX_NAME_BYTES {
        true => Err(Refused::Bad(field.to_owned())),
        false => Ok(()),
    }
}
