//! Transfers over [`Stream`] that are larger than one system call moves.

use socket_io::Stream;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes; more than the send and receive buffers of a socket pair hold.
const LENGTH: usize = 16 << 20;

#[tokio::test]
async fn transfers_more_than_the_socket_buffers_hold() -> io::Result<()> {
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
