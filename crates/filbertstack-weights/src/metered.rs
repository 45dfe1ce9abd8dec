//! Bounds the bytes that an engine or a server of weights sends and that come to nothing.
//!
//! The HTTP library keeps none of the trailers of an answer, but reads them as fast as they come, until the time limit of the
//! call, and for ever where only single reads have one. Its calls read on the thread that makes them, so that each thread
//! counts what it has received since the last content.

use std::cell::Cell;
use std::io;

use ureq::Agent;
use ureq::Error;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

/// How many bytes may come without content: some heads, and what is read ahead of the content.
const MAX_EMPTY_BYTES: usize = 1 << 20;

thread_local! {
    static EMPTY: Cell<usize> = const { Cell::new(0) };
}

/// Begins to count anew: a call begins, or content has come.
pub fn restart() {
    EMPTY.set(0);
}

fn note_received(bytes: usize) -> Result<(), Error> {
    let empty = EMPTY.get() + bytes;
    EMPTY.set(empty);
    if empty <= MAX_EMPTY_BYTES {
        return Ok(());
    }
    let why = format!("over {MAX_EMPTY_BYTES} bytes came without content");
    Err(Error::Io(io::Error::new(io::ErrorKind::InvalidData, why)))
}

/// Creates a client whose connections end when too many bytes come without content. Its user calls [`restart`] before each
/// call and each read of a body.
pub fn agent(config: Config) -> Agent {
    let connector = DefaultConnector::default().chain(MeteredConnector);
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Makes connections whose received bytes are counted.
#[derive(Debug)]
struct MeteredConnector;

impl<In: Transport> Connector<In> for MeteredConnector {
    type Out = Metered<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(Metered))
    }
}

/// A connection whose received bytes are counted.
#[derive(Debug)]
struct Metered<T>(T);

impl<T: Transport> Transport for Metered<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.0.buffers().input().len();
        let received = self.0.await_input(timeout)?;
        let after = self.0.buffers().input().len();
        note_received(after.saturating_sub(before))?;
        Ok(received)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}
