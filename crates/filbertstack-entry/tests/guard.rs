//! The guard before the HTTP library, with a library that follows a script.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_entry::guard::Guard;
use filbertstack_entry::guard::HELLO_ANSWER;

const PATIENCE: Duration = Duration::from_secs(20);

/// More than the buffers of a caller's connection hold, but not more than those of two in a row and
/// the guard's own.
const LONG: usize = 4 << 20;

/// A library that answers one request by `body` and the end of the connection, and tells when it has
/// written all of it.
fn library(body: Vec<u8>, written: Sender<()>) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut inner, _) = socket.accept().expect("the guard connects");
        read_head(&mut inner);
        inner.write_all(HELLO_ANSWER).expect("the guard reads");
        read_head(&mut inner);
        inner.write_all(&body).expect("the guard reads");
        drop(inner);
        written.send(()).expect("the test waits");
    });
    addr
}

fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
}

// A caller that reads slowly gets its whole answer from an entry that is stopped.
// The library has written the last byte, so that no request is in progress any more; a part of the
// answer still waits in the guard. A process that ended now would cut it off.
#[test]
fn an_answer_that_the_caller_has_yet_to_take_holds_up_the_end() {
    let (written, all_written) = channel();
    let inner = library(vec![b'x'; LONG], written);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let guard = Guard::start(socket, inner, 1 << 20, 10).expect("starts");
    assert!(guard.await_answers(Instant::now()), "nothing was asked yet");
    let mut caller = TcpStream::connect(guard.addr()).expect("connects");
    let asked = caller.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n");
    asked.expect("the guard reads");
    // As soon as the caller reads a first byte, the request is counted.
    caller.read_exact(&mut [0]).expect("the answer begins");
    assert!(!guard.await_answers(Instant::now()), "it is not passed on");
    let reading = thread::spawn(move || {
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).expect("the whole answer");
        answer.len()
    });
    assert_eq!(reading.join().expect("reads"), LONG - 1);
    all_written.recv_timeout(PATIENCE).expect("written");
    assert!(
        guard.await_answers(Instant::now() + PATIENCE),
        "all is passed on"
    );
}
