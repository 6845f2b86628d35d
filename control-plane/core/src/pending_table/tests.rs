//! Ids of pending entries are not reused.

use super::PendingTable;

#[test]
fn ids_count_from_1_and_are_never_reused() {
    let mut table = PendingTable::default();
    assert_eq!([table.insert("first"), table.insert("second")], [1, 2]);
    assert_eq!([table.remove(2), table.remove(1), table.remove(1)], [Some("second"), Some("first"), None]);
    assert_eq!(table.insert("third"), 3);
    assert_eq!((table.get(1), table.get(3)), (None, Some(&"third")));
}
