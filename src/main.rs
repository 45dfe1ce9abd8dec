//! The one binary: entry, agent, operators' client and demo.

fn main() {}
