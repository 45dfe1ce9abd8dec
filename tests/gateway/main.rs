//! Entries and agents of the small instances as real processes on loopback, before stand-ins for
//! engines and for the origin of weights.

mod cluster;
mod control;
mod engine;
mod fleet;
mod model;
mod orders;
mod requests;
mod seeds;
mod weights;
