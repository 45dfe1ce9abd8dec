//! Test doubles of the crate's interfaces: a state machine, a disk and a network.

pub mod checker;
pub mod disk;
pub mod events;
pub mod machine;
pub mod network;
pub mod running;
pub mod steps;
pub mod world;
