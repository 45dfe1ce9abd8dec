//! Weights beside live requests, on a link whose queue grows with its load.

use filbertstack_core::Millis;
use filbertstack_policy::spread::pace::LiveTraffic;
use filbertstack_policy::spread::pace::PaceConfig;
use filbertstack_policy::spread::pace::PaceController;
use filbertstack_policy::spread::pace::TokenBucket;

const LINK: u64 = 1_000_000_000;

/// The latency of requests on the link: 20 ms, and a wait that grows as the link fills up.
fn latency(weights: u64, live: u64) -> Millis {
    let used = (weights + live).min(LINK * 99 / 100);
    Millis(20 + 2 * used / (LINK - used))
}

fn live(latency: Millis) -> LiveTraffic {
    LiveTraffic {
        inflight: 10,
        latency: Some(latency),
    }
}

fn settled() -> PaceController {
    let mut pace = PaceController::new(PaceConfig::for_link(LINK));
    for _ in 0..50 {
        pace.observe(live(latency(0, 0)), false);
    }
    pace
}

#[test]
fn without_requests_weights_get_the_whole_link() {
    let mut pace = settled();
    assert_eq!(pace.observe(LiveTraffic::default(), true), LINK);
}

// A burst of live requests takes half of the link during a copy. Weights give way within two
// intervals, callers see little of it, and weights take back what the burst leaves.
#[test]
fn a_burst_is_given_way_and_taken_back_from() {
    let mut pace = settled();
    let mut seen = Vec::new();
    for interval in 0..120 {
        let burst = if (40..80).contains(&interval) {
            LINK / 2
        } else {
            LINK / 100
        };
        let latency = latency(pace.rate(), burst);
        seen.push((latency, pace.rate()));
        pace.observe(live(latency), true);
    }
    let worst = |range: std::ops::Range<usize>| seen[range].iter().map(|(l, _)| l.0).max().unwrap();
    let mean = |range: std::ops::Range<usize>| {
        let count = range.len() as u64;
        seen[range]
            .iter()
            .map(|(_, rate)| rate * 100 / LINK)
            .sum::<u64>()
            / count
    };
    // At 90 % beside the burst the wait would be 198 ms for as long as it lasts.
    assert_eq!(latency(LINK * 9 / 10, LINK / 2), Millis(218));
    insta::assert_debug_snapshot!((worst(43..80), mean(43..80), mean(90..120)));
    assert!(worst(43..80) <= 30, "{seen:?}");
    assert!(mean(43..80) >= 15 && mean(90..120) >= 40, "{seen:?}");
}

// Requests are slow for a reason that is not the copy. It falls to its floor and goes on there.
#[test]
fn a_copy_never_stands_still() {
    let mut pace = settled();
    for _ in 0..100 {
        pace.observe(live(Millis(500)), true);
    }
    assert_eq!(pace.rate(), LINK / 10);
}

// The base is learnt without a copy only. If it followed the latency under a copy, the harm would
// become the norm within some intervals and weights would yield no more.
#[test]
fn the_harm_of_a_long_copy_does_not_become_the_norm() {
    let mut pace = settled();
    for _ in 0..1000 {
        let slow = latency(pace.rate(), LINK / 2);
        pace.observe(live(slow), true);
    }
    assert!(latency(pace.rate(), LINK / 2).0 <= 30);
}

#[test]
fn a_bucket_spreads_bytes_at_its_rate() {
    let mut bucket = TokenBucket::new(1000);
    assert_eq!(bucket.take(500, Millis(100)), Millis::ZERO);
    assert_eq!(bucket.take(500, Millis(100)), Millis(500));
    bucket.set_rate(2000);
    assert_eq!(bucket.take(1000, Millis(1100)), Millis::ZERO);
    assert_eq!(bucket.take(1, Millis(1100)), Millis(500));
}
