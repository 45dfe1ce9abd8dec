//! Voters that lack documents which others hold.

use filbertstack_core::Millis;
use filbertstack_gateway::control::lag::Lag;

/// Guards against followers that go back to a voter which is told seconds late what it missed.
#[test]
fn a_voter_that_is_told_documents_late_is_behind() {
    let mut lag = Lag::default();
    // Each document reaches it three seconds after the others.
    let held = |now: u64| now.saturating_sub(3_000) / 250;
    let mut behind = 0;
    for now in (0..10_000).step_by(200) {
        lag.observe(Millis(now), held(now), now / 250);
        behind += u32::from(lag.is_behind(Millis(now), held(now)));
    }
    assert!(behind > 35, "{behind} of 50 looks");
}

/// Guards against a voter that is left because documents come faster than they can be compared.
#[test]
fn a_voter_that_keeps_up_in_a_storm_is_not_behind() {
    let mut lag = Lag::default();
    let held = |now: u64| now.saturating_sub(150) / 100;
    for now in (0..10_000).step_by(200) {
        lag.observe(Millis(now), held(now), now / 100);
        assert!(!lag.is_behind(Millis(now), held(now)), "at {now} ms");
    }
}

/// Guards against a voter that stays out of use once it has caught up.
#[test]
fn a_voter_that_has_caught_up_is_current() {
    let mut lag = Lag::default();
    lag.observe(Millis(0), 3, 9);
    assert!(lag.is_behind(Millis(1_000), 8));
    assert!(!lag.is_behind(Millis(1_000), 9));
    lag.observe(Millis(1_200), 9, 9);
    assert!(!lag.is_behind(Millis(5_000), 9));
}
