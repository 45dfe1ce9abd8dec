//! The entry: callers' and operators' HTTP, admission, routing and, with a disk, a voter.

pub mod guard;
pub mod http;
