//! Tests that bytes which are no event of a stream do not reach its caller, however the target frames its answer.

use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;

/// The events of a stream.
const EVENTS: u64 = 6;

/// The wrong bytes follow this event where they stand between two.
const MIDDLE: u64 = 3;

/// The routes: the streams of the first may be resumed, those of the second may not.
const ROUTES: [&str; 2] = ["stream", "live"];

/// What an engine in trouble sends within its stream.
const WRONG: [&str; 11] = [
    "upstream connect error\n\n",
    "id: \ndata: piece 9\n\n",
    "id: x\ndata: piece 9\n\n",
    "id: -4\ndata: piece 9\n\n",
    "data: piece 9\n\n",
    "id: 2\ndata: piece 2\n\n",
    "\n\n",
    "\u{fffd}\u{1}\u{2} no line",
    "id: 9",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n",
];

/// How an answer is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// It ends with its connection. One that resumes a stream has chunks, as an empty one would not show its end.
    None,
    /// With a length.
    Length,
    /// In a chunk for each event.
    Events,
    /// In chunks of 7 bytes.
    Parts,
}

/// What the engines send within the stream that is asked for next.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    bytes: &'static str,
    /// The event that the bytes follow.
    after: u64,
}

/// An answer as its caller received it.
struct Got {
    body: String,
    /// Whether it ended as a whole one.
    ended: bool,
}

/// Returns an event as engines send it. One of them names the version of the weights.
fn event(n: u64) -> String {
    let version = if n == 2 {
        "x-filbertstack-weight-versions: 1\n"
    } else {
        ""
    };
    format!("{version}id: {n}\ndata: piece {n}\n\n")
}

/// Returns the answer of an engine: the wrong bytes stand in those that do not resume a stream.
fn answer(received: &Received, framing: Framing, trouble: Trouble) -> Vec<u8> {
    let id = received.header("x-filbertstack-attempt-id");
    let resumed = received.header("last-event-id").parse();
    let after = resumed.clone().unwrap_or(0);
    let mut pieces = Vec::new();
    for n in after + 1..=EVENTS {
        pieces.push(event(n));
        if resumed.is_err() && n == trouble.after && !id.starts_with("probe") {
            pieces.push(trouble.bytes.into());
        }
    }
    framed(received, framing, &pieces)
}

/// Returns an answer with these bytes.
fn framed(received: &Received, framing: Framing, pieces: &[String]) -> Vec<u8> {
    let id = received.header("x-filbertstack-attempt-id");
    let resumes = !received.header("last-event-id").is_empty();
    let body = pieces.concat();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
         X-Filbertstack-Response-Seal: sealed\r\nContent-Type: text/event-stream\r\n"
    );
    let chunks: Vec<&[u8]> = match framing {
        Framing::None if !resumes => return format!("{head}\r\n{body}").into_bytes(),
        Framing::Length => {
            return format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
        }
        Framing::None | Framing::Events => pieces.iter().map(String::as_bytes).collect(),
        Framing::Parts => body.as_bytes().chunks(7).collect(),
    };
    let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in chunks {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Returns the body of an answer in chunks.
fn decode(mut text: &str) -> Got {
    let mut body = String::new();
    while let Some((length, rest)) = text.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).expect("the length of a chunk");
        if length == 0 {
            return Got { body, ended: true };
        }
        body.push_str(rest.get(..length).unwrap_or(rest));
        text = rest.get(length + 2..).unwrap_or_default();
    }
    Got { body, ended: false }
}

/// Returns a document with both routes.
fn declared() -> Value {
    let mut declared = document(1);
    let mut live = declared["routes"][2].clone();
    live["name"] = json!("live");
    live["pathPrefix"] = json!("/live/");
    live["service"] = json!("live");
    live["resumable"] = json!(false);
    declared["routes"]
        .as_array_mut()
        .expect("routes")
        .push(live);
    let services = declared["services"].as_array_mut().expect("services");
    services.push(json!({"name": "live"}));
    declared
}

/// Registers the engines as ones that have just started. Those that failed requests would be left out otherwise.
fn start_again(cluster: &Cluster, engines: &[Engine], route: &str, born: u64) {
    for (n, engine) in engines.iter().enumerate() {
        let id = format!("{route}-{n}");
        wait_until("the target is registered", || {
            cluster.announce_start(0, &id, route, engine.addr, born) == Some(200)
        });
    }
    wait_until("the targets serve", || {
        let path = format!("/{route}/");
        cluster.call(0, &get(&path, "probe", "")).status == 200
    });
}

/// Returns what is wrong with an answer to a request whose engine was in trouble; `None` if it holds sound events alone,
/// and ends as whole only with all of them.
fn find_fault(got: &Got, route: &str, trouble: Trouble) -> Option<&'static str> {
    let due: String = (1..=EVENTS).map(event).collect();
    let sound: String = (1..=trouble.after).map(event).collect();
    let is_whole = got.body == due && got.ended;
    if !due.starts_with(&got.body) {
        Some("bytes of no event")
    } else if got.ended && !is_whole {
        Some("ended as whole before its last event")
    } else if got.body.len() < sound.len() {
        Some("a sound event is missing")
    } else if route == ROUTES[0] && !is_whole {
        Some("not resumed")
    } else {
        None
    }
}

/// Asserts that callers of both routes get sound events alone, whatever their engine sends among them, and that only a
/// stream with all its events ends as whole.
fn assert_sound(framing: Framing) {
    let trouble = Arc::new(Mutex::new(Trouble {
        bytes: "",
        after: 0,
    }));
    let start = || {
        let trouble = trouble.clone();
        Engine::start(Box::new(move |received| {
            answer(received, framing, *trouble.lock().expect("not poisoned"))
        }))
    };
    let engines = [start(), start()];
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &declared());
    let places = [MIDDLE, EVENTS].into_iter();
    let places = places.flat_map(|after| WRONG.map(|bytes| Trouble { bytes, after }));
    let plays = ROUTES.map(|route| places.clone().map(move |next| (route, next)));
    let plays: Vec<(&str, Trouble)> = plays.into_iter().flatten().collect();
    let mut faults = Vec::new();
    for (born, (route, next)) in (1..).zip(&plays) {
        start_again(&cluster, &engines, route, born);
        *trouble.lock().expect("not poisoned") = *next;
        // Requests with one path that break off count as one that crashes engines.
        let path = format!("/{route}/{born}");
        let got = cluster.call(0, &get(&path, &format!("a{born}"), ""));
        assert_eq!(got.status, 200, "{next:?}");
        let got = decode(&got.body);
        let fault = find_fault(&got, route, *next);
        faults.extend(fault.map(|fault| format!("{fault}: {route} {next:?} {:?}", got.body)));
    }
    let count = faults.len();
    let shown = faults.join("\n");
    assert!(faults.is_empty(), "{count} of {}\n{shown}", plays.len());
}

/// Guards against bytes that are no event in a stream that ends with its connection: by its framing all that an engine
/// sends belongs to it.
#[test]
fn wrong_bytes_of_an_engine_are_no_event_of_a_stream_without_framing() {
    assert_sound(Framing::None);
}

/// Guards against the same in a stream with a length, which is not that of what its caller gets.
#[test]
fn wrong_bytes_of_an_engine_are_no_event_of_a_stream_with_a_length() {
    assert_sound(Framing::Length);
}

/// Guards against the same in a stream with a chunk for each event.
#[test]
fn wrong_bytes_of_an_engine_are_no_event_of_a_stream_in_chunks() {
    assert_sound(Framing::Events);
}

/// Guards against the same in a stream whose chunks end within events.
#[test]
fn wrong_bytes_of_an_engine_are_no_event_of_a_stream_in_small_chunks() {
    assert_sound(Framing::Parts);
}

/// Starts two engines with the same behaviour, and an entry.
fn start_both(behaviour: fn(&Received) -> Vec<u8>) -> (Cluster, [Engine; 2]) {
    let engines = [0, 1].map(|_| Engine::start(Box::new(behaviour)));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &declared());
    (cluster, engines)
}

/// Guards against a sound stream that is cut: comments and blank lines between its events are left out, and its length
/// with them.
#[test]
fn a_stream_with_comments_ends_whole() {
    for framing in [Framing::Length, Framing::None, Framing::Events] {
        let (cluster, engines) = match framing {
            Framing::Length => start_both(|received| with_comment(received, Framing::Length)),
            Framing::None => start_both(|received| with_comment(received, Framing::None)),
            _ => start_both(|received| with_comment(received, Framing::Events)),
        };
        for (born, route) in (1..).zip(ROUTES) {
            start_again(&cluster, &engines, route, born);
            let got = cluster.call(0, &get(&format!("/{route}/"), "a1", ""));
            let got = decode(&got.body);
            let due: String = (1..=EVENTS).map(event).collect();
            assert!(
                got.ended,
                "{route} {framing:?}: {}\n{}",
                got.body,
                cluster.logged(0)
            );
            assert_eq!(got.body, due, "{route} {framing:?}");
        }
    }
}

fn with_comment(received: &Received, framing: Framing) -> Vec<u8> {
    let mut pieces: Vec<String> = (1..=EVENTS).map(event).collect();
    pieces.insert(2, ": keep-alive\n\n".into());
    pieces.insert(4, "\n".into());
    framed(received, framing, &pieces)
}

/// Guards against a stream that ends as whole although its caller lacks events: an engine sends one from far ahead, and
/// another has nothing to send after that.
#[test]
fn a_stream_with_events_out_of_order_does_not_end_whole() {
    let (cluster, engines) = start_both(|received| {
        let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
        let mut pieces: Vec<String> = (after + 1..=EVENTS).map(event).collect();
        if after == 0
            && !received
                .header("x-filbertstack-attempt-id")
                .starts_with("probe")
        {
            pieces.insert(2, event(9));
        }
        framed(received, Framing::Events, &pieces)
    });
    for (born, route) in (1..).zip(ROUTES) {
        start_again(&cluster, &engines, route, born);
        let got = cluster.call(0, &get(&format!("/{route}/a1"), "a1", ""));
        let got = decode(&got.body);
        let due = [event(1), event(2), event(9)].concat();
        assert_eq!((got.body, got.ended), (due, false), "{route}");
    }
}

/// Guards against a sound request that is refused as one which crashes engines: they send the beginning of an event
/// behind the last one, and end their answers properly.
#[test]
fn wrong_bytes_at_the_end_do_not_count_as_a_crash() {
    let (cluster, engines) = start_both(|received| {
        let mut pieces: Vec<String> = (1..=EVENTS).map(event).collect();
        if !received
            .header("x-filbertstack-attempt-id")
            .starts_with("probe")
        {
            pieces.push("id: 9".into());
        }
        framed(received, Framing::Events, &pieces)
    });
    for born in 2..8 {
        start_again(&cluster, &engines, "live", born);
        let got = cluster.call(0, &get("/live/same", &format!("a{born}"), ""));
        assert_eq!(got.status, 200, "{}", got.body);
        assert!(!decode(&got.body).ended, "the last event is not known");
    }
}

/// Guards against a stream that ends as whole because an engine was cut right after its head: an answer without events
/// whose end is that of its connection does not show that nothing is left.
#[test]
fn an_empty_answer_without_framing_does_not_end_a_stream() {
    let (cluster, engines) = start_both(|received| {
        let mut pieces: Vec<String> = (1..=EVENTS).map(event).collect();
        if received
            .header("x-filbertstack-attempt-id")
            .starts_with("probe")
        {
            return framed(received, Framing::Events, &pieces);
        }
        if received.header("last-event-id").is_empty() {
            pieces.truncate(3);
            pieces.push("oops\n\n".into());
            return framed(received, Framing::Events, &pieces);
        }
        let empty = String::from_utf8(framed(received, Framing::Events, &[])).expect("text");
        let head = empty.replace("Transfer-Encoding: chunked\r\n\r\n0\r\n", "");
        head.into_bytes()
    });
    start_again(&cluster, &engines, "stream", 1);
    let got = cluster.call(0, &get("/stream/a1", "a1", ""));
    let got = decode(&got.body);
    let due: String = (1..=3).map(event).collect();
    assert_eq!((got.body, got.ended), (due, false), "{}", cluster.logged(0));
}
