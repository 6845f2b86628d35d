//! What a request tells of its prompt: its size, and the parts that other requests share.

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's name.
    pub id: u64,
    pub tokens: u32,
}

/// A request for tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub input_tokens: u32,
    /// The most tokens out.
    pub max_output_tokens: u32,
    /// In order; the last one is the request's own, or its session's.
    pub parts: Vec<PromptPart>,
}

/// Tokens of one decoding step weigh as much as so many tokens of a prompt, as in the users' own measure of size.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

impl Prompt {
    /// From `X-Token-Usage` ("IN,OUT") and `X-Prefix-Hash` ("ID:TOKENS,..."); what cannot be read counts as absent.
    pub fn parse(usage: Option<&str>, prefixes: Option<&str>) -> Prompt {
        let (tokens_in, tokens_out) = usage.and_then(|usage| usage.split_once(',')).unwrap_or(("0", "0"));
        let number = |text: &str| text.trim().parse().unwrap_or(0);
        let parts = prefixes.into_iter().flat_map(|list| list.split(',')).filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some(PromptPart { id: hash(id.as_bytes()), tokens: number(tokens) })
        });
        Prompt {
            input_tokens: number(tokens_in),
            max_output_tokens: number(tokens_out),
            parts: parts.collect(),
        }
    }

    /// Its cost in tokens of a prompt.
    pub fn cost(&self) -> f64 {
        f64::from(self.input_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(self.max_output_tokens)
    }

    /// The parts that other requests may share, as one key; equal keys have equal shared parts.
    pub fn prefix_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1).filter(|&shared| shared > 0)?;
        Some(self.parts[..shared].iter().fold(0, |key, part| mix(key ^ part.id)))
    }

    /// Tokens of those parts.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }
}

/// FNV-1a, 64 bits.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Spreads the bits of a number over all of it (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
