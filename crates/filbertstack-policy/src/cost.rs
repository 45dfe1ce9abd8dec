//! The cost of a request, in the unit in which fair shares are measured.

/// The cost of a prompt token relative to a generated token. An engine processes prompts in chunks beside its
/// batch, at about ten prompt tokens in the time in which a sequence of a full batch gets one token.
const PROMPT_WEIGHT: f64 = 0.1;

/// The tokens of a request: estimated before it runs, counted afterwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// The number of prompt tokens.
    pub prompt: u32,
    /// The number of generated tokens.
    pub output: u32,
}

impl Cost {
    /// The cost of a call of a plain service: one unit, because its tokens are not known.
    pub const CALL: Self = Self {
        prompt: 0,
        output: 1,
    };

    /// Returns the work in generated tokens. It is at least one, so that no request is free.
    pub fn work(self) -> f64 {
        (f64::from(self.output) + f64::from(self.prompt) * PROMPT_WEIGHT).max(1.0)
    }
}
