//! Tests of the rate limit on weights beside live requests, on a link whose queue grows with its
//! load.

use filbertstack_core::Millis;
use filbertstack_policy::spread::pace::LiveTraffic;
use filbertstack_policy::spread::pace::PaceConfig;
use filbertstack_policy::spread::pace::PaceController;
use filbertstack_policy::spread::pace::TokenBucket;

const LINK: u64 = 1_000_000_000;

/// Returns the latency of requests on the link: 20 ms, plus a queueing delay that grows as the link
/// fills up.
fn latency(weights: u64, live: u64) -> Millis {
    let used = (weights + live).min(LINK * 99 / 100);
    Millis(20 + 2 * used / (LINK - used))
}

fn traffic(latency: Millis) -> LiveTraffic {
    LiveTraffic {
        in_flight: 10,
        latency: Some(latency),
    }
}

fn settled_controller() -> PaceController {
    let mut pace = PaceController::new(PaceConfig::for_link(LINK));
    for _ in 0..50 {
        pace.observe(traffic(latency(0, 0)), false);
    }
    pace
}

#[test]
fn without_requests_weights_get_the_whole_link() {
    let mut pace = settled_controller();
    assert_eq!(pace.observe(LiveTraffic::default(), true), LINK);
}

// A burst of live requests takes half of the link during a copy. The limit yields within two
// intervals, the burst causes little delay, and the limit recovers afterwards.
#[test]
fn limit_yields_to_a_burst_and_recovers() {
    let mut pace = settled_controller();
    let mut seen = Vec::new();
    for interval in 0..120 {
        let burst = if (40..80).contains(&interval) {
            LINK / 2
        } else {
            LINK / 100
        };
        let latency = latency(pace.rate(), burst);
        seen.push((latency, pace.rate()));
        pace.observe(traffic(latency), true);
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
    // At a limit of 90 % the queueing delay would be 198 ms for the whole burst.
    assert_eq!(latency(LINK * 9 / 10, LINK / 2), Millis(218));
    insta::assert_debug_snapshot!((worst(43..80), mean(43..80), mean(90..120)));
    assert!(worst(43..80) <= 30, "{seen:?}");
    assert!(mean(43..80) >= 15 && mean(90..120) >= 40, "{seen:?}");
}

// Requests are slow for another reason than the copy. The limit falls to its minimum and the copy
// continues at that rate.
#[test]
fn limit_never_falls_below_the_minimum() {
    let mut pace = settled_controller();
    for _ in 0..100 {
        pace.observe(traffic(Millis(500)), true);
    }
    assert_eq!(pace.rate(), LINK / 10);
}

// The baseline is updated only without a copy. If it followed the latency during a copy, it would
// include the delay that the copy causes after a few intervals, and the limit would no longer fall.
#[test]
fn baseline_ignores_latency_during_a_copy() {
    let mut pace = settled_controller();
    for _ in 0..1000 {
        let slow = latency(pace.rate(), LINK / 2);
        pace.observe(traffic(slow), true);
    }
    assert!(latency(pace.rate(), LINK / 2).0 <= 30);
}

#[test]
fn token_bucket_keeps_its_rate() {
    let mut bucket = TokenBucket::new(1000);
    assert_eq!(bucket.take(500, Millis(100)), Millis::ZERO);
    assert_eq!(bucket.take(500, Millis(100)), Millis(500));
    bucket.set_rate(2000);
    assert_eq!(bucket.take(1000, Millis(1100)), Millis::ZERO);
    assert_eq!(bucket.take(1, Millis(1100)), Millis(500));
}
