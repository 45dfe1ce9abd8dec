//! Tests that callers get the engine's own answer to their request alone, whatever else the engine sends on the
//! connection.

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Answer;
use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::answer;
use crate::fleet::Fleet;
use crate::model::PIECES;
use crate::model::manifest;
use crate::model::plain_answer;

/// The statuses that promise a caller that its request has not run, and that an engine may send without saying so.
const PROMISES: [u16; 3] = [408, 429, 503];

/// How long an engine may stay out of use after it has sent wrong bytes.
const BACK_WITHIN: Duration = Duration::from_secs(8);

/// What an engine in trouble sends around its answer, with `{id}` in place of the request's own id.
struct Trouble {
    name: &'static str,
    method: &'static str,
    /// What comes before its own answer, once the request is there.
    before: &'static str,
    /// Its own answer; empty if there is none.
    answer: &'static str,
    /// What follows its own answer at once.
    after: &'static str,
    /// The statuses that the caller may get.
    statuses: &'static [u16],
}

const OWN: &str = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
    X-Filbertstack-Response-Seal: s\r\nContent-Length: 3\r\n\r\nown";
const OTHER: &str = "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: other\r\n\
    X-Filbertstack-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstray";
const UNNAMED: &str = "HTTP/1.1 200 OK\r\nX-Filbertstack-Response-Seal: s\r\nServer-Leaving: 1\r\n\
    Server-Limit: 0\r\nContent-Length: 5\r\n\r\nstray";
const REFUSAL_OF_OTHER: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Filbertstack-Attempt-Id: other\r\n\
    X-Filbertstack-Not-Executed: 1\r\nRetry-After: 600\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n\
    Content-Length: 0\r\n\r\n";

const SOUND: Trouble = Trouble {
    name: "none",
    method: "GET",
    before: "",
    answer: OWN,
    after: "",
    statuses: &[200],
};

/// The plays, on a route whose requests may use a connection that is kept.
const TROUBLES: [Trouble; 18] = [
    Trouble {
        name: "late, of another request",
        before: OTHER,
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "late, of no request",
        before: UNNAMED,
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "late, refusal of another request",
        before: REFUSAL_OF_OTHER,
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "late, success that says not run, of no request",
        before: "HTTP/1.1 200 OK\r\nX-Filbertstack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "late, failure of no request",
        before: "HTTP/1.1 404 Not Found\r\nX-Filbertstack-Response-Seal: s\r\nContent-Length: 0\r\n\r\n",
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "early, of another request",
        after: OTHER,
        ..SOUND
    },
    Trouble {
        name: "early, of no request",
        after: UNNAMED,
        ..SOUND
    },
    Trouble {
        name: "early, refusal of another request",
        after: REFUSAL_OF_OTHER,
        ..SOUND
    },
    Trouble {
        name: "early, no answer",
        after: "\r\n\0stray",
        ..SOUND
    },
    Trouble {
        name: "informational with headers of a refusal",
        before: "HTTP/1.1 103 Early Hints\r\nX-Filbertstack-Not-Executed: 1\r\nRetry-After: 600\r\n\
                 X-Filbertstack-Attempt-Id: {id}\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n\r\n",
        ..SOUND
    },
    Trouble {
        name: "refusal without its headers",
        answer: "HTTP/1.1 503 Service Unavailable\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
                 X-Filbertstack-Response-Seal: s\r\nContent-Length: 0\r\n\r\n",
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "two lengths",
        answer: "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\nX-Filbertstack-Response-Seal: s\r\n\
                 Content-Length: 3\r\nContent-Length: 8\r\n\r\nownstray",
        statuses: &[502],
        ..SOUND
    },
    Trouble {
        name: "length and chunks",
        answer: "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\nX-Filbertstack-Response-Seal: s\r\n\
                 Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
        statuses: &[200, 502],
        ..SOUND
    },
    Trouble {
        name: "no content with a body",
        answer: "HTTP/1.1 204 No Content\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
                 X-Filbertstack-Response-Seal: s\r\nContent-Length: 5\r\n\r\n",
        after: "stray",
        statuses: &[204, 502],
        ..SOUND
    },
    Trouble {
        name: "not modified with a body",
        answer: "HTTP/1.1 304 Not Modified\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
                 X-Filbertstack-Response-Seal: s\r\nContent-Length: 5\r\n\r\n",
        after: "stray",
        statuses: &[304, 502],
        ..SOUND
    },
    Trouble {
        name: "trailers with headers of a refusal",
        answer: "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
                 X-Filbertstack-Response-Seal: s\r\nTrailer: X-Filbertstack-Not-Executed\r\n\
                 Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\
                 X-Filbertstack-Not-Executed: 1\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n\r\n",
        ..SOUND
    },
    Trouble {
        name: "a connection that is kept forever",
        answer: "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
                 X-Filbertstack-Response-Seal: s\r\nKeep-Alive: timeout=18446744073709551615\r\n\
                 Content-Length: 3\r\n\r\nown",
        ..SOUND
    },
    Trouble {
        name: "head with a body",
        method: "HEAD",
        ..SOUND
    },
];

/// Returns what the engine sends for a request: its trouble is named by the number at the end of the id.
fn troubled_answer(received: &Received) -> Vec<u8> {
    let id = received.header("x-filbertstack-attempt-id");
    let number = id.strip_prefix("play-").and_then(|n| n.parse().ok());
    let trouble = number.map_or(&SOUND, |n: usize| &TROUBLES[n]);
    let text = [trouble.before, trouble.answer, trouble.after].concat();
    text.replace("{id}", id).into_bytes()
}

/// Returns what is wrong with the answer that a caller got; `None` if it is the engine's own, or none.
fn find_fault(got: &Answer, id: &str, trouble: &Trouble) -> Option<String> {
    let is_own = got.body == "own" || got.body == "3\r\nown\r\n0\r\n\r\n" || got.body.is_empty();
    let names = got
        .head
        .contains(&format!("x-filbertstack-attempt-id: {id}"));
    if !trouble.statuses.contains(&got.status) {
        Some(format!("status {}", got.status))
    } else if (200..400).contains(&got.status) && !(is_own && names) {
        Some(format!("not its own answer: {:?} {:?}", got.head, got.body))
    } else {
        None
    }
}

/// Plays one trouble on a kept connection, and returns what is wrong with what callers got.
fn play(cluster: &Cluster, number: usize, trouble: &Trouble) -> Vec<String> {
    let id = format!("play-{number}");
    // Requests with one path that break off count as one that crashes engines.
    let request = get(&format!("/safe/{number}"), &id, "").replacen("GET", trouble.method, 1);
    let got = exchange(&cluster.front_addr(0), &request);
    let mut faults = Vec::new();
    match got {
        Some(got) => faults.extend(find_fault(&got, &id, trouble)),
        None => faults.push("no answer".into()),
    }
    let began = Instant::now();
    loop {
        let next = cluster.call(0, &get("/safe/", "next", ""));
        if next.status == 200 {
            let fault = find_fault(&next, "next", &SOUND);
            faults.extend(fault.map(|fault| format!("the next request: {fault}")));
            break;
        }
        if began.elapsed() >= BACK_WITHIN {
            faults.push(format!("the engine gets no more requests: {}", next.status));
            break;
        }
        sleep(Duration::from_millis(20));
    }
    faults
}

/// Guards against bytes of an engine in trouble that are taken for its answer to a request, for a promise that the
/// request has not run, or for what the engine wants.
#[test]
fn callers_get_the_answer_to_their_own_request_alone() {
    let engine = Engine::start(Box::new(troubled_answer));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    let mut faults = BTreeSet::new();
    for (number, trouble) in TROUBLES.iter().enumerate() {
        // An engine that failed is a new one after another start.
        let born = 1 + number as u64;
        wait_until("the target is registered", || {
            cluster.announce_start(0, "i-1", "safe", engine.addr, born) == Some(200)
        });
        cluster.await_service(0, "/safe/");
        let found = play(&cluster, number, trouble).into_iter();
        faults.extend(found.map(|fault| format!("{}: {fault}", trouble.name)));
    }
    let faults: Vec<String> = faults.into_iter().collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against a request that may run only once, and whose engine sends an answer that names no request or a
/// refusal that does not say that it has not run: its caller must not be told so, nor get it.
#[test]
fn an_answer_that_names_no_request_is_no_answer_to_one_that_runs_once() {
    let engine = Engine::start(Box::new(|received: &Received| {
        let id = received.header("x-filbertstack-attempt-id");
        let (status, own) = id.split_once('-').unwrap_or(("200", "own"));
        let own = if own == "own" { id } else { "other" };
        let named = match own {
            "other" if id.ends_with("none") => String::new(),
            own => format!("X-Filbertstack-Attempt-Id: {own}\r\n"),
        };
        format!(
            "HTTP/1.1 {status} Status\r\n{named}X-Filbertstack-Response-Seal: s\r\nContent-Length: 3\r\n\r\nown"
        )
        .into_bytes()
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    let ids = PROMISES.map(|status| format!("{status}-own")).into_iter();
    let ids = ids.chain(["200-none", "404-none", "500-none", "503-none"].map(str::to_owned));
    let mut faults = Vec::new();
    for (born, id) in (1..).zip(ids) {
        wait_until("the target is registered", || {
            cluster.announce_start(0, "i-1", "once", engine.addr, born) == Some(200)
        });
        cluster.await_service(0, "/once/");
        let got = cluster.call(0, &get(&format!("/once/{born}"), &id, ""));
        if got.status != 502 {
            faults.push(format!("{id}: {}", got.status));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against an entry that reads a head without end: its caller waits, and its memory fills.
#[test]
fn a_head_without_end_is_no_answer() {
    const LENGTH: usize = 8 << 20;
    let engine = Engine::start(Box::new(|received: &Received| {
        let endless = match received.header("x-filbertstack-attempt-id") {
            "line" => format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(LENGTH)),
            "lines" => format!("HTTP/1.1 200 OK\r\n{}", "X: x\r\n".repeat(LENGTH / 6)),
            "no line" => "\0".repeat(LENGTH),
            "heads" => "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(LENGTH / 28),
            _ => return answer(received, "200 OK", "ok"),
        };
        endless.into_bytes()
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    for (born, id) in (1..).zip(["line", "lines", "no line", "heads"]) {
        wait_until("the target is registered", || {
            cluster.announce_start(0, "i-1", "once", engine.addr, born) == Some(200)
        });
        cluster.await_service(0, "/once/");
        let got = cluster.call(0, &get(&format!("/once/{born}"), id, ""));
        assert_eq!(got.status, 502, "{id}");
    }
}

/// Guards against a heartbeat of a foreign writer that takes the address or the name of an engine from it.
#[test]
fn heartbeats_of_foreign_writers_hide_no_engine() {
    let engine = Engine::start(Box::new(|received| answer(received, "200 OK", "ok")));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    let foreign = |id: &str, change: &dyn Fn(&mut Value)| {
        let mut body = json!({
            "service": "safe", "address": engine.addr.to_string(), "zone": "z0", "slots": 4,
            "state": "ready", "sequence": 2, "born": 2, "models": []
        });
        change(&mut body);
        let answer = cluster.control(0, "PUT", &format!("/instances/{id}"), &body.to_string());
        (id.to_owned(), answer.map(|answer| answer.status))
    };
    let answers = [
        foreign("j-1", &|b| b["service"] = json!("nowhere")),
        foreign("j-2", &|b| b["born"] = json!(u64::MAX)),
        foreign("i-1", &|b| b["sequence"] = json!(u64::MAX)),
        foreign("i-1", &|b| b["state"] = json!("gone")),
        foreign("j-3", &|b| b["zone"] = json!("z".repeat(1 << 20))),
    ];
    let expected = [Some(200), Some(400), Some(400), Some(400), Some(400)];
    assert_eq!(
        answers.clone().map(|(_, status)| status),
        expected,
        "{answers:?}"
    );
    for n in 0..20 {
        let got = cluster.call(0, &get("/safe/", &format!("a{n}"), ""));
        assert_eq!(got.status, 200, "request {n}: {}", got.body);
        sleep(Duration::from_millis(20));
    }
}

/// Guards against a list of pieces that the origin sends twice, and that is not the list of the version: engines would
/// load with pieces missing.
#[test]
fn lists_that_are_not_those_of_a_version_are_not_used() {
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut list = manifest(2);
        change(&mut list);
        plain_answer("200 OK", list.to_string().as_bytes())
    };
    let count = |list: &mut Value, count: u32| {
        let digests = manifest(2)["digests"].as_array().expect("digests").clone();
        let digests = digests.into_iter().cycle().take(count as usize);
        list["digests"] = digests.collect();
    };
    let wrong = vec![
        changed(&|list| list["model"] = json!("other")),
        changed(&|list| list["version"] = json!(3)),
        changed(&|list| list["digests"][3] = json!("4")),
        changed(&|list| list["digests"] = json!("none")),
        changed(&|list| count(list, 0)),
        changed(&|list| count(list, PIECES / 2)),
        changed(&|list| count(list, PIECES * 2)),
        // More than is read of a list.
        changed(&|list| count(list, 20_000)),
        plain_answer("200 OK", b"{\"model\":\"m\",\"version\":2"),
        plain_answer("200 OK", &[0xff; 600]),
    ];
    let fleet = Fleet::start(1);
    wait_until("all entries know each other", || {
        (0..3).all(|n| fleet.cluster.knows_all(n))
    });
    fleet.origin.answer_lists(wrong);
    fleet.name_version(2);
    fleet.await_version(2);
    assert_eq!(fleet.bad_loads(), 0);
    assert_eq!(fleet.origin.wrong_lists_left(), 0, "all were sent");
}
