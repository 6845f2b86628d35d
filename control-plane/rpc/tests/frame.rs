//! Decoding a message returns the value that was encoded. Corrupted and truncated frames, and frames of other
//! versions, are rejected.

use marblecroft_rpc::{decode, encode, Bytes, DecodeError, VERSION};
use musli::{Decode, Encode};

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
enum Sample {
    Plain,
    Named { name: String, parts: Vec<Bytes> },
}

fn sample() -> Sample {
    Sample::Named { name: "job".to_owned(), parts: vec![Bytes(vec![0, 255, 7]), Bytes(Vec::new())] }
}

#[test]
fn a_message_is_decoded_as_it_was_encoded() {
    for message in [Sample::Plain, sample()] {
        assert_eq!(decode(&encode(&message)), Ok(message));
    }
}

#[test]
fn corrupted_and_truncated_frames_and_other_versions_are_rejected() {
    let framed = encode(&sample());
    for bit in 8..framed.len() * 8 {
        let mut corrupted = framed.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode::<Sample>(&corrupted), Err(DecodeError::Checksum), "bit {bit}");
    }
    for length in 0..framed.len() {
        assert!(decode::<Sample>(&framed[..length]).is_err(), "{length} bytes");
    }
    let mut other = framed;
    other[0] = VERSION + 1;
    assert_eq!(decode::<Sample>(&other), Err(DecodeError::Version(VERSION + 1)));
}
