//! The whole system as real processes on loopback.

mod path;
mod support;
