//! Attempts that race for one request, in every order of their events.

use filbertstack_entry::race::Race;

// The caller saw the beginning of one answer and the end of another, about once in 5,000 requests.
// The first target is late, so the request is hedged: the order to send the second is queued.
// Before it is handled, the first's head arrives and passes. Then the second was sent, its head
// replaced the first's, and its pieces followed.
#[test]
fn an_attempt_that_is_sent_after_the_first_head_never_passes() {
    let mut race = Race::new();
    assert!(race.enter('a'));
    assert!(race.head('a'));
    assert!(!race.enter('b'), "sent while another answers");
    assert!(!race.head('b'));
    assert!(race.may_pass('a'));
    assert!(!race.may_pass('b'));
}

// The caller sees the first answer only.
// Both attempts are sent; the first head wins, and the other's head comes a moment later.
#[test]
fn the_second_head_does_not_pass() {
    let mut race = Race::new();
    assert!(race.enter('a') && race.enter('b'));
    assert!(race.head('b'));
    assert!(!race.head('a'));
    assert!(!race.is_live('a'));
    assert!(race.may_pass('b') && !race.may_pass('a'));
}

// The caller gets a whole answer from the second attempt, as nothing of the first had gone out.
// The first begins to answer and breaks off; only then may another be sent and answer.
#[test]
fn another_may_answer_once_the_first_has_ended() {
    let mut race = Race::new();
    assert!(race.enter('a') && race.head('a'));
    race.leave('a');
    assert!(race.is_empty());
    assert!(race.enter('b') && race.head('b') && race.may_pass('b'));
}

/// Every order of the events of two attempts: pieces of one answer only pass.
#[test]
fn pieces_of_two_answers_never_mix() {
    let events = [
        ('a', 0),
        ('a', 1),
        ('a', 2),
        ('a', 2),
        ('b', 0),
        ('b', 1),
        ('b', 2),
        ('b', 2),
    ];
    let mut orders = 0;
    for mask in 0_u32..256 {
        if mask.count_ones() != 4 {
            continue;
        }
        let (mut first, mut second) = (events[..4].iter(), events[4..].iter());
        let mut race = Race::new();
        let mut passed = Vec::new();
        for bit in 0..8 {
            let next = if mask & (1 << bit) == 0 {
                first.next()
            } else {
                second.next()
            };
            let (attempt, event) = *next.expect("four of each");
            match event {
                0 => drop(race.enter(attempt)),
                1 => drop(race.head(attempt)),
                _ if race.may_pass(attempt) => passed.push(attempt),
                _ => {}
            }
        }
        passed.dedup();
        assert!(passed.len() <= 1, "order {mask:08b} mixed {passed:?}");
        orders += 1;
    }
    assert_eq!(orders, 70);
}
