//! Tests of links over loopback: calls, cancellation, keys, invalid frames, timeouts and shutdown.

mod calls;
mod ending;
mod support;
