use super::*;

#[test]
fn new_names_do_not_grow_the_table_beyond_its_limit() {
    let mut names = NameTable(vec!["sala-a".to_owned(), "sala-b".to_owned()]);
    for n in 0..1000 {
        names.index(format!("sala-{n}"));
    }
    assert_eq!(names.0.len(), MAX_NAMES);
    assert_eq!(names.index("sala-b".to_owned()), 1);
}
