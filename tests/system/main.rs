//! The whole system as real processes on loopback.

mod control;
mod input;
mod leaving;
mod membership;
mod once;
mod path;
mod roll;
mod served;
mod support;
mod targets;
mod weights;
