//! Both ways in which a connection at rest, or one with an answer on its way, is closed.

use super::*;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Both ends of a connection.
async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.expect("it connects"), accepted.expect("it is accepted").0)
}

/// A request that crosses the close of a connection at rest is not read: the client sees that from the reset. Behind an
/// answer it is read, so that no reset destroys that answer.
#[tokio::test]
async fn what_crosses_a_close_at_rest_is_not_read_and_behind_an_answer_it_is() {
    for at_rest in [true, false] {
        let (mut client, server) = pair().await;
        client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("it crosses");
        server.readable().await.expect("it has come");
        let ends = async { if at_rest { part(server).await } else { linger(server).await } };
        let reads = async {
            assert_eq!(client.read(&mut [0; 8]).await.expect("an end"), 0);
            let _ = client.shutdown().await;
        };
        tokio::join!(ends, reads);
        let reset = SockRef::from(&client).take_error().expect("a socket").is_some();
        assert_eq!(reset, at_rest);
    }
}
