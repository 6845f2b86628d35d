use super::*;

/// What the heads in `text` say when it comes in pieces of this size.
fn read(text: &str, piece: usize) -> Vec<Framing> {
    let mut heads = HeadScanner::default();
    text.as_bytes().chunks(piece).for_each(|bytes| heads.scan(bytes));
    std::iter::from_fn(|| heads.take_framing()).collect()
}

#[test]
fn heads_are_followed_however_they_are_cut() {
    use Framing::*;
    let hidden = "GET /hidden HTTP/1.1\r\n\r\n";
    for (text, found) in [
        ("GET / HTTP/1.1\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n".to_owned(), vec![Unambiguous, Unambiguous]),
        (
            format!("POST / HTTP/1.1\r\ncontent-length: 24\r\n\r\n{hidden}\r\n\r\nGET / HTTP/1.1\n\n"),
            vec![Unambiguous, Unambiguous],
        ),
        (
            format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
            vec![Unambiguous, Unambiguous],
        ),
        (
            format!(
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n18;a=\"{}\"\r\n{hidden}\r\n\
                 2\r\n\n\n\r\n00\r\nA: b\r\n\r\n{hidden}",
                "x".repeat(MAX_LINE_PREFIX_BYTES)
            ),
            vec![Unambiguous, Unambiguous],
        ),
        (
            format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n{hidden}"),
            vec![Unambiguous],
        ),
        (
            format!("POST / HTTP/1.1\r\nTRANSFER-ENCODING: x\r\nContent-Length: 3\r\n\r\n0\r\n\r\n{hidden}"),
            vec![Ambiguous],
        ),
        (
            format!("POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n{hidden}"),
            vec![Ambiguous],
        ),
        (format!("POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n{hidden}"), vec![Ambiguous]),
        (format!("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n{hidden}"), vec![Ambiguous]),
        (
            format!(
                "POST / HTTP/1.1\r\nContent-Length:{}5\r\n\r\n{hidden}",
                " ".repeat(MAX_LINE_PREFIX_BYTES)
            ),
            vec![Ambiguous],
        ),
    ] {
        for piece in [1, 7, 1000] {
            assert_eq!(read(&text, piece), found, "{text:?} in pieces of {piece}");
        }
    }
}

#[test]
fn an_unfinished_head_is_told_from_none() {
    let mut heads = HeadScanner::default();
    assert!(!heads.is_in_head());
    heads.scan(b"GE");
    assert!(heads.is_in_head());
    heads.scan(b"T / HTTP/1.1\r\n");
    assert!(heads.is_in_head());
    heads.scan(b"\r\n");
    assert!(!heads.is_in_head());
}
