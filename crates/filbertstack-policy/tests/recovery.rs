//! Requests that come while nobody serves: replays in virtual time, judged by what callers receive.

use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::recovery::Recovery;

/// What a caller's time is in all, and after how long one that was refused comes back, once.
const TIME: u64 = 6_000;
const RETURN: u64 = 1_000;

/// When engines take work again after all instances were lost at 0, and entries answer again.
const ENTRIES: u64 = 1_400;
const ENGINES: u64 = 3_800;

/// How many of the callers of the outage are served, one each 10 ms.
fn served(waits: bool) -> usize {
    let recovery = Recovery::new(Millis(ENTRIES));
    let serves = |came: u64| {
        let wait = recovery.wait_limit(Millis(came), Some("llm"), Millis(TIME), 0);
        let wait = wait.filter(|_| waits).map_or(0, |wait| wait.0);
        (came + wait >= ENGINES).then_some(()).ok_or(came + wait)
    };
    let callers = (ENTRIES..ENGINES).step_by(10);
    callers
        .filter(|came| {
            serves(*came).is_ok_and(|()| true)
                || serves(*came).is_err_and(|refused| serves(refused + RETURN).is_ok())
        })
        .count()
}

/// Guards against callers that are refused twice while all engines load, with most of their time left.
#[test]
fn callers_of_a_short_outage_are_served() {
    let all = usize::try_from((ENGINES - ENTRIES) / 10).expect("few");
    assert!(served(true) * 10 >= all * 9, "{} of {all}", served(true));
    assert!(served(false) * 2 < all, "{} of {all}", served(false));
}

/// Guards against callers that wait in vain for a service that has no targets at all.
#[test]
fn a_service_that_stays_away_is_refused_at_once() {
    let mut recovery = Recovery::new(Millis(0));
    let time = Millis(TIME);
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

/// Guards against an entry whose memory fills up with requests that wait.
#[test]
fn no_more_wait_than_an_entry_holds() {
    let recovery = Recovery::new(Millis(0));
    let with = |waiting| recovery.wait_limit(Millis(100), None, Millis(TIME), waiting);
    assert!(with(63).is_some());
    assert_eq!(with(64), None);
}

/// Guards against those who waited being sent all at once, before new callers who could be in time.
#[test]
fn those_who_waited_take_a_part_of_what_is_sent() {
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

/// Guards against a lone caller who waits on although its service is back, and against all who wait
/// being sent in the moment it is.
#[test]
fn those_who_wait_alone_are_sent_one_after_the_other() {
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
