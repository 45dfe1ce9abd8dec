//! The attempts of a hedged request, in every order of their events.

use filbertstack_entry::race::Race;

// Guards against a caller that gets the beginning of one answer and the end of another, which happened
// in about one of 5,000 requests. The first target is late, so the request is hedged and the event that
// sends the second attempt is queued. The head of the first answer arrives and passes before that event
// is handled. If the second attempt were sent then, its head would replace the first one's and the rest
// of its answer would follow.
#[test]
fn attempt_after_the_first_head_is_not_sent() {
    let mut race = Race::new();
    assert!(race.add('a'));
    assert!(race.begin_answer('a'));
    assert!(!race.add('b'), "sent while another answers");
    assert!(!race.begin_answer('b'));
    assert!(race.may_pass('a'));
    assert!(!race.may_pass('b'));
}

// Both attempts are sent. The caller gets the answer whose head arrives first; the head of the other,
// which arrives a moment later, does not pass.
#[test]
fn second_head_does_not_pass() {
    let mut race = Race::new();
    assert!(race.add('a') && race.add('b'));
    assert!(race.begin_answer('b'));
    assert!(!race.begin_answer('a'));
    assert!(!race.is_live('a'));
    assert!(race.may_pass('b') && !race.may_pass('a'));
}

// The first attempt begins to answer and breaks off before any of it is sent to the caller. Only then
// may a second attempt be sent, and the caller gets the whole answer of the second.
#[test]
fn another_attempt_may_answer_after_the_first_ended() {
    let mut race = Race::new();
    assert!(race.add('a') && race.begin_answer('a'));
    race.remove('a');
    assert!(race.is_empty());
    assert!(race.add('b') && race.begin_answer('b') && race.may_pass('b'));
}

// In every order of the events of two attempts, only parts of one answer pass.
#[test]
fn parts_of_two_answers_never_mix() {
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
                0 => drop(race.add(attempt)),
                1 => drop(race.begin_answer(attempt)),
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
