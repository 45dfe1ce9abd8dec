//! A loopback proxy that injects faults into its connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// A fault of all connections of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    None,
    /// Each block of bytes is delayed by this time, in both directions.
    Delay(Duration),
    /// Connections are closed, new ones at once after they are accepted.
    Reset,
    /// Bytes to the server are dropped.
    DropToServer,
    /// Bytes from the server are dropped.
    DropFromServer,
    /// Bytes of both directions are dropped.
    DropAll,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub addr: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    ToServer,
    FromServer,
}

impl Proxy {
    /// Starts a proxy for `server`.
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            addr: listener.local_addr().expect("bound"),
            fault: Arc::new(Mutex::new(LinkFault::None)),
        };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = acceptor.clone();
                thread::spawn(move || proxy.forward(stream, server));
            }
        });
        proxy
    }

    /// Sets the fault of all connections from now on.
    pub fn set(&self, fault: LinkFault) {
        *self.fault.lock().expect("not poisoned") = fault;
    }

    /// Returns whether connections are closed now.
    pub fn is_reset(&self) -> bool {
        self.fault() == LinkFault::Reset
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().expect("not poisoned")
    }

    fn forward(&self, caller: TcpStream, server: SocketAddr) {
        if self.fault() == LinkFault::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(server) else {
            return;
        };
        let (Ok(from), Ok(to)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        thread::spawn(move || proxy.copy(server, caller, Direction::FromServer));
        self.copy(from, to, Direction::ToServer);
    }

    /// Copies one direction until either end closes. A connection that lost bytes can't be used any
    /// more: it stays silent during the fault and is closed afterwards.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        // A short timeout applies a reset also while no bytes arrive.
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let mut bytes = [0; 16 << 10];
        let mut bytes_lost = false;
        loop {
            let read = match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(read) => read,
                Err(e) if is_timeout(&e) => 0,
                Err(_) => break,
            };
            let fault = self.fault();
            let dropped = match fault {
                LinkFault::Reset => break,
                LinkFault::DropAll => true,
                LinkFault::DropToServer => direction == Direction::ToServer,
                LinkFault::DropFromServer => direction == Direction::FromServer,
                LinkFault::None | LinkFault::Delay(_) => false,
            };
            if dropped {
                bytes_lost |= read > 0;
                continue;
            }
            if bytes_lost {
                break;
            }
            if let LinkFault::Delay(span) = fault {
                thread::sleep(span);
            }
            if to.write_all(&bytes[..read]).is_err() {
                break;
            }
        }
        // Either socket may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
