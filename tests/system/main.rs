//! The whole system as real processes on loopback.

mod control;
mod leaving;
mod once;
mod path;
mod support;
mod weights;
