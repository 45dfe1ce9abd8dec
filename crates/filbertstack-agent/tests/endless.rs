//! Tests engines that send without end what comes to nothing: the agent closes the connection soon and keeps none of it.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;

use filbertstack_agent::target::AnswerReader;
use filbertstack_agent::target::Target;
use filbertstack_wire::messages::Dispatch;

/// The most bytes that an engine gets rid of before its connection closes. The buffers of both systems hold up to 10 MiB,
/// whatever the agent reads; a report has 10 MiB at most.
const MAX_SENT: usize = 32 << 20;

/// An engine ends by itself after so many bytes.
const CAP: usize = 256 << 20;

/// What an engine sends once, and then without end.
const FORMS: [(&str, &str); 11] = [
    ("", "garbage "),
    ("", "\r\n"),
    ("HTTP/1.1 200 O", "O"),
    ("HTTP/1.1 200 OK\r\nA: ", "x"),
    ("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "5;x=yyyyyyyyyyyyyy",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "A: b\r\n",
    ),
    ("HTTP/1.1 500 No\r\n\r\n", "x"),
];

/// Starts an engine that answers one request without end. Its thread returns the number of bytes that the system took.
fn start((first, then): (&'static str, &'static str)) -> (String, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let engine = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        if stream.write_all(first.as_bytes()).is_err() {
            return 0;
        }
        send_without_end(&mut stream, then)
    });
    (url, engine)
}

fn send_without_end(stream: &mut TcpStream, text: &str) -> usize {
    let bytes = text.repeat((64 << 10) / text.len() + 1);
    let mut sent = 0;
    while sent < CAP {
        match stream.write(bytes.as_bytes()) {
            Ok(n) => sent += n,
            Err(_) => break,
        }
    }
    sent
}

/// Guards against an engine that fills the memory of its agent, or keeps its processor, with the answer to a call.
#[test]
fn a_report_without_end_is_given_up() {
    for form in FORMS {
        let (url, engine) = start(form);
        let report = Target::new(&url).report();
        assert!(report.is_err(), "{form:?}: {report:?}");
        let sent = engine.join().unwrap();
        assert!(sent <= MAX_SENT, "{form:?}: {sent} bytes were read");
    }
}

/// Guards against the same with the answer to a caller's request that is passed on.
#[test]
fn an_answer_without_end_is_given_up() {
    for form in FORMS
        .into_iter()
        .filter(|(first, _)| !first.contains("500"))
    {
        let (url, engine) = start(form);
        let request = Dispatch {
            method: "POST".into(),
            path: "/".into(),
            timeout: 3_000,
            ..Dispatch::default()
        };
        let answer = Target::new(&url).dispatch(&request);
        let read = answer.map(|answer| AnswerReader::new(answer).read(&mut [0; 4096]));
        drop(read);
        let sent = engine.join().unwrap();
        assert!(sent <= MAX_SENT, "{form:?}: {sent} bytes were read");
    }
}
