//! Messages come back as they were sent; what is damaged, short or of another version does not.

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
fn a_message_comes_back_as_it_was_sent() {
    for message in [Sample::Plain, sample()] {
        assert_eq!(decode(&encode(&message)), Ok(message));
    }
}

#[test]
fn damaged_and_short_frames_and_other_versions_are_refused() {
    let framed = encode(&sample());
    for bit in 8..framed.len() * 8 {
        let mut damaged = framed.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode::<Sample>(&damaged), Err(DecodeError::Checksum), "bit {bit}");
    }
    for length in 0..framed.len() {
        assert!(decode::<Sample>(&framed[..length]).is_err(), "{length} bytes");
    }
    let mut other = framed;
    other[0] = VERSION + 1;
    assert_eq!(decode::<Sample>(&other), Err(DecodeError::Version(VERSION + 1)));
}
