//! Errors of a scenario file.

use quick_error::quick_error;

quick_error! {
    /// A scenario that cannot be used. The text is one line that names the field.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ScenarioError {
        /// The file is not TOML, or has an unknown key or a value of the wrong type.
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
    /// The text of a fault's target cannot be parsed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TargetError {
        /// The index in brackets is not a number.
        Number(text: String) {
            display("{:?}: the index is not a number", text)
        }
        /// The kind is unknown.
        Kind(text: String) {
            display("{:?}: unknown kind of process", text)
        }
    }
}

impl ScenarioError {
    /// Returns the error of a field.
    pub(crate) fn invalid(field: impl Into<String>, reason: impl Into<String>) -> ScenarioError {
        ScenarioError::Invalid(field.into(), reason.into())
    }

    /// Returns the error of a fault's field, with the field's full path in the scenario.
    pub(super) fn in_fault(self, index: usize) -> ScenarioError {
        match self {
            ScenarioError::Invalid(field, reason) => {
                ScenarioError::Invalid(format!("fault[{index}].{field}"), reason)
            }
            syntax => syntax,
        }
    }
}
