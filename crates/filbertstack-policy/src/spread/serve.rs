//! Which of the requests that wait gets the next upload slot.
//!
//! Load pattern: an instance that has just got a rare chunk is asked by all of its downstreams at
//! once. Served in the order of arrival, the ones with the shortest path would finish early and
//! the last would wait alone; the copy is done only when the last is.

use filbertstack_core::Millis;

use crate::spread::chunks::ChunkIndex;

/// A request for a chunk, as it waits at the instance that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadRequest {
    /// The chunk.
    pub chunk: ChunkIndex,
    /// Whether the requester brings the chunk into another region, by a token of the leader.
    pub import: bool,
    /// The chunks that the requester holds already; it says so itself.
    pub held: u32,
    /// When this instance last served the requester; zero if never.
    pub last_served: Millis,
    /// How many of this instance's neighbours hold the chunk, as far as announced.
    pub copies: u32,
}

/// The place in `asks` of the request to serve next.
///
/// A request from another region goes first: a whole region waits for that chunk. Then the
/// requester with the fewest chunks, so that nobody falls behind; then the chunk
/// with the fewest copies, so that each rare chunk doubles; then the one that was served longest
/// ago, so that equals take turns.
pub fn next_upload(asks: &[UploadRequest]) -> Option<usize> {
    let order = |&(at, ask): &(usize, &UploadRequest)| {
        (!ask.import, ask.held, ask.copies, ask.last_served, at)
    };
    asks.iter().enumerate().min_by_key(order).map(|(at, _)| at)
}
