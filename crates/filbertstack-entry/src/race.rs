//! The choice of the attempt that may answer a request's caller.
//!
//! A hedged request has two attempts, and their events can interleave: the event that sends the
//! second may be handled after the first has begun to answer. If the second were sent then, its head
//! would replace that of the first, and the caller would get the beginning of one answer and the end
//! of another. So once an attempt has begun to answer, no part of another attempt's answer passes and
//! no other attempt is sent until that attempt has ended.

/// The attempts of one request by their keys, and the one that answers.
#[derive(Clone, Debug)]
pub struct Race<K> {
    live: Vec<K>,
    winner: Option<K>,
}

impl<K: Copy + PartialEq> Race<K> {
    /// Creates the state of a request without attempts.
    pub const fn new() -> Self {
        Self {
            live: Vec::new(),
            winner: None,
        }
    }

    /// Adds an attempt that is about to be sent. Returns false if it must not be sent, because another
    /// attempt has begun to answer.
    pub fn add(&mut self, attempt: K) -> bool {
        if self.winner.is_some() {
            return false;
        }
        self.live.push(attempt);
        true
    }

    /// Records that the head of an attempt's answer has arrived. Returns false if the head must not
    /// pass. After the first head, only its attempt is live.
    pub fn begin_answer(&mut self, attempt: K) -> bool {
        if self.winner.is_some() || !self.live.contains(&attempt) {
            return false;
        }
        self.winner = Some(attempt);
        self.live.retain(|live| *live == attempt);
        true
    }

    /// Returns whether a part of an attempt's body may pass to the caller.
    pub fn may_pass(&self, attempt: K) -> bool {
        self.winner == Some(attempt)
    }

    /// Returns whether an attempt is still awaited.
    pub fn is_live(&self, attempt: K) -> bool {
        self.live.contains(&attempt)
    }

    /// Removes an attempt that has ended. If it was the one that answered, another may answer.
    pub fn remove(&mut self, attempt: K) {
        self.live.retain(|live| *live != attempt);
        if self.winner == Some(attempt) {
            self.winner = None;
        }
    }

    /// Returns whether no attempt is awaited.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}

impl<K: Copy + PartialEq> Default for Race<K> {
    fn default() -> Self {
        Self::new()
    }
}
