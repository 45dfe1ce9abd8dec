//! Connections of callers while the process leaves.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_gateway::entry::server;
use filbertstack_gateway::entry::server::ActiveConnections;
use filbertstack_gateway::entry::server::Service;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::MapErr;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// More than the buffers of a connection hold.
const LONG: usize = 16 << 20;

const LOOK: Duration = Duration::from_millis(5);

/// Answers by one long body, which it hands over whole.
struct Long;

impl Service for Long {
    type Body = MapErr<Full<Bytes>, fn(std::convert::Infallible) -> io::Error>;

    async fn answer(self: Rc<Self>, _: Request<Incoming>) -> Response<Self::Body> {
        let never: fn(std::convert::Infallible) -> io::Error = |never| match never {};
        Response::new(Full::from(vec![b'x'; LONG]).map_err(never))
    }

    fn head_limit(&self) -> usize {
        16 << 10
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_secs(60)
    }
}

/// Reads an answer to its end, once told to.
fn read_late(mut caller: TcpStream, told: oneshot::Receiver<()>) -> thread::JoinHandle<usize> {
    thread::spawn(move || {
        told.blocking_recv().expect("the test goes on");
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).expect("the whole answer");
        answer.len()
    })
}

// A caller that reads slowly gets its whole answer from an entry that is stopped.
// The answer's body has been handed over whole, so that no request is in progress any more; most of it
// still waits in the entry for the caller to take it. Ended then, the entry cuts it off.
#[test]
fn an_answer_that_the_caller_has_yet_to_take_is_counted() {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = server::bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let addr = listener.local_addr().expect("bound");
        let (leave, leaving) = watch::channel(false);
        let active = ActiveConnections::default();
        spawn_local(server::serve(
            listener,
            Rc::new(Long),
            leaving,
            active.clone(),
        ));
        let mut caller = TcpStream::connect(addr).expect("connects");
        let idle = TcpStream::connect(addr).expect("connects");
        let asked = caller.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n");
        asked.expect("sent");
        while active.count() == 0 {
            sleep(LOOK).await;
        }
        leave.send_replace(true);
        sleep(LOOK).await;
        assert_eq!(active.count(), 1, "the caller has taken nothing yet");
        let (read, told) = oneshot::channel();
        let reading = read_late(caller, told);
        read.send(()).expect("it waits");
        while active.count() > 0 {
            sleep(LOOK).await;
        }
        assert!(reading.join().expect("reads") > LONG);
        drop(idle);
    });
}
