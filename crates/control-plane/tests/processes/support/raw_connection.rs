//! A blocking connection to a source or relay on which tests send arbitrary messages and bytes.

use super::TIMEOUT;
use control_plane::codec::{FrameReader, FrameWriter};
use control_plane::message::Message;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Size of the socket's receive buffer.
const RECEIVE_BUFFER_BYTES: u32 = 128 << 10;

/// A connection without a session: neither a hello nor heartbeats are sent by themselves.
pub struct RawConnection {
    runtime: tokio::runtime::Runtime,
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl RawConnection {
    /// Connects to this address.
    pub fn new(address: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let stream = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer");
            socket.connect(address).await.expect("a connection")
        });
        let (reader, writer) = stream.into_split();
        Self { runtime, reader: FrameReader::new(reader), writer }
    }

    pub fn send_message(&mut self, message: &Message) {
        self.runtime.block_on(FrameWriter::new(&mut self.writer).write(message)).expect("sent");
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.runtime.block_on(self.writer.write_all(bytes)).expect("sent");
    }

    /// Shuts down the sending side.
    pub fn shutdown(&mut self) {
        self.runtime.block_on(self.writer.shutdown()).expect("shut down");
    }

    /// Waits for the next message. `None` means that the peer has closed the connection.
    pub fn receive(&mut self) -> Option<Message> {
        let Self { runtime, reader, .. } = self;
        let received = runtime.block_on(async { tokio::time::timeout(TIMEOUT, reader.read()).await });
        received.expect("a message or the end in time").expect("a message")
    }

    /// Waits for all messages up to the end of the connection.
    pub fn receive_all(&mut self) -> Vec<Message> {
        std::iter::from_fn(|| self.receive()).collect()
    }
}
