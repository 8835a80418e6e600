//! Tests of the console server over loopback sockets.

use admin::command::{ConsoleCommand, ConsoleResponse, MAX_LINE_BYTES};
use admin::console::{self, MAX_CONNECTIONS};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Runs a test against a console server whose responses depend on the parsed command only.
async fn with_console<F: Future>(test: impl FnOnce(SocketAddr) -> F) -> F::Output {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let local = LocalSet::new();
    local.spawn_local(console::serve(listener, |command: ConsoleCommand| async move {
        match command {
            ConsoleCommand::Ready => ConsoleResponse::Success("serving".into()),
            ConsoleCommand::Exclude(id) => ConsoleResponse::Success(format!("{id} is out")),
            ConsoleCommand::Include(id) => ConsoleResponse::Failure(format!("{id}\nis none")),
        }
    }));
    local.run_until(test(address)).await
}

async fn send(address: SocketAddr, pieces: &[&[u8]], shutdown: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    for piece in pieces {
        stream.write_all(piece).await.expect("sent");
        tokio::task::yield_now().await;
    }
    if shutdown {
        stream.shutdown().await.expect("shut down");
    }
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("a response without a connection reset");
    response
}

#[tokio::test]
async fn answers_one_command_per_connection_with_one_line() {
    with_console(|address| async move {
        assert_eq!(send(address, &[b"readyz\n"], false).await, "SUCCESS serving\n");
        assert_eq!(send(address, &[b"exclude s-1\r\n"], false).await, "SUCCESS s-1 is out\n");
        assert_eq!(send(address, &[b"inc", b"lude ", b"s-1", b"\n"], false).await, "FAILURE s-1 is none\n");
        assert_eq!(
            send(address, &[b"readyz"], true).await,
            "SUCCESS serving\n",
            "a stream that ends without a newline"
        );
        assert_eq!(
            send(address, &[b"readyz\nexclude a\n"], false).await,
            "SUCCESS serving\n",
            "one command per connection"
        );
    })
    .await;
}

#[tokio::test]
async fn answers_invalid_commands_with_one_failure() {
    with_console(|address| async move {
        for line in [&b"\n"[..], b"up?\n", b"exclude\n", b"exclude a b\n", b"exclude \xff\n", b"\0\n"] {
            let response = send(address, &[line], false).await;
            assert!(response.starts_with("FAILURE ") && response.ends_with('\n'), "{line:?}: {response:?}");
        }
        let endless = vec![b'x'; 8 * MAX_LINE_BYTES];
        let response = send(address, &[&endless], false).await;
        assert!(response.starts_with("FAILURE the line is longer"), "{response:?}");
    })
    .await;
}

#[tokio::test]
async fn idle_connections_do_not_block_new_ones() {
    with_console(|address| async move {
        let mut idle = Vec::new();
        for n in 0..3 * MAX_CONNECTIONS {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            if n % 2 == 0 {
                stream.write_all(b"exclu").await.expect("sent");
            }
            idle.push(stream);
            if n % MAX_CONNECTIONS == 0 {
                assert_eq!(send(address, &[b"readyz\n"], false).await, "SUCCESS serving\n");
            }
        }
        assert_eq!(send(address, &[b"readyz\n"], false).await, "SUCCESS serving\n");
        // The oldest connections have been closed, and the newest one can still send its command.
        assert!(matches!(idle[0].read(&mut [0; 8]).await, Ok(0) | Err(_)));
        let last = idle.last_mut().expect("idle connections");
        last.write_all(b"readyz\n").await.expect("sent");
        let mut response = String::new();
        last.read_to_string(&mut response).await.expect("a response");
        assert_eq!(response, "SUCCESS serving\n");
    })
    .await;
}
