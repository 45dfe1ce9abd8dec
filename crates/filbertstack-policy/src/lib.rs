//! Every decision under load, free of network, clock and thread.

pub mod spread;
