//! Which of a request's attempts may answer its caller.
//!
//! A hedged request has two attempts, and events cross: the order to send the second may be
//! handled after the first has begun to answer. Taken then, its head would replace the first's,
//! and the caller would get one answer's beginning and another's end. Once an attempt has begun
//! to answer, nothing of any other passes, and no other is sent, until that attempt has ended.

/// The attempts of one request, by their keys.
#[derive(Clone, Debug)]
pub struct Race<K> {
    live: Vec<K>,
    winner: Option<K>,
}

impl<K: Copy + PartialEq> Race<K> {
    /// A request without attempts.
    pub const fn new() -> Self {
        Self {
            live: Vec::new(),
            winner: None,
        }
    }

    /// Notes an attempt that is to be sent; false if it must not be, as another answers.
    pub fn enter(&mut self, attempt: K) -> bool {
        if self.winner.is_some() {
            return false;
        }
        self.live.push(attempt);
        true
    }

    /// Notes the head of an attempt's answer; false if it must not pass. From the first head on,
    /// only its attempt is live.
    pub fn head(&mut self, attempt: K) -> bool {
        if self.winner.is_some() || !self.live.contains(&attempt) {
            return false;
        }
        self.winner = Some(attempt);
        self.live.retain(|live| *live == attempt);
        true
    }

    /// Whether a piece of an attempt's body may pass.
    pub fn may_pass(&self, attempt: K) -> bool {
        self.winner == Some(attempt)
    }

    /// Whether an attempt is still waited for.
    pub fn is_live(&self, attempt: K) -> bool {
        self.live.contains(&attempt)
    }

    /// Notes the end of an attempt; another may answer if it was the one that did.
    pub fn leave(&mut self, attempt: K) {
        self.live.retain(|live| *live != attempt);
        if self.winner == Some(attempt) {
            self.winner = None;
        }
    }

    /// Whether no attempt is waited for.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}

impl<K: Copy + PartialEq> Default for Race<K> {
    fn default() -> Self {
        Self::new()
    }
}
