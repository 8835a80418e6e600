//! Tests of transfers over [`Stream`] that need more than one system call.

use socket_io::Stream;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Length of the payload in bytes; exceeds the send and receive buffers of a socket pair together.
const LENGTH: usize = 16 << 20;

#[tokio::test]
async fn transfers_payload_larger_than_the_socket_buffers() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut client = Stream::from(TcpStream::connect(listener.local_addr()?).await?);
    let mut server = Stream::from(listener.accept().await?.0);
    let payload: Vec<u8> = (0..LENGTH).map(|index| (index % 251) as u8).collect();
    let mut received = Vec::new();
    let send = async {
        client.write_all(&payload).await?;
        client.shutdown().await
    };
    tokio::try_join!(send, server.read_to_end(&mut received))?;
    assert!(received == payload, "{} of {LENGTH} bytes arrived", received.len());
    Ok(())
}
