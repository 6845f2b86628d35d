//! The prompt metadata in a request's headers: its size, and the segments that other requests
//! share.

use crate::hash::{fnv1a, splitmix64};

/// Cost of one output token in prompt tokens: one decoding step takes about as long as prefilling
/// this many tokens. Clients use the same ratio to measure the size of a request.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// A segment of a prompt, as given in `X-Prefix-Hash`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of the segment's id.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size and structure of a request's prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Segments in order. The last one belongs to this request or its session; those before it may
    /// be shared with other requests.
    pub segments: Vec<PromptSegment>,
}

impl Prompt {
    /// Parses `X-Token-Usage` (`IN,OUT`) and `X-Prefix-Hash` (`ID:TOKENS,...`). Parts that cannot
    /// be parsed are treated as absent: the headers are hints, and a request is also served without
    /// them.
    ///
    /// ```
    /// use marblecroft_routing::prompt::Prompt;
    /// let prompt = Prompt::parse(Some("1460,80"), Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
    /// assert_eq!(prompt.input_tokens, 1460);
    /// assert_eq!(prompt.shared_tokens(), 1210);
    /// ```
    pub fn parse(usage: Option<&str>, prefixes: Option<&str>) -> Prompt {
        let (input, output) = usage.and_then(|usage| usage.split_once(',')).unwrap_or(("0", "0"));
        let number = |text: &str| text.trim().parse().unwrap_or(0);
        let segments = prefixes.into_iter().flat_map(|list| list.split(',')).filter_map(|segment| {
            let (id, tokens) = segment.trim().split_once(':')?;
            Some(PromptSegment { id: fnv1a(id.as_bytes()), tokens: number(tokens) })
        });
        Prompt {
            input_tokens: number(input),
            max_output_tokens: number(output),
            segments: segments.collect(),
        }
    }

    /// Returns the cost of the request in prompt tokens.
    pub fn cost(&self) -> f64 {
        f64::from(self.input_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(self.max_output_tokens)
    }

    fn shared_segments(&self) -> &[PromptSegment] {
        &self.segments[..self.segments.len().saturating_sub(1)]
    }

    /// Returns the key of the shared prefix, which consists of all segments but the last, or `None`
    /// if there is no shared segment. Prompts with the same shared segments have the same key.
    pub fn prefix_key(&self) -> Option<u64> {
        let shared = self.shared_segments();
        (!shared.is_empty()).then(|| shared.iter().fold(0, |key, segment| splitmix64(key ^ segment.id)))
    }

    /// Returns the length of the shared prefix in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_segments().iter().map(|segment| segment.tokens).sum()
    }
}
