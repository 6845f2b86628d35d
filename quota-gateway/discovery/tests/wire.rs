//! Every decoder of the service against bytes of any kind, and against good ones that are cut or spoilt.

use marblecroft_discovery::http::*;
use marblecroft_discovery::journal::{Folder, Journal};
use proptest::prelude::*;

fn good() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        ("[a-z/]{0,20}", "[a-z=&0-9]{0,20}").prop_map(|(path, query)| format!("GET /{path}?{query} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes()),
        ("(register|renew|drain|undrain|deregister|show|records|promote)", "\\PC{0,60}").prop_map(|(path, body)| {
            encode_request("POST", &format!("/discovery/{path}"), body.as_bytes())
        }),
    ]
}

proptest! {
    #[test]
    fn bytes_of_any_kind_are_a_call_or_not(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let ParseOutcome::Complete(call, length) = parse_request(&bytes) {
            prop_assert!(length <= bytes.len() && call.body.len() <= MAX_BODY_BYTES);
            drop(route(&call));
        }
        drop(parse_response(&bytes));
    }

    /// A call is read whole once all of it has come, whatever comes behind it, and not before.
    #[test]
    fn a_call_in_pieces_is_the_same_call(bytes in good(), behind in prop::collection::vec(any::<u8>(), 0..50), cut: prop::sample::Index) {
        let ParseOutcome::Complete(whole, length) = parse_request(&bytes) else { panic!("{}", String::from_utf8_lossy(&bytes)) };
        prop_assert_eq!(length, bytes.len());
        prop_assert_eq!(parse_request(&bytes[..cut.index(bytes.len())]), ParseOutcome::Incomplete);
        drop(route(&whole));
        let more = [bytes.clone(), behind].concat();
        prop_assert_eq!(parse_request(&more), ParseOutcome::Complete(whole, length));
    }

    #[test]
    fn a_spoilt_call_is_never_more_than_it_was(bytes in good(), spoil in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5)) {
        let mut bad = bytes;
        for (at, byte) in spoil {
            let at = at.index(bad.len());
            bad[at] = byte;
        }
        match parse_request(&bad) {
            ParseOutcome::Complete(call, length) => {
                prop_assert!(length <= bad.len());
                if let Err(error) = route(&call) {
                    prop_assert!((400..500).contains(&error.status) && !error.reason.contains('\n'), "{:?}", error);
                }
            }
            ParseOutcome::Invalid(error) => prop_assert!((400..500).contains(&error.status)),
            ParseOutcome::Incomplete => {}
        }
    }

    #[test]
    fn an_answer_is_read_as_it_is_written(body in prop::collection::vec(any::<u8>(), 0..300), cut: prop::sample::Index) {
        let answer = ok_response(&body, false);
        prop_assert_eq!(parse_response(&answer), Ok(&body[..]));
        prop_assert!(parse_response(&answer[..cut.index(answer.len())]).is_err());
        prop_assert!(parse_response(&error_response(&HttpError::busy("x"), false)).is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever stands in the files, the start ends with an error or finds a store; it never makes up more than was there.
    #[test]
    fn files_of_any_kind_are_read_or_refused(log in prop::collection::vec(any::<u8>(), 0..200), magic: bool, snapshot in prop::option::of(prop::collection::vec(any::<u8>(), 0..100))) {
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
            prop_assert!(recovered.records.is_empty(), "no frame of this has its checksums");
        }
        drop(std::fs::remove_dir_all(path));
    }
}
