//! Tests of the splitting of streams into whole events, as needed to resume a stream.

use std::time::Duration;

use bytes::Bytes;
use filbertstack_gateway::request::events::EventBuffer;
use filbertstack_gateway::request::events::EventGaps;
use filbertstack_gateway::request::events::EventTail;
use filbertstack_gateway::request::events::Fault;
use proptest::prelude::*;
use tokio::time::Instant;

/// Bytes that are no event of any stream.
const WRONG: &[&str] = &[
    "upstream connect error\n\n",
    "id: \ndata: a\n\n",
    "id: +9\ndata: a\n\n",
    "id: 9 \ndata: a\n\n",
    "id: 99999999999999999999\ndata: a\n\n",
    "id: 98\nid: 99\ndata: a\n\n",
    "data: a\n\n",
    "event: end\n\n",
    "x-filbertstack-weight-versions: 2\n\n",
    "id: 99\nx-filbertstack-weight-versions: 2\n\n",
    "x-filbertstack-weight-versions: \nid: 99\n\n",
    "id: 9",
    "\u{0}",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "{\"id\": 9}",
];

/// A target breaks off in the middle of an event. The part must not have been passed on to the caller, or
/// the events that another target sends would be joined to it.
#[test]
fn only_whole_events_are_passed_on() {
    let mut events = EventBuffer::after(None);
    let out = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert_eq!((events.last_id(), events.has_partial()), (Some(1), true));
    events.drop_partial();
    let out = events.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
    assert_eq!((events.last_id(), events.has_partial()), (Some(2), false));
}

#[test]
fn a_resumed_stream_begins_after_the_last_event_of_the_caller() {
    assert_eq!(EventBuffer::after(Some(12)).last_id(), Some(12));
}

/// Guards against events that come twice: a target that is to resume a stream begins it anew.
#[test]
fn a_target_that_begins_a_resumed_stream_anew_is_noticed() {
    let event = |id: u64| Bytes::from(format!("id: {id}\ndata: a\n\n"));
    for repeated in [1, 12] {
        let mut events = EventBuffer::after(Some(12));
        assert_eq!(events.push(b": a comment\n\n"), Bytes::new());
        assert_eq!(events.fault(), None);
        assert_eq!(events.push(&event(repeated)), Bytes::new());
        assert_eq!(events.fault(), Some(Fault::Repeated));
        assert_eq!(events.push(&event(13)), Bytes::new(), "nothing more");
        assert_eq!(events.last_id(), Some(12));
        events.drop_partial();
        assert_eq!(events.push(&event(13)), event(13), "of the next target");
        assert_eq!((events.last_id(), events.fault()), (Some(13), None));
    }
}

/// Guards against a stream that another target continues although its caller lacks events: its target has sent some
/// from far ahead, and then the next.
#[test]
fn a_stream_with_skipped_events_can_not_be_resumed() {
    let event = |id: u64| Bytes::from(format!("id: {id}\ndata: a\n\n"));
    let (again, skipped) = (Fault::Repeated, Fault::Skipped);
    for (after, sent, next, fault) in [
        (None, &[1, 2, 3][..], 2, again),
        (None, &[0, 1], 0, again),
        (Some(3), &[], 1, again),
        (Some(3), &[4, 5], 5, again),
        (Some(3), &[9], 4, skipped),
        (Some(3), &[9], 9, skipped),
        (Some(3), &[9], 3, skipped),
        (None, &[9], 1, skipped),
        (None, &[1, 2, 9, 10], 3, skipped),
        (None, &[1, 9], 1, skipped),
    ] {
        let mut events = EventBuffer::after(after);
        for id in sent {
            assert_eq!(events.push(&event(*id)), event(*id), "{sent:?}");
        }
        assert_eq!(events.push(&event(next)), Bytes::new(), "{sent:?} {next}");
        assert_eq!(events.fault(), Some(fault), "{sent:?} {next}");
        assert_eq!(events.can_resume(), fault == again, "{sent:?} {next}");
    }
}

/// Guards against a caller who gets a part of an event twice: one that is too long to be buffered is passed on in parts,
/// and no other target may send it again.
#[test]
fn a_stream_is_not_resumed_within_an_event_that_is_passed_on_in_parts() {
    let text = "x".repeat(300 << 10);
    let mut events = EventBuffer::after(None);
    let begun = events.push(format!("id: 1\ndata: {text}").as_bytes());
    assert_eq!(begun.len(), text.len() + 12);
    assert!(events.has_partial() && !events.can_resume());
    assert_eq!(events.push(b"\n"), Bytes::new());
    assert_eq!(&events.push(b"data: b\n\n")[..], b"\ndata: b\n\n");
    assert!(!events.has_partial() && events.can_resume());
    assert_eq!((events.last_id(), events.fault()), (Some(1), None));
}

/// Guards against bytes without an end that fill the memory of an entry, or reach the caller.
#[test]
fn bytes_without_end_are_no_event() {
    for start in ["id: 1", "data: ", "HTTP/1.1 200 OK", "id: 1\nid"] {
        let mut events = EventBuffer::after(None);
        for part in [start, &"0".repeat(300 << 10)] {
            assert_eq!(events.push(part.as_bytes()), Bytes::new(), "{start}");
        }
        assert_eq!(events.fault(), Some(Fault::NoEvent), "{start}");
    }
}

/// Guards against an engine that keeps an entry busy with what is dropped.
#[test]
fn blank_lines_and_comments_without_end_are_no_event() {
    for idle in ["\n", "\r\n", ": ping\n\n"] {
        let mut events = EventBuffer::after(None);
        let received = (0..).take_while(|_| {
            let passed = events.push(idle.as_bytes());
            passed.is_empty() && events.fault().is_none()
        });
        let received = received.count() * idle.len();
        assert!(
            (32 << 10..128 << 10).contains(&received),
            "{idle:?}: {received}"
        );
        assert_eq!(events.fault(), Some(Fault::NoEvent));
    }
}

/// Guards against a stream that is given up although its engine only keeps the connection open between events.
#[test]
fn comments_between_events_do_not_add_up() {
    let mut events = EventBuffer::after(None);
    for id in 1..=200 {
        let text = format!("{}id: {id}\ndata: a\n\n", ": ping\n\n".repeat(100));
        assert_eq!(
            &events.push(text.as_bytes())[..],
            format!("id: {id}\ndata: a\n\n").as_bytes()
        );
    }
    assert_eq!(events.fault(), None);
}

/// Guards against a search for the end of a line that starts at the wrong place after a part of it.
#[test]
fn events_in_parts_of_a_byte_are_passed_on_whole() {
    let text = "id: 1\ndata: a\n\n: ping\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    let mut events = EventBuffer::after(None);
    let passed = text.bytes().map(|byte| events.push(&[byte]));
    let passed: Vec<Bytes> = passed.filter(|event| !event.is_empty()).collect();
    assert_eq!(passed.concat(), text.replace(": ping\n\n", "").as_bytes());
    assert_eq!((passed.len(), events.fault()), (3, None));
}

/// Guards against a stream that ends inside an event and is taken for complete.
#[test]
fn a_stream_is_whole_after_an_event_only() {
    let is_whole = |parts: &[&str]| {
        let mut tail = EventTail::default();
        for part in parts {
            tail.note(part.as_bytes());
        }
        tail.is_whole()
    };
    assert!(!is_whole(&[]), "before its first event");
    assert!(is_whole(&["id: 1\ndata: a\n\n"]));
    assert!(
        is_whole(&["id: 1\ndata: a\n", "", "\n"]),
        "split inside the end of an event"
    );
    assert!(!is_whole(&["id: 1\ndata: a\n\n", "id: 2\n"]));
}

proptest! {
    /// The same events come out in the same order, wherever the bytes are split on their way.
    #[test]
    fn events_do_not_depend_on_how_bytes_are_split(cuts in prop::collection::vec(1_usize..40, 1..80)) {
        let texts: Vec<String> = (1..=30)
            .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
            .collect();
        let whole = texts.concat();
        let mut events = EventBuffer::after(None);
        let mut out = Vec::new();
        let mut rest = Bytes::from(whole.clone());
        for cut in cuts {
            let part = rest.split_to(cut.min(rest.len()));
            out.extend_from_slice(&events.push(&part));
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
        }
        out.extend_from_slice(&events.push(&rest));
        prop_assert_eq!(out, whole.into_bytes());
        prop_assert_eq!(events.last_id(), Some(30));
        prop_assert!(!events.has_partial());
        prop_assert_eq!(events.fault(), None);
    }

    /// Guards against wrong bytes that reach a caller, wherever they stand and however bytes are split.
    #[test]
    fn nothing_is_passed_on_behind_bytes_that_are_no_event(
        sound in 0_u64..8,
        wrong in prop::sample::select(WRONG),
        line_end in prop::sample::select(vec!["\n", "\r\n"]),
        part in 1_usize..40,
    ) {
        let event = |n: u64| format!("id: {n}{line_end}data: piece {n}{line_end}{line_end}");
        let before: String = (1..=sound).map(event).collect();
        let sent = format!("{before}{wrong}{}", event(sound + 1));
        let mut events = EventBuffer::after(None);
        let parts = sent.as_bytes().chunks(part);
        let out: Vec<u8> = parts.flat_map(|part| events.push(part)).collect();
        prop_assert_eq!(String::from_utf8(out).expect("text"), before);
        prop_assert_eq!(events.fault(), Some(Fault::NoEvent));
        prop_assert_eq!(events.last_id(), (sound > 0).then_some(sound));
    }
}

/// Reads bytes that the relay has waited for, at a millisecond after `start`, and returns the gap before them.
fn arrive(gaps: &mut EventGaps, start: Instant, at: u64, parts: &[&str]) -> Option<(u128, u32)> {
    let now = start + Duration::from_millis(at);
    for part in parts {
        gaps.note(now, part.as_bytes());
    }
    let arrived = gaps.note_waiting(now)?;
    Some((arrived.gap.as_millis(), arrived.events))
}

/// Guards against gaps that are counted as one pass although several events arrived, in one read or in parts.
#[test]
fn a_gap_is_measured_before_all_events_that_arrive_together() {
    let (mut gaps, start) = (EventGaps::default(), Instant::now());
    assert_eq!(arrive(&mut gaps, start, 0, &[]), None);
    assert_eq!(arrive(&mut gaps, start, 10, &["data: a\n\n"]), None);
    assert_eq!(
        arrive(&mut gaps, start, 50, &["data: b\n\n"]),
        Some((40, 1))
    );
    let two = "data: c\n\ndata: d\n\n";
    assert_eq!(arrive(&mut gaps, start, 130, &[two]), Some((80, 2)));
    let parts = ["data: e\n", "\ndata: f\n\n", "data: g"];
    assert_eq!(arrive(&mut gaps, start, 210, &parts), Some((80, 2)));
    assert_eq!(arrive(&mut gaps, start, 250, &["\n\n"]), Some((40, 1)));
}

/// Guards against a target that counts as slow because the caller's connection holds the relay back: the relay
/// then reads late what arrived long before.
#[test]
fn a_gap_in_which_the_caller_holds_the_relay_back_is_not_measured() {
    let (mut gaps, start) = (EventGaps::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(arrive(&mut gaps, start, 0, &[]), None);
    assert_eq!(arrive(&mut gaps, start, 10, &["data: a\n\n"]), None);
    gaps.note(at(50), b"data: b\n\n");
    // The caller takes nothing for a second, and then what was read before.
    assert_eq!(gaps.note_waiting(at(1_050)), None);
    assert_eq!(
        arrive(&mut gaps, start, 1_051, &["data: c\n\n"]),
        None,
        "c was late"
    );
    assert_eq!(arrive(&mut gaps, start, 1_090, &["data: d\n\n"]), None);
    assert_eq!(
        arrive(&mut gaps, start, 1_130, &["data: e\n\n"]),
        Some((40, 1))
    );
    gaps.note(at(1_170), b"data: f\n\n");
    // It holds the relay back again, and two reads wait meanwhile.
    gaps.note(at(2_000), b"data: g\n\n");
    assert_eq!(arrive(&mut gaps, start, 2_001, &["data: h\n\n"]), None);
    assert_eq!(arrive(&mut gaps, start, 2_040, &["data: i\n\n"]), None);
    assert_eq!(
        arrive(&mut gaps, start, 2_080, &["data: j\n\n"]),
        Some((40, 1))
    );
}
