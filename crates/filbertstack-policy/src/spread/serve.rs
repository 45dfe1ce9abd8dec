//! The order in which waiting requests get upload slots.
//!
//! Load pattern: an instance has just received a rare chunk, and all of its downstreams ask for it
//! at once. If it served them in order of arrival, those with the shortest path would finish early
//! and the last one would wait alone. The copy is complete only when the last one is.

use filbertstack_core::Millis;

use crate::spread::chunks::ChunkIndex;

/// A request for a chunk that waits at the instance that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadRequest {
    /// The chunk.
    pub chunk: ChunkIndex,
    /// Whether the requester fetches the chunk into another region with a grant of the leader.
    pub import: bool,
    /// The number of chunks that the requester holds, as reported by itself.
    pub held: u32,
    /// The time at which this instance last served the requester, or zero if it never did.
    pub last_served: Millis,
    /// The number of this instance's neighbours that announced the chunk.
    pub copies: u32,
}

/// Returns the index in `requests` of the request to serve next.
///
/// A request from another region goes first, because a whole region waits for that chunk. Then
/// comes the requester with the fewest chunks, so that none falls behind. Then comes the chunk with
/// the fewest copies, so that the copies of each rare chunk double. Then comes the requester that
/// was served least recently, so that equal ones take turns.
pub fn next_upload(requests: &[UploadRequest]) -> Option<usize> {
    let priority = |&(at, request): &(usize, &UploadRequest)| {
        (
            !request.import,
            request.held,
            request.copies,
            request.last_served,
            at,
        )
    };
    requests
        .iter()
        .enumerate()
        .min_by_key(priority)
        .map(|(at, _)| at)
}
