//! Distribution of weights: which instance fetches which chunk of a version, and from which source.
//!
//! Load pattern: hundreds of instances want a new version at the same time. Within the window that
//! operators accept as waiting time, the origin's link carries about four copies and an instance's
//! link about two. Without a plan, every instance asks the origin, and a thousand instances wait
//! 250 windows. If whole copies pass down a tree instead, the links of the inner instances are the
//! limit.
//!
//! The work is divided so that no node has to know all others:
//!
//! - [`plan`]: the leader assigns a few upstreams to each target, at a cost of O(1) per target, and
//!   assigns them again when a target joins, leaves or is given up.
//! - [`grants`]: the leader grants the right to fetch a chunk from outside a region, so that a
//!   chunk leaves the origin only once, however many instances ask for it.
//! - [`pull`]: each agent decides which chunk to request next from which upstream, based on what
//!   its upstreams announced and how reliable and fast they were.
//! - [`serve`]: each agent decides which waiting request gets its next upload slot.
//! - [`pace`]: each agent decides how much of its link weights may use beside live requests.
//! - [`chunks`]: the sets of chunks that agents hold and announce.
//!
//! docs/design/weights.md compares the alternatives and gives the figures.

pub mod chunks;
pub mod grants;
pub mod pace;
pub mod plan;
pub mod pull;
pub mod serve;

pub use chunks::ChunkSet;
