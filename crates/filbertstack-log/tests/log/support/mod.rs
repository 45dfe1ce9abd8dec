//! Fakes at the crate's interfaces: a machine, a disk, a network.

pub mod checker;
pub mod disk;
pub mod events;
pub mod machine;
pub mod network;
pub mod running;
pub mod steps;
pub mod world;
