//! Runs entries and agents on loopback as real processes, with stand-ins for engines and for the origin of
//! weights.

mod begins;
mod checks;
mod cluster;
mod cold;
mod control;
mod crashes;
mod crashing_parts;
mod demand;
mod endings;
mod engine;
mod evacuations;
mod fleet;
mod heads;
mod limits;
mod model;
mod notices;
mod orders;
mod paces;
mod replacement;
mod requests;
mod residency;
mod resumes;
mod seeds;
mod slow;
mod weights;
