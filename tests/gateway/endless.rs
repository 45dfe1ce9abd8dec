//! Tests far ends that send without end what comes to nothing: each process closes the connection soon, keeps none of it,
//! and serves others meanwhile.

use std::fs;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;
use crate::fleet::Fleet;
use crate::model::services;

/// The most bytes that a far end gets rid of before its connection closes. The buffers of both systems hold up to 10 MiB,
/// whatever the process reads.
const MAX_SENT: usize = 16 << 20;

/// A far end ends by itself after so many bytes.
const CAP: usize = 256 << 20;

/// The most memory that a process may gain, in KiB.
const MAX_GROWTH: usize = 24 << 10;

/// The head of an answer that its caller takes for the engine's own. `ID` stands for the id of the attempt.
const HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: ID\r\nX-Filbertstack-Response-Seal: sealed\r\n";

/// What a far end sends: once, and then without end.
#[derive(Clone, Copy, Debug)]
struct Form {
    name: &'static str,
    /// Whether [`HEAD`] goes first.
    heads: bool,
    first: &'static str,
    then: &'static str,
}

const fn form(name: &'static str, heads: bool, first: &'static str, then: &'static str) -> Form {
    Form {
        name,
        heads,
        first,
        then,
    }
}

const EVENTS: &str = "Content-Type: text/event-stream\r\n";
const CHUNKS: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// What engines and origins send in place of an answer, or within one.
const FORMS: [Form; 15] = [
    form("no protocol", false, "", "garbage "),
    form("blank lines", false, "", "\r\n"),
    form("status line", false, "HTTP/1.1 200 O", "O"),
    form("header value", false, "HTTP/1.1 200 OK\r\nA: ", "x"),
    form("header lines", false, "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
    form(
        "interim answers",
        false,
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ),
    form(
        "early hints",
        false,
        "",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    ),
    form("chunk size", true, CHUNKS, "0"),
    form("chunk extension", true, CHUNKS, "5;x=yyyyyyyyyyyyyyyyyyy"),
    form(
        "trailers",
        true,
        "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "A: b\r\n",
    ),
    form("small chunks of comments", true, CHUNKS, "2\r\n:\n\r\n"),
    form(
        "a refusal's body",
        false,
        "HTTP/1.1 503 No\r\nX-Filbertstack-Not-Executed: 1\r\n\r\n",
        "x",
    ),
    form("a failure's body", false, "HTTP/1.1 500 No\r\n\r\n", "x"),
    form(
        "behind an answer",
        true,
        "Content-Length: 2\r\nConnection: keep-alive\r\n\r\nok",
        "x",
    ),
    form(
        "two lengths",
        true,
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
        "x",
    ),
];

/// What an engine or origin sends as an answer to a call. The caller of a request reads it as long as it likes.
const BODY: Form = form("a body", true, "\r\n", "x");

/// What engines send within a stream of events.
const STREAM_FORMS: [Form; 4] = [
    form("blank lines in a stream", true, EVENTS, "\r\n"),
    form(
        "chunked blank lines",
        true,
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        "2\r\n\n\n\r\n",
    ),
    form("comments in a stream", true, EVENTS, "\r\n: ping\r\n"),
    form("a line in a stream", true, EVENTS, "\r\ndata: xxxxxxxxxx"),
];

/// A far end, and how many bytes it got rid of on each connection that has ended.
struct Endless {
    addr: SocketAddr,
    form: Arc<Mutex<Form>>,
    sent: Arc<Mutex<Vec<usize>>>,
}

impl Endless {
    fn start(form: Form) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let form = Arc::new(Mutex::new(form));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let (shared, counts) = (form.clone(), sent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let form = *shared.lock().expect("not poisoned");
                let counts = counts.clone();
                thread::spawn(move || {
                    let sent = answer_without_end(stream, form);
                    counts.lock().expect("not poisoned").push(sent);
                });
            }
        });
        Self { addr, form, sent }
    }

    fn set_form(&self, form: Form) {
        *self.form.lock().expect("not poisoned") = form;
        self.sent.lock().expect("not poisoned").clear();
    }

    fn has_ended(&self) -> bool {
        !self.sent.lock().expect("not poisoned").is_empty()
    }

    /// Waits until a connection has ended, and asserts that none got rid of too much.
    fn assert_closed_early(&self, what: &str) {
        wait_until(&format!("{what} ends"), || self.has_ended());
        let sent = self.sent.lock().expect("not poisoned").clone();
        let most = sent.iter().max().copied().unwrap_or(0);
        assert!(most <= MAX_SENT, "{what}: {most} bytes were read");
    }
}

/// Reads a request and answers it without end. Returns the number of bytes that the system took.
fn answer_without_end(mut stream: TcpStream, form: Form) -> usize {
    let mut request = vec![0; 64 << 10];
    let read = stream.read(&mut request).unwrap_or(0);
    let text = String::from_utf8_lossy(&request[..read]).to_lowercase();
    let id = text.split("attempt-id: ").nth(1).unwrap_or_default();
    let id = id.lines().next().unwrap_or_default();
    let head = if form.heads {
        HEAD.replace("ID", id)
    } else {
        String::new()
    };
    if stream
        .write_all(format!("{head}{}", form.first).as_bytes())
        .is_err()
    {
        return 0;
    }
    send_without_end(&mut stream, form.then)
}

/// Sends `text` again and again until the connection ends, and returns the number of bytes that the system took.
fn send_without_end(stream: &mut TcpStream, text: &str) -> usize {
    let bytes = text.repeat((64 << 10) / text.len() + 1);
    let mut sent = 0;
    while sent < CAP {
        match stream.write(bytes.as_bytes()) {
            // A part of the text may follow the next time: what counts is that it has no end.
            Ok(n) => sent += n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    sent
}

/// Returns the most memory that a process has used, in KiB.
fn peak_memory(cluster: &Cluster, n: usize) -> usize {
    let id = cluster.id(n).expect("it runs");
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    size.and_then(|size| size.parse().ok()).expect("a size")
}

/// Calls a sound route in a loop until it is dropped, and asserts then that each call was served.
struct Bystander {
    ended: Arc<AtomicBool>,
    caller: Option<thread::JoinHandle<(u32, u32)>>,
}

impl Bystander {
    fn start(front: String) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let stop = ended.clone();
        let caller = thread::spawn(move || {
            let (mut calls, mut served) = (0, 0);
            while !stop.load(Ordering::SeqCst) {
                calls += 1;
                let request = get("/once/", &format!("by-{calls}"), "");
                let answer = exchange(&front, &request);
                served += u32::from(answer.is_some_and(|a| a.status == 200));
                thread::sleep(Duration::from_millis(20));
            }
            (calls, served)
        });
        Self {
            ended,
            caller: Some(caller),
        }
    }

    fn assert_served(mut self) {
        self.ended.store(true, Ordering::SeqCst);
        let caller = self.caller.take().expect("it is asked once");
        let (calls, served) = caller.join().expect("it ends");
        assert!(calls > 0 && served == calls, "{served} of {calls} served");
    }
}

/// Starts an entry with a sound target of one service.
fn start_entry() -> (Cluster, Engine) {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    let sound = Engine::start(Box::new(|received| answer(received, "200 OK", "served")));
    cluster.register(0, "i-sound", "once", sound.addr);
    cluster.await_service(0, "/once/");
    (cluster, sound)
}

/// Guards against a target that takes the processor from all other requests of an entry, or fills its memory, with bytes
/// that come to nothing.
#[test]
fn endless_bytes_of_a_target_end_its_connection() {
    let (cluster, sound) = start_entry();
    let before = peak_memory(&cluster, 0);
    let bystander = Bystander::start(cluster.front_addr(0));
    for (route, forms) in [("safe", &FORMS[..]), ("stream", &STREAM_FORMS[..])] {
        let endless = Endless::start(forms[0]);
        for (n, form) in forms.iter().enumerate() {
            endless.set_form(*form);
            // The sound target announces itself, too, as otherwise it counts as gone.
            cluster.register(0, "i-sound", "once", sound.addr);
            // Under a new id the target counts as sound again.
            cluster.register(0, &format!("i-{route}-{n}"), route, endless.addr);
            let request = get(&format!("/{route}/{n}"), &format!("{route}-{n}"), "");
            wait_until(form.name, || {
                let _ = exchange(&cluster.front_addr(0), &request);
                endless.has_ended()
            });
            endless.assert_closed_early(form.name);
        }
    }
    bystander.assert_served();
    let growth = peak_memory(&cluster, 0).saturating_sub(before);
    assert!(growth <= MAX_GROWTH, "the entry has grown by {growth} KiB");
}

/// Guards against callers and operators who do the same to an entry.
#[test]
fn endless_bytes_of_a_caller_end_its_connection() {
    let (cluster, sound) = start_entry();
    let before = peak_memory(&cluster, 0);
    let bystander = Bystander::start(cluster.front_addr(0));
    let post = "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Filbertstack-Deadline-Ms: 5000\r\n";
    let put = "PUT /config HTTP/1.1\r\nHost: h.example\r\n";
    let beat = "PUT /instances/i-9 HTTP/1.1\r\nHost: h.example\r\n";
    let forms = [
        ("", "\r\n"),
        ("", "garbage "),
        ("HEAD", "A: b\r\n"),
        ("HEADA: ", "x"),
        ("HEADTransfer-Encoding: chunked\r\n\r\n", "0"),
        ("HEADTransfer-Encoding: chunked\r\n\r\n5;", "x"),
        ("HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
        ("HEADTransfer-Encoding: chunked\r\n\r\n", "400\r\nx"),
    ];
    for (to, head) in [
        (cluster.front_addr(0), post),
        (cluster.control_addr(0), put),
        (cluster.control_addr(0), beat),
    ] {
        for (first, then) in forms {
            cluster.register(0, "i-sound", "once", sound.addr);
            let mut stream = TcpStream::connect(&to).expect("it listens");
            stream
                .write_all(first.replace("HEAD", head).as_bytes())
                .expect("sent");
            let sent = send_without_end(&mut stream, then);
            assert!(
                sent <= MAX_SENT,
                "{head} {first:?} {then:?}: {sent} bytes were read"
            );
        }
    }
    bystander.assert_served();
    let growth = peak_memory(&cluster, 0).saturating_sub(before);
    assert!(growth <= MAX_GROWTH, "the entry has grown by {growth} KiB");
}

/// Guards against an engine that fills its agent's memory with the answer to a call, or keeps its processor.
#[test]
fn endless_bytes_of_an_engine_end_its_agents_calls() {
    let mut cluster = Cluster::start(1, 0);
    let endless = Endless::start(FORMS[0]);
    let agent = cluster.start_agent("stream", endless.addr);
    endless.assert_closed_early("the first call");
    let before = peak_memory(&cluster, agent);
    for form in FORMS.into_iter().chain([BODY]) {
        endless.set_form(form);
        endless.assert_closed_early(form.name);
    }
    let growth = peak_memory(&cluster, agent).saturating_sub(before);
    assert!(growth <= MAX_GROWTH, "the agent has grown by {growth} KiB");
}

/// Guards against an origin of weights that does the same to an entry that fetches a version.
#[test]
fn endless_bytes_of_an_origin_end_its_connection() {
    let fleet = Fleet::start(1);
    let cluster = &fleet.cluster;
    let sound = Engine::start(Box::new(|received| answer(received, "200 OK", "served")));
    cluster.register(0, "i-sound", "once", sound.addr);
    cluster.await_service(0, "/once/");
    let endless = Endless::start(FORMS[0]);
    let mut declared = document(2);
    declared["services"] = services(endless.addr);
    cluster.put_document(&[0], &declared);
    fleet.name_version(1);
    endless.assert_closed_early("the first call");
    let before = peak_memory(cluster, 0);
    let bystander = Bystander::start(cluster.front_addr(0));
    for form in FORMS.into_iter().chain([BODY]) {
        endless.set_form(form);
        cluster.register(0, "i-sound", "once", sound.addr);
        endless.assert_closed_early(form.name);
    }
    bystander.assert_served();
    let growth = peak_memory(cluster, 0).saturating_sub(before);
    assert!(growth <= MAX_GROWTH, "the entry has grown by {growth} KiB");
}
