//! Conformance tables: rows of input and expected output, each derived from a clause of a design page.
//!
//! The caller plays each row; [`hold`] checks that all rows passed and that every clause has one. A row names the clause
//! that it shows and why its expectation follows from it, so that a failure can be traced to the page.

use std::collections::{BTreeMap, BTreeSet};

/// A row that was played.
pub struct Played {
    /// Identifier of the row, unique in its table.
    pub id: String,
    /// Identifier of the clause that the row shows.
    pub clause: String,
    /// Why the expectation follows from the clause.
    pub because: String,
    /// Whether the row passed; the error says what came instead.
    pub outcome: Result<(), String>,
}

/// Checks the rows of a table against its clauses, from identifier to text.
///
/// # Panics
///
/// Panics with all rows that failed, with an identifier that two rows have, and with all clauses that have no row.
pub fn hold(clauses: &BTreeMap<String, String>, rows: impl IntoIterator<Item = Played>) {
    let (mut covered, mut ids, mut failures) = (BTreeSet::new(), BTreeSet::new(), Vec::new());
    for Played { id, clause, because, outcome } in rows {
        assert!(clauses.contains_key(&clause) && !because.is_empty(), "{id}: {clause}");
        assert!(ids.insert(id.clone()), "two rows are called {id}");
        failures.extend(outcome.err().map(|actual| format!("{id} ({clause}): {actual}")));
        covered.insert(clause);
    }
    assert!(failures.is_empty(), "{} rows failed:\n{}", failures.len(), failures.join("\n"));
    let uncovered: Vec<_> = clauses.keys().filter(|clause| !covered.contains(*clause)).collect();
    assert!(uncovered.is_empty(), "clauses without a row: {uncovered:?}");
}
