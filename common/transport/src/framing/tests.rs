use super::*;

/// Returns the framings of the heads in `text`, which is scanned in chunks of `chunk_size` bytes.
fn framings_of(text: &str, chunk_size: usize) -> Vec<Framing> {
    let mut scanner = HeadScanner::default();
    text.as_bytes().chunks(chunk_size).for_each(|bytes| scanner.scan(bytes));
    std::iter::from_fn(|| scanner.take_framing()).collect()
}

#[test]
fn framings_do_not_depend_on_how_the_bytes_are_split() {
    use Framing::*;
    let hidden = "GET /hidden HTTP/1.1\r\n\r\n";
    for (text, expected) in [
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
        for chunk_size in [1, 7, 1000] {
            assert_eq!(framings_of(&text, chunk_size), expected, "{text:?} in chunks of {chunk_size}");
        }
    }
}

#[test]
fn an_incomplete_head_is_detected() {
    let mut scanner = HeadScanner::default();
    assert!(!scanner.is_in_head());
    scanner.scan(b"GE");
    assert!(scanner.is_in_head());
    scanner.scan(b"T / HTTP/1.1\r\n");
    assert!(scanner.is_in_head());
    scanner.scan(b"\r\n");
    assert!(!scanner.is_in_head());
}
