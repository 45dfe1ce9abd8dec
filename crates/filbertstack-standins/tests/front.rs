//! The byte pipe before the HTTP library.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use filbertstack_standins::http::ANY_ADDR;
use filbertstack_standins::http::Call;
use filbertstack_standins::http::Handler;
use filbertstack_standins::http::HttpServer;
use filbertstack_standins::http::Reply;

/// Connections that are opened at the same time: more than the library's idle threads.
const CONNECTIONS: usize = 12;

const ROUNDS: usize = 40;

struct Pong;

impl Handler for Pong {
    fn handle(&self, call: Call) {
        call.reply(Reply::text(200, "pong"));
    }
}

/// Sends a request on a new connection, reads its answer and keeps the connection open.
fn ask(addr: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).unwrap();
    // Only ends a test that would hang.
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    let mut piece = [0; 512];
    while !answer.ends_with(b"pong") {
        let read = stream.read(&mut piece).ok()?;
        answer.extend_from_slice(&piece[..read]);
    }
    Some(stream)
}

// Twelve callers connect at once and keep their connections. The library hands connections to a
// pool whose count of idle threads lags: a connection may be queued for a thread that has already
// been given another, and then waits until some other connection ends. Its caller hears nothing.
#[test]
fn connections_opened_at_once_are_all_served() {
    for round in 0..ROUNDS {
        let server = HttpServer::start(ANY_ADDR, Arc::new(Pong)).unwrap();
        let addr = server.addr();
        let callers = (0..CONNECTIONS).map(|_| thread::spawn(move || ask(addr)));
        let callers: Vec<_> = callers.collect();
        let kept: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
        let answered = kept.iter().flatten().count();
        assert_eq!(answered, CONNECTIONS, "round {round}");
    }
}
