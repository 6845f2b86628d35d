//! Why a scenario cannot be used.

use quick_error::quick_error;

quick_error! {
    /// Why a scenario cannot be used. Each is one line that names the field.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ScenarioError {
        /// The file is no TOML, or has a key that does not exist or a value of another type.
        Syntax(line: usize, message: String) {
            display("line {}: {}", line, message)
        }
        /// A field has a value that is not allowed.
        Invalid(field: String, reason: String) {
            display("{}: {}", field, reason)
        }
    }
}

quick_error! {
    /// Why a text names no target.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TargetError {
        /// What stands in brackets is no number.
        Number(text: String) {
            display("{:?}: no such number", text)
        }
        /// There is no such kind.
        Kind(text: String) {
            display("{:?} is none of the fleet's kinds", text)
        }
    }
}

impl ScenarioError {
    /// Returns the error of a field.
    pub(crate) fn invalid(field: impl Into<String>, reason: impl Into<String>) -> ScenarioError {
        ScenarioError::Invalid(field.into(), reason.into())
    }

    /// Returns the error of a field of a fault, named from the scenario on.
    pub(super) fn in_fault(self, index: usize) -> ScenarioError {
        match self {
            ScenarioError::Invalid(field, reason) => {
                ScenarioError::Invalid(format!("fault[{index}].{field}"), reason)
            }
            syntax => syntax,
        }
    }
}
