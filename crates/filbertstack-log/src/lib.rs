//! The replicated log: a pure consensus state machine and its durable storage.
