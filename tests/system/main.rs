//! Tests of the whole system as real processes on loopback.

mod control;
mod end_to_end;
mod idempotency;
mod input;
mod membership;
mod served;
mod stops;
mod support;
mod target_faults;
mod version_change;
mod weights;
