//! Tests the TCP proxy in front of the HTTP server library.

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

/// The number of connections opened at the same time, which exceeds the library's idle threads.
const CONNECTIONS: usize = 12;

const ROUNDS: usize = 40;

struct PongHandler;

impl Handler for PongHandler {
    fn handle(&self, call: Call) {
        call.reply(Reply::text(200, "pong"));
    }
}

/// Sends a request on a new connection, reads its answer and keeps the connection open.
fn connect_and_get(addr: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).unwrap();
    // The timeout only ends a test that would hang.
    let timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(timeout).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    let mut block = [0; 512];
    while !answer.ends_with(b"pong") {
        let read = stream.read(&mut block).ok()?;
        answer.extend_from_slice(&block[..read]);
    }
    Some(stream)
}

// Twelve callers connect at once and keep their connections open. The library's thread pool updates its
// count of idle threads late, so that it may queue a connection for a thread that already has another.
// Such a connection waits without an answer until some other connection ends.
#[test]
fn connections_opened_at_once_are_all_served() {
    for round in 0..ROUNDS {
        let server = HttpServer::start(ANY_ADDR, Arc::new(PongHandler)).unwrap();
        let addr = server.addr();
        let callers = (0..CONNECTIONS).map(|_| thread::spawn(move || connect_and_get(addr)));
        let callers: Vec<_> = callers.collect();
        let connections: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
        let answered = connections.iter().flatten().count();
        assert_eq!(answered, CONNECTIONS, "round {round}");
    }
}
