//! The tests of the replicated log: storage, protocol, replicas, and the random search for faults.

mod broken;
mod figures;
mod formation;
mod found;
mod fuzz;
mod node;
mod replica;
mod storage;
mod support;
