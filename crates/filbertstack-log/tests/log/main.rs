//! The suite of the replicated log: storage, protocol, replicas, and the search for faults.

mod replica;
mod storage;
mod support;
