//! Links over loopback: calls, cancellation, keys, forged and oversized frames, silence, ends.

mod calls;
mod ending;
mod support;
