//! The thread that writes the frames of a link.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

use bytes::BytesMut;

use crate::error::WireError;
use crate::frame::Sealer;
use crate::link::BUFFER;
use crate::link::HEARTBEAT;
use crate::link::Shared;
use crate::link::end::End;
use crate::messages::Empty;
use crate::messages::Frame;
use crate::messages::Item;

/// Writes the frames of a link, and heartbeats while there are none.
pub struct Writer {
    pub shared: Arc<Shared>,
    pub socket: TcpStream,
    pub sealer: Sealer,
}

impl Writer {
    /// Writes queued frames until the queue is closed or a write fails.
    pub fn run(mut self) {
        while let Some(mut frames) = self.shared.outbox.take(BUFFER, HEARTBEAT) {
            let taken = frames.len();
            if frames.is_empty() {
                frames.push(ping());
            }
            if let Err(error) = self.write(&frames) {
                self.shared.stop_sending(&End::Write(error));
                return;
            }
            self.shared.outbox.note_written(taken);
        }
        self.shared.end_writing();
    }

    /// Writes `frames`. After an error it is unknown which of them were written.
    fn write(&mut self, frames: &[Frame]) -> Result<(), WireError> {
        let mut out = BytesMut::new();
        for frame in frames {
            self.sealer.seal(frame, &mut out)?;
        }
        self.socket.write_all(&out)?;
        Ok(())
    }
}

fn ping() -> Frame {
    Frame {
        item: Some(Item::Ping(Empty {})),
        ..Frame::default()
    }
}
