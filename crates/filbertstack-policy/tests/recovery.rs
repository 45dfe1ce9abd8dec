//! Tests of requests that arrive while no target serves: replays in virtual time, judged by the answers
//! that callers receive.

use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::recovery::Recovery;

/// The total time of a caller, and the delay after which a refused caller retries once.
const CALLER_TIME_MS: u64 = 6_000;
const RETRY_MS: u64 = 1_000;

/// The times when entries answer and engines take work again, after all instances were lost at 0.
const ENTRIES_BACK_MS: u64 = 1_400;
const ENGINES_BACK_MS: u64 = 3_800;

/// Returns how many callers of the outage are served, with one arriving every 10 ms.
fn served(waits: bool) -> usize {
    let recovery = Recovery::new(Millis(ENTRIES_BACK_MS));
    let attempt = |arrival: u64| {
        let wait = recovery.wait_limit(Millis(arrival), Some("llm"), Millis(CALLER_TIME_MS), 0);
        let wait = wait.filter(|_| waits).map_or(0, |wait| wait.0);
        (arrival + wait >= ENGINES_BACK_MS)
            .then_some(())
            .ok_or(arrival + wait)
    };
    let callers = (ENTRIES_BACK_MS..ENGINES_BACK_MS).step_by(10);
    callers
        .filter(|arrival| {
            attempt(*arrival).is_ok_and(|()| true)
                || attempt(*arrival).is_err_and(|refused| attempt(refused + RETRY_MS).is_ok())
        })
        .count()
}

/// Guards against callers that are refused twice while all engines load, with most of their time left.
#[test]
fn callers_of_a_short_outage_are_served() {
    let all = usize::try_from((ENGINES_BACK_MS - ENTRIES_BACK_MS) / 10).expect("few");
    assert!(served(true) * 10 >= all * 9, "{} of {all}", served(true));
    assert!(served(false) * 2 < all, "{} of {all}", served(false));
}

/// Guards against callers that wait in vain for a service without targets.
#[test]
fn requests_are_refused_at_once_in_a_lasting_outage() {
    let mut recovery = Recovery::new(Millis(0));
    let time = Millis(CALLER_TIME_MS);
    let service: Arc<str> = "llm".into();
    assert_eq!(
        recovery.wait_limit(Millis(60_000), Some("llm"), time, 0),
        None
    );
    assert_eq!(recovery.wait_limit(Millis(60_000), None, time, 0), None);
    recovery.count_sent(Millis(60_000), &service);
    let again = recovery.wait_limit(Millis(61_000), Some("llm"), time, 0);
    assert_eq!(again, Some(Millis(1_500)));
    assert_eq!(
        recovery.wait_limit(Millis(66_000), Some("llm"), time, 0),
        None
    );
}

/// Guards against waiting requests that fill an entry's memory.
#[test]
fn the_number_of_waiting_requests_is_bounded() {
    let recovery = Recovery::new(Millis(0));
    let with = |waiting| recovery.wait_limit(Millis(100), None, Millis(CALLER_TIME_MS), waiting);
    assert!(with(63).is_some());
    assert_eq!(with(64), None);
}

/// Guards against waiting requests that are all sent at once, before new ones that could be on time.
#[test]
fn waiting_requests_are_a_limited_part_of_sent_requests() {
    let service: Arc<str> = "llm".into();
    let mut recovery = Recovery::new(Millis(0));
    let mut sent = 0;
    for now in 0..300 {
        recovery.count_sent(Millis(now), &service);
        if recovery.may_send_waiter(Millis(now)) {
            recovery.count_waiter_sent(Millis(now));
            sent += 1;
        }
    }
    assert!((75..=100).contains(&sent), "{sent} beside 300");
}

/// Guards against a single request that keeps waiting although its service has recovered, and against
/// all waiting requests being sent at the moment it does.
#[test]
fn waiting_requests_are_sent_one_at_a_time_without_new_ones() {
    let mut recovery = Recovery::new(Millis(0));
    let times: Vec<u64> = (0..1_000)
        .filter(|now| {
            let may = recovery.may_send_waiter(Millis(*now));
            if may {
                recovery.count_waiter_sent(Millis(*now));
            }
            may
        })
        .collect();
    assert_eq!(times, [300, 600, 900]);
}
