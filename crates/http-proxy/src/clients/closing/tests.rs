use super::*;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Both ends of a TCP connection.
async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.expect("connected"), accepted.expect("accepted").0)
}

/// A request that arrives during the close of an idle connection remains unread, which the client detects
/// from the reset. During the close after a response it is read, so that no reset destroys the response.
#[tokio::test]
async fn only_the_close_of_an_idle_connection_leaves_a_late_request_unread() {
    for is_idle in [true, false] {
        let (mut client, server) = connected_pair().await;
        client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("sent");
        server.readable().await.expect("arrived");
        let closes =
            async { if is_idle { close_idle(server).await } else { close_with_linger(server).await } };
        let reads = async {
            assert_eq!(client.read(&mut [0; 8]).await.expect("an end"), 0);
            let _ = client.shutdown().await;
        };
        tokio::join!(closes, reads);
        let reset = SockRef::from(&client).take_error().expect("a socket").is_some();
        assert_eq!(reset, is_idle);
    }
}
