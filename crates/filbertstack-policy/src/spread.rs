//! Who fetches which chunk of a version from whom.
//!
//! Load pattern: a new version is wanted by hundreds of instances at one moment, while the
//! origin's link carries about four copies and each instance's link about two in the window that
//! operators wait. Without a plan every instance asks the origin, and a thousand of them wait 250
//! windows; with whole copies handed down a tree the inner instances' links are the limit.
//!
//! The work is split so that nothing needs every node to know every other:
//!
//! - [`plan`]: the leader gives each target a few upstreams, O(1) for each target, and again when
//!   one joins, leaves or is given up.
//! - [`grants`]: the leader grants who may pull a chunk from outside a region, so that a chunk
//!   leaves the origin once whoever asks.
//! - [`pull`]: each agent decides what to request next from which upstream, from what its
//!   upstreams announced and how they fared.
//! - [`serve`]: each agent decides which of the requests that wait gets its next upload slot.
//! - [`pace`]: each agent decides how much of its link weights may take beside live requests.
//! - [`chunks`]: sets of chunks, as agents hold and announce them.
//!
//! docs/design/weights.md weighs the ways and gives the figures.

pub mod chunks;
pub mod grants;
pub mod pace;
pub mod plan;
pub mod pull;
pub mod serve;

pub use chunks::ChunkSet;
