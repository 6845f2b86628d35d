//! Tables of conformance: rows from a design page, each of a clause, each played; a clause without a row is a failure.

use std::collections::{BTreeMap, BTreeSet};

/// A row that was played: its id, its clause, why what it wants follows from it, and what came instead.
pub struct Played {
    pub id: String,
    pub clause: String,
    pub because: String,
    pub outcome: Result<(), String>,
}

/// Panics with all rows that do not hold, with two of one id, and with all clauses that have none.
pub fn hold(clauses: &BTreeMap<String, String>, rows: impl IntoIterator<Item = Played>) {
    let (mut shown, mut ids, mut wrong) = (BTreeSet::new(), BTreeSet::new(), Vec::new());
    for Played { id, clause, because, outcome } in rows {
        assert!(clauses.contains_key(&clause) && !because.is_empty(), "{id}: {clause}");
        assert!(ids.insert(id.clone()), "two rows are called {id}");
        wrong.extend(outcome.err().map(|seen| format!("{id} ({clause}): {seen}")));
        shown.insert(clause);
    }
    assert!(wrong.is_empty(), "{} rows do not hold:\n{}", wrong.len(), wrong.join("\n"));
    let bare: Vec<_> = clauses.keys().filter(|clause| !shown.contains(*clause)).collect();
    assert!(bare.is_empty(), "clauses without a row: {bare:?}");
}
