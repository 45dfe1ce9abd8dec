//! Entries of the small instances as real processes on loopback, before stand-ins for an engine.

mod control;
mod engine;
mod requests;
mod world;
