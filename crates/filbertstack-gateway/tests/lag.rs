//! Detection of voters that lack documents which other voters hold.

use filbertstack_core::Millis;
use filbertstack_gateway::control::lag::Lag;

/// Guards against followers that return to a voter which receives documents seconds late.
#[test]
fn a_voter_that_receives_documents_late_is_behind() {
    let mut lag = Lag::default();
    // Each document reaches this voter three seconds after the other voters.
    let held = |now: u64| now.saturating_sub(3_000) / 250;
    let mut behind = 0;
    for now in (0..10_000).step_by(200) {
        lag.observe(Millis(now), held(now), now / 250);
        behind += u32::from(lag.is_behind(Millis(now), held(now)));
    }
    assert!(behind > 35, "behind at {behind} of 50 times");
}

/// Guards against followers that leave a healthy voter because documents change faster than the versions
/// of two voters can be compared.
#[test]
fn a_voter_that_keeps_up_with_frequent_documents_is_not_behind() {
    let mut lag = Lag::default();
    let held = |now: u64| now.saturating_sub(150) / 100;
    for now in (0..10_000).step_by(200) {
        lag.observe(Millis(now), held(now), now / 100);
        assert!(!lag.is_behind(Millis(now), held(now)), "at {now} ms");
    }
}

/// Guards against a voter that counts as behind after it has caught up.
#[test]
fn a_voter_that_has_caught_up_is_not_behind() {
    let mut lag = Lag::default();
    lag.observe(Millis(0), 3, 9);
    assert!(lag.is_behind(Millis(1_000), 8));
    assert!(!lag.is_behind(Millis(1_000), 9));
    lag.observe(Millis(1_200), 9, 9);
    assert!(!lag.is_behind(Millis(5_000), 9));
}

/// Guards against followers that leave a voter for each document which reaches it a moment after another voter.
#[test]
fn a_voter_is_behind_after_the_time_in_which_followers_leave_a_silent_one() {
    let mut lag = Lag::default();
    lag.observe(Millis(0), 1, 2);
    assert!(!lag.is_behind(Millis(700), 1));
    assert!(lag.is_behind(Millis(701), 1));
}
