//! Tests of every decoder of the service with arbitrary bytes, and with valid input that is truncated or
//! corrupted.

use marblecroft_discovery::http::*;
use marblecroft_discovery::journal::{Folder, Journal};
use proptest::prelude::*;

fn valid_request() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        ("[a-z/]{0,20}", "[a-z=&0-9]{0,20}").prop_map(|(path, query)| format!("GET /{path}?{query} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes()),
        ("(register|renew|drain|undrain|deregister|show|records|promote)", "\\PC{0,60}").prop_map(|(path, body)| {
            encode_request("POST", &format!("/discovery/{path}"), body.as_bytes())
        }),
    ]
}

proptest! {
    #[test]
    fn arbitrary_bytes_parse_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let ParseOutcome::Complete(request, length) = parse_request(&bytes) {
            prop_assert!(length <= bytes.len() && request.body.len() <= MAX_BODY_BYTES);
            // The result is ignored: only a panic is a failure.
            let _ = route(&request);
        }
        let _ = parse_response(&bytes);
    }

    /// A request is complete only once all of it has been received, regardless of the bytes that follow it.
    #[test]
    fn a_request_in_chunks_parses_once_it_is_complete(bytes in valid_request(), following in prop::collection::vec(any::<u8>(), 0..50), truncation: prop::sample::Index) {
        let ParseOutcome::Complete(request, length) = parse_request(&bytes) else { panic!("{}", String::from_utf8_lossy(&bytes)) };
        prop_assert_eq!(length, bytes.len());
        prop_assert_eq!(parse_request(&bytes[..truncation.index(bytes.len())]), ParseOutcome::Incomplete);
        // The result is ignored: only a panic is a failure.
            let _ = route(&request);
        let more = [bytes.clone(), following].concat();
        prop_assert_eq!(parse_request(&more), ParseOutcome::Complete(request, length));
    }

    #[test]
    fn a_corrupted_request_parses_within_bounds(bytes in valid_request(), changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5)) {
        let mut bad = bytes;
        for (at, byte) in changes {
            let at = at.index(bad.len());
            bad[at] = byte;
        }
        match parse_request(&bad) {
            ParseOutcome::Complete(request, length) => {
                prop_assert!(length <= bad.len());
                if let Err(error) = route(&request) {
                    prop_assert!((400..500).contains(&error.status) && !error.reason.contains('\n'), "{:?}", error);
                }
            }
            ParseOutcome::Invalid(error) => prop_assert!((400..500).contains(&error.status)),
            ParseOutcome::Incomplete => {}
        }
    }

    #[test]
    fn responses_round_trip(body in prop::collection::vec(any::<u8>(), 0..300), truncation: prop::sample::Index) {
        let response = ok_response(&body, false);
        prop_assert_eq!(parse_response(&response), Ok(&body[..]));
        prop_assert!(parse_response(&response[..truncation.index(response.len())]).is_err());
        prop_assert!(parse_response(&error_response(&HttpError::busy("x"), false)).is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Opening a journal with arbitrary files fails, or returns no record that was not written.
    #[test]
    fn arbitrary_files_are_read_or_rejected(log in prop::collection::vec(any::<u8>(), 0..200), magic: bool, snapshot in prop::option::of(prop::collection::vec(any::<u8>(), 0..100))) {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("marblecroft-any-{}-{number}", std::process::id()));
        drop(Journal::open(Folder::lock(&path).unwrap().unwrap()).expect("new"));
        let head: &[u8] = if magic { b"MDDLOG01" } else { b"" };
        std::fs::write(path.join("log.1"), [head, &log].concat()).unwrap();
        if let Some(snapshot) = snapshot {
            std::fs::write(path.join("snap.1"), snapshot).unwrap();
        }
        if let Ok((_, recovered)) = Journal::open(Folder::lock(&path).unwrap().unwrap()) {
            prop_assert!(recovered.records.is_empty(), "arbitrary bytes contain no frame with valid checksums");
        }
        // An error is ignored: a folder that remains does no harm, since each case has its own.
        let _ = std::fs::remove_dir_all(path);
    }
}
