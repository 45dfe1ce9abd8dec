//! Tests of an agent's decisions: sets of chunks, turns, chunk requests and the order of uploads.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use filbertstack_core::Millis;
use filbertstack_policy::spread::chunks::ChunkSet;
use filbertstack_policy::spread::pull::ChunkRequest;
use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::PullConfig;
use filbertstack_policy::spread::pull::PullScheduler;
use filbertstack_policy::spread::pull::RingPosition;
use filbertstack_policy::spread::pull::TurnClock;
use filbertstack_policy::spread::pull::Upstream;
use filbertstack_policy::spread::serve::UploadRequest;
use filbertstack_policy::spread::serve::next_upload;

const CONFIG: PullConfig = PullConfig {
    max_transfers: 2,
    transfer_timeout: Millis::secs(30),
    duplicate_after: Millis::secs(3),
    escalate_after: Millis::secs(5),
    turn_length: Millis(50),
};

fn position(proximity: Proximity, place: u32, places: u32) -> RingPosition {
    RingPosition {
        proximity,
        place,
        places,
    }
}

fn scheduler(chunks: u32) -> PullScheduler {
    let mut pull = PullScheduler::new(CONFIG, 1);
    pull.grow(chunks as usize);
    (0..chunks).for_each(|chunk| pull.want(chunk));
    pull
}

fn add_upstream(pull: &mut PullScheduler, position: RingPosition, chunks: &[u32]) -> NeighbourKey {
    let key = pull.join(position);
    for &chunk in chunks {
        pull.announce(key, chunk);
    }
    key
}

fn source_and_chunk(request: Option<ChunkRequest>) -> Option<(Upstream, u32)> {
    request.map(|request| (request.from, request.chunk))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn chunk_set_matches_a_btree_set(len in 0..200_usize, steps in prop::collection::vec((any::<bool>(), 0..220_u32), 0..120)) {
        let mut set = ChunkSet::new(len);
        let mut oracle = BTreeSet::new();
        for (add, chunk) in steps {
            let inside = (chunk as usize) < len;
            if add {
                prop_assert_eq!(set.insert(chunk), inside && oracle.insert(chunk));
            } else {
                prop_assert_eq!(set.remove(chunk), oracle.remove(&chunk));
            }
        }
        prop_assert_eq!(set.iter().collect::<BTreeSet<_>>(), oracle.clone());
        prop_assert_eq!(set.count(), oracle.len());
        prop_assert_eq!(ChunkSet::from_bytes(len, &set.to_bytes()).unwrap(), set);
    }

    #[test]
    fn any_bytes_give_a_set_or_an_error(len in 0..200_usize, bytes in prop::collection::vec(any::<u8>(), 0..30)) {
        if let Ok(set) = ChunkSet::from_bytes(len, &bytes) {
            prop_assert!(set.iter().all(|chunk| (chunk as usize) < len));
            prop_assert_eq!(set.to_bytes(), bytes);
        }
    }
}

#[test]
fn mesh_clock_follows_the_fastest() {
    let mut turns = TurnClock::new(Millis(50));
    assert_eq!(turns.turn(Millis(149)), 2);
    turns.observe(Millis(420), Millis(100));
    assert_eq!(turns.clock(Millis(110)), Millis(430));
    turns.observe(Millis(200), Millis(120));
    assert_eq!(turns.turn(Millis(110)), 8);
}

#[test]
fn nearest_upstreams_come_first_and_take_turns() {
    let mut pull = scheduler(3);
    let all = [0, 1, 2];
    let far = add_upstream(&mut pull, position(Proximity::Region, 0, 2), &all);
    let near =
        [0, 1].map(|place| add_upstream(&mut pull, position(Proximity::Zone, place, 2), &all));
    let mut asked = |now| {
        let request = pull.next(now).unwrap();
        pull.failed(request.transfer, Fault::Busy { after: Millis(1) }, now);
        request.from
    };
    assert_eq!(asked(Millis(0)), Upstream::Neighbour(near[0]));
    assert_eq!(asked(Millis(50)), Upstream::Neighbour(near[1]));
    // Both near upstreams refuse within this turn, so the far one is asked.
    assert_eq!(asked(Millis(100)), Upstream::Neighbour(near[0]));
    assert_eq!(asked(Millis(100)), Upstream::Neighbour(near[1]));
    assert_eq!(asked(Millis(100)), Upstream::Neighbour(far));
}

#[test]
fn rarest_chunk_is_requested_first_and_once() {
    let mut pull = scheduler(3);
    let one = add_upstream(&mut pull, position(Proximity::Zone, 0, 2), &[0, 1, 2]);
    let two = add_upstream(&mut pull, position(Proximity::Zone, 1, 2), &[0, 1]);
    let first = pull.next(Millis::ZERO).unwrap();
    assert_eq!((first.from, first.chunk), (Upstream::Neighbour(one), 2));
    let second = pull.next(Millis::ZERO).unwrap();
    assert_eq!(second.from, Upstream::Neighbour(two));
    assert!(
        pull.completed(first.transfer, Millis(10)) && pull.completed(second.transfer, Millis(10))
    );
    let third = pull.next(Millis(50)).unwrap();
    assert_ne!(third.chunk, second.chunk);
    pull.completed(third.transfer, Millis(60));
    assert!(pull.is_complete() && pull.next(Millis(100)).is_none());
}

// An upstream sends corrupted chunks. It is not asked for the same chunk again and pauses for
// longer each time. After the fourth fault it is reported as failing.
#[test]
fn pause_of_a_corrupting_upstream_doubles() {
    let mut pull = scheduler(8);
    let bad = add_upstream(
        &mut pull,
        position(Proximity::Zone, 0, 1),
        &[0, 1, 2, 3, 4, 5, 6, 7],
    );
    let mut now = Millis::ZERO;
    let mut asked = Vec::new();
    let mut pauses = Vec::new();
    for _ in 0..4 {
        let since = now;
        let request = loop {
            match pull.next(now) {
                Some(request) => break request,
                None => now = now + Millis(100),
            }
        };
        pauses.push(now.since(since));
        asked.push(request.chunk);
        pull.failed(request.transfer, Fault::Corrupt, now);
    }
    assert_eq!(pauses, [0, 500, 1000, 2000].map(Millis));
    assert_eq!(asked.iter().collect::<BTreeSet<_>>().len(), 4);
    assert_eq!(pull.failing(), [bad]);
}

// The upstream of the last chunk almost stalls. The chunk is requested once more from another
// upstream, and the copy that arrives second is dropped.
#[test]
fn late_last_chunk_is_requested_from_a_second_upstream() {
    let mut pull = scheduler(1);
    let slow = add_upstream(&mut pull, position(Proximity::Zone, 0, 2), &[0]);
    let first = pull.next(Millis::ZERO).unwrap();
    let other = add_upstream(&mut pull, position(Proximity::Zone, 1, 2), &[0]);
    assert_eq!(first.from, Upstream::Neighbour(slow));
    assert_eq!(pull.next(Millis::secs(3)), None);
    let second = pull.next(Millis::secs(4)).unwrap();
    assert_eq!(
        source_and_chunk(Some(second)),
        Some((Upstream::Neighbour(other), 0))
    );
    assert!(pull.completed(second.transfer, Millis::secs(5)));
    assert!(!pull.completed(first.transfer, Millis::secs(6)));
}

#[test]
fn timed_out_chunk_is_requested_from_another_upstream() {
    let mut pull = scheduler(1);
    let stuck = add_upstream(&mut pull, position(Proximity::Zone, 0, 1), &[0]);
    let transfer = pull.next(Millis::ZERO).unwrap().transfer;
    assert!(pull.expire(Millis::secs(30)).is_empty());
    assert_eq!(pull.expire(Millis::secs(31)), [transfer]);
    pull.leave(stuck);
    let other = add_upstream(&mut pull, position(Proximity::Zone, 0, 1), &[0]);
    let next = pull.next(Millis::secs(31));
    assert_eq!(
        source_and_chunk(next),
        Some((Upstream::Neighbour(other), 0))
    );
}

// A slow upstream is asked last, unless it is the sole holder of a chunk. Otherwise all of its
// downstreams would leave that chunk to the end and wait for it together.
#[test]
fn slow_upstream_is_asked_last_except_as_sole_holder() {
    let mut pull = scheduler(13);
    let all: Vec<_> = (0..12).collect();
    let keys =
        [0, 1, 2].map(|place| add_upstream(&mut pull, position(Proximity::Zone, place, 3), &all));
    for turn in 0..6 {
        let now = Millis(50 * turn);
        let request = pull.next(now).unwrap();
        let slow = request.from == Upstream::Neighbour(keys[0]);
        pull.completed(request.transfer, now + Millis(if slow { 400 } else { 40 }));
    }
    let next = pull.next(Millis(50 * 6)).unwrap();
    assert_eq!(next.from, Upstream::Neighbour(keys[1]));
    pull.announce(keys[0], 12);
    let sole = pull.next(Millis(50 * 6));
    assert_eq!(
        source_and_chunk(sole),
        Some((Upstream::Neighbour(keys[0]), 12))
    );
}

#[test]
fn chunk_without_a_holder_is_escalated_and_imported() {
    let mut pull = scheduler(2);
    assert!(pull.next(Millis::secs(1)).is_none());
    assert_eq!(pull.escalate(Millis::secs(5)), None);
    let chunk = pull.escalate(Millis::secs(6)).unwrap();
    assert_eq!(pull.escalate(Millis::secs(7)), None);
    pull.import(chunk);
    assert_eq!(
        source_and_chunk(pull.next(Millis::secs(7))),
        Some((Upstream::Import, chunk))
    );
}

#[test]
fn transfers_end_when_their_upstream_leaves() {
    let mut pull = scheduler(1);
    let gone = add_upstream(&mut pull, position(Proximity::Zone, 0, 2), &[0]);
    let other = add_upstream(&mut pull, position(Proximity::Zone, 1, 2), &[0]);
    let request = pull.next(Millis::ZERO).unwrap();
    pull.leave(gone);
    assert_eq!(pull.copies(0), 1);
    assert!(!pull.completed(request.transfer, Millis(10)));
    assert_eq!(
        source_and_chunk(pull.next(Millis(10))),
        Some((Upstream::Neighbour(other), 0))
    );
}

#[test]
fn uploads_are_ordered_by_region_progress_rarity_and_turn() {
    let request = |import, held, copies, served| UploadRequest {
        chunk: 0,
        import,
        held,
        copies,
        last_served: Millis(served),
    };
    let plain = request(false, 5, 3, 10);
    assert_eq!(next_upload(&[]), None);
    assert_eq!(next_upload(&[plain, request(true, 9, 9, 99)]), Some(1));
    assert_eq!(next_upload(&[plain, request(false, 4, 9, 99)]), Some(1));
    assert_eq!(next_upload(&[plain, request(false, 5, 2, 99)]), Some(1));
    assert_eq!(next_upload(&[plain, request(false, 5, 3, 9)]), Some(1));
    assert_eq!(next_upload(&[plain, plain]), Some(0));
}
