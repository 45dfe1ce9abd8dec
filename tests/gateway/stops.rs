//! Tests what becomes of requests that reach an entry after it was told to stop, or shortly before.

use std::collections::BTreeSet;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::cluster::Answer;
use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::post;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;

/// The grace period of the entries: their default.
const GRACE: Duration = Duration::from_secs(8);

/// The time between two requests.
const GAP: Duration = Duration::from_millis(130);

/// What a run varies.
#[derive(Clone, Copy, Debug)]
struct Scene {
    route: &'static str,
    /// How long the engine takes for a request.
    takes: Duration,
    /// The time limit of the callers.
    limit: Duration,
    /// How long before the signal the first request is sent.
    before: Duration,
    /// How long after its head a body is sent; `None` for requests without one.
    body_after: Option<Duration>,
    /// Whether callers send two requests on one connection, the second after the answer to the first.
    kept: bool,
    /// Whether the entry is told to stop twice.
    twice: bool,
}

const ONCE: Scene = Scene {
    route: "once",
    takes: Duration::from_secs(5),
    limit: Duration::from_secs(6),
    before: Duration::ZERO,
    body_after: None,
    kept: false,
    twice: false,
};

/// Reads one answer. Returns `None` if it is not whole.
fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|length| length.parse().ok())?;
            if body.len() >= length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let body = body.to_owned();
                return Some(Answer { status, head, body });
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
        }
    }
}

/// Sends requests as the scene says, and returns each id with the whole answer to it, if there was one.
fn call(front: &str, id: &str, scene: Scene) -> Vec<(String, Option<Answer>)> {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return Vec::new();
    };
    let timeout = Some(scene.limit + GRACE);
    stream.set_read_timeout(timeout).expect("a timeout");
    let mut answers = Vec::new();
    for n in 0..if scene.kept { 4 } else { 1 } {
        let id = format!("{id}-{n}");
        let send = if scene.body_after.is_some() {
            post
        } else {
            get
        };
        let request = send(&format!("/{}/", scene.route), &id, "");
        let limit = format!("Deadline-Ms: {}", scene.limit.as_millis());
        let mut request = request.replace("Deadline-Ms: 5000", &limit);
        if scene.kept {
            request = request.replace("Connection: close\r\n", "");
        }
        let (head, body) = request.split_once("\r\n\r\n").expect("a head");
        if stream
            .write_all(format!("{head}\r\n\r\n").as_bytes())
            .is_err()
        {
            break;
        }
        thread::sleep(scene.body_after.unwrap_or_default());
        let _ = stream.write_all(body.as_bytes());
        let answer = read_answer(&mut stream);
        let ended = answer.is_none();
        answers.push((id, answer));
        if ended {
            break;
        }
    }
    answers
}

/// Stops an entry while callers keep sending requests, and asserts that none of those that an engine got is left without an
/// answer, and that none is told not to have run that did.
fn assert_answered(scene: Scene) {
    let mut cluster = Cluster::start(1, 0);
    let mut declared = document(1);
    for route in declared["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(60_000);
    }
    cluster.put_document(&[0], &declared);
    let takes = scene.takes;
    let engine = Engine::start(Box::new(move |received| {
        if !received
            .header("x-filbertstack-attempt-id")
            .starts_with("await")
        {
            thread::sleep(takes);
        }
        answer(received, "200 OK", "served")
    }));
    cluster.register(0, "i-0", scene.route, engine.addr);
    let probe = format!("/{}/", scene.route);
    wait_until("the route is served", || {
        let request = get(&probe, "await-0", "");
        let answer = exchange(&cluster.front_addr(0), &request);
        answer.is_some_and(|a| a.status == 200)
    });
    let signal_at = Instant::now() + scene.before;
    let mut callers = Vec::new();
    let (mut signals, mut sent) = (0, 0);
    while signal_at + GRACE > Instant::now() && !(signals > 0 && cluster.has_ended(0)) {
        if signals == 0 && Instant::now() >= signal_at {
            cluster.signal(0, "TERM");
            signals = 1;
        }
        if signals == 1 && scene.twice && Instant::now() >= signal_at + GRACE / 4 {
            cluster.signal(0, "TERM");
            signals = 2;
        }
        let (front, id) = (cluster.front_addr(0), format!("c{sent}"));
        callers.push(thread::spawn(move || call(&front, &id, scene)));
        sent += 1;
        thread::sleep(GAP);
    }
    let answers = callers.into_iter().flat_map(|c| c.join().expect("it ends"));
    let answers: Vec<_> = answers.collect();
    // The stand-in records a request once its answer is ready.
    thread::sleep(takes);
    let received = engine.received();
    let ran = received
        .iter()
        .map(|r| r.header("x-filbertstack-attempt-id").to_owned());
    let ran: BTreeSet<String> = ran.collect();
    assert!(ran.len() > 1, "nothing was passed on in {scene:?}");
    for (id, answer) in answers {
        let status = answer.map_or(0, |answer| answer.status);
        let promised = [408, 429, 503].contains(&status);
        let wrong = if ran.contains(&id) {
            status == 0 || promised
        } else {
            false
        };
        assert!(
            !wrong,
            "{id} ran and ended with {status} in {scene:?}\n{}",
            cluster.logged(0)
        );
    }
}

/// Guards against requests that may run once and end without an answer because their limit outlasts the grace period.
#[test]
fn a_request_that_outlasts_the_grace_period_is_refused() {
    let streams = Scene {
        takes: Duration::from_secs(3),
        limit: Duration::from_secs(4),
        ..ONCE
    };
    let scenes = [
        ONCE,
        Scene {
            twice: true,
            ..ONCE
        },
        streams,
    ];
    let runs = scenes.map(|scene| thread::spawn(move || assert_answered(scene)));
    for run in runs {
        run.join().expect("each request has an answer");
    }
}

/// Guards against the same for requests that were taken before the signal, wait for their body, come on kept connections, or
/// may run again.
#[test]
fn a_request_that_is_taken_before_the_end_has_an_answer() {
    let seconds = Duration::from_secs;
    let scenes = [
        Scene {
            before: seconds(1),
            takes: seconds(12),
            limit: seconds(20),
            ..ONCE
        },
        Scene {
            route: "safe",
            takes: seconds(12),
            limit: seconds(20),
            ..ONCE
        },
        Scene {
            route: "safe",
            ..ONCE
        },
        Scene {
            body_after: Some(Duration::from_millis(600)),
            ..ONCE
        },
        Scene {
            takes: seconds(1),
            kept: true,
            before: seconds(1),
            ..ONCE
        },
    ];
    let runs = scenes.map(|scene| thread::spawn(move || assert_answered(scene)));
    for run in runs {
        run.join().expect("each request has an answer");
    }
}
