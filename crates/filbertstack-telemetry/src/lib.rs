//! Structured logs, metrics and traces.
