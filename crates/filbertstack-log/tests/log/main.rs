//! The tests of the replicated log: storage, protocol, replicas, and the random search for faults.

mod figures;
mod formation;
mod fuzz;
mod node;
mod regressions;
mod replica;
mod safeguards;
mod storage;
mod support;
