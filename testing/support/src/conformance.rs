//! Conformance tables: rows of input and expected output, each derived from a clause of a design document.
//!
//! The caller evaluates each row; [`check_rows`] checks that all rows passed and that every clause has one. A
//! row names its clause and the reason for its expectation, so that a failure can be traced to the design
//! document.

use std::collections::{BTreeMap, BTreeSet};

/// The result of one row of a conformance table.
pub struct RowResult {
    /// Identifier of the row, unique in its table.
    pub id: String,
    /// Identifier of the clause that the row tests.
    pub clause: String,
    /// Why the expectation follows from the clause.
    pub because: String,
    /// Whether the row passed; the error describes the actual output.
    pub outcome: Result<(), String>,
}

/// Checks the results of a table's rows against its clauses, which are given as a map from identifier to
/// text.
///
/// # Panics
///
/// Panics if a row failed (listing all that did), if a row names an unknown clause or gives no reason, if two
/// rows have the same identifier, or if a clause has no row (listing all such clauses).
pub fn check_rows(clauses: &BTreeMap<String, String>, rows: impl IntoIterator<Item = RowResult>) {
    let (mut covered, mut ids, mut failures) = (BTreeSet::new(), BTreeSet::new(), Vec::new());
    for RowResult { id, clause, because, outcome } in rows {
        assert!(
            clauses.contains_key(&clause) && !because.is_empty(),
            "row {id}: unknown clause {clause}, or no reason"
        );
        assert!(ids.insert(id.clone()), "two rows have the identifier {id}");
        failures.extend(outcome.err().map(|actual| format!("{id} ({clause}): {actual}")));
        covered.insert(clause);
    }
    assert!(failures.is_empty(), "{} rows failed:\n{}", failures.len(), failures.join("\n"));
    let uncovered: Vec<_> = clauses.keys().filter(|clause| !covered.contains(*clause)).collect();
    assert!(uncovered.is_empty(), "clauses without a row: {uncovered:?}");
}
