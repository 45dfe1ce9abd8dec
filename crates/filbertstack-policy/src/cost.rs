//! What a request costs, in the unit that fair shares are measured in.

/// What a prompt token costs against a generated one. An engine reads a prompt in chunks beside
/// its batch at some ten tokens in the time that one sequence of a full batch gets one.
const PROMPT_WEIGHT: f64 = 0.1;

/// The tokens of a request: expected before it runs, counted after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens.
    pub prompt: u32,
    /// Generated tokens.
    pub output: u32,
}

impl Cost {
    /// A call of a plain service: one unit, as its tokens are not known.
    pub const CALL: Self = Self {
        prompt: 0,
        output: 1,
    };

    /// The work in generated tokens; at least one, so that no request is free.
    pub fn work(self) -> f64 {
        (f64::from(self.output) + f64::from(self.prompt) * PROMPT_WEIGHT).max(1.0)
    }
}
