//! Replays of requests that are bound to a region.

use crate::replay::BASELINE;
use crate::replay::Replay;
use crate::replay::replay;

/// Guards against requests that overflow to a region where they may not be served, or are sent to a silent engine
/// there as its probe, while the engines of their own are busy.
#[test]
fn bound_requests_stay_in_their_region_in_an_overload() {
    let busy = Replay {
        zones: 2,
        first_zone_share: 0.9,
        bound: |entry| entry % 2 == 0,
        frozen: |engine, now| engine == 1 && now > 5_000,
        ..BASELINE
    };
    let received = replay(&busy);
    assert_eq!(received.other_zone, 0, "{received:?}");
    assert!(received.late * 50 < received.requests, "{received:?}");
    let without = replay(&Replay {
        bound: |_| false,
        ..busy
    });
    assert!(without.other_zone * 20 > without.requests, "{without:?}");
}

/// Guards against entries that count the free slots of other regions for requests that can't go there. Each then
/// takes more than its share of the few slots in the region, and its engines' queues make the requests late.
#[test]
fn bound_requests_do_not_count_on_free_slots_elsewhere() {
    let received = replay(&Replay {
        zones: 6,
        engines: 24,
        entries: 42,
        bound: |_| true,
        requests_per_second: 80.0,
        ..BASELINE
    });
    assert!(received.late * 40 < received.requests, "{received:?}");
}
