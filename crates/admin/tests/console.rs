//! The console on loopback sockets.

use admin::command::{ConsoleCommand, ConsoleResponse, LINE_CAP};
use admin::console::{self, MAX_CONNECTIONS};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Runs a test beside a console that repeats what it understood.
async fn beside<F: Future>(test: impl FnOnce(SocketAddr) -> F) -> F::Output {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let local = LocalSet::new();
    local.spawn_local(console::serve(listener, |call: ConsoleCommand| async move {
        match call {
            ConsoleCommand::Ready => ConsoleResponse::Success("serving".into()),
            ConsoleCommand::Exclude(id) => ConsoleResponse::Success(format!("{id} is out")),
            ConsoleCommand::Include(id) => ConsoleResponse::Failure(format!("{id}\nis none")),
        }
    }));
    local.run_until(test(address)).await
}

async fn call(address: SocketAddr, pieces: &[&[u8]], end: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the console accepts");
    stream.set_nodelay(true).expect("no delay");
    for piece in pieces {
        stream.write_all(piece).await.expect("the console reads");
        tokio::task::yield_now().await;
    }
    if end {
        stream.shutdown().await.expect("an end");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("one answer, and no reset");
    answer
}

#[tokio::test]
async fn one_line_gives_one_line() {
    beside(|address| async move {
        assert_eq!(call(address, &[b"readyz\n"], false).await, "SUCCESS serving\n");
        assert_eq!(call(address, &[b"exclude s-1\r\n"], false).await, "SUCCESS s-1 is out\n");
        assert_eq!(call(address, &[b"inc", b"lude ", b"s-1", b"\n"], false).await, "FAILURE s-1 is none\n");
        assert_eq!(call(address, &[b"readyz"], true).await, "SUCCESS serving\n", "an end with no newline");
        assert_eq!(
            call(address, &[b"readyz\nexclude a\n"], false).await,
            "SUCCESS serving\n",
            "one call only"
        );
    })
    .await;
}

#[tokio::test]
async fn what_is_no_call_gets_one_failure() {
    beside(|address| async move {
        for line in [&b"\n"[..], b"up?\n", b"exclude\n", b"exclude a b\n", b"exclude \xff\n", b"\0\n"] {
            let answer = call(address, &[line], false).await;
            assert!(answer.starts_with("FAILURE ") && answer.ends_with('\n'), "{line:?}: {answer:?}");
        }
        let endless = vec![b'x'; 8 * LINE_CAP];
        let answer = call(address, &[&endless], false).await;
        assert!(answer.starts_with("FAILURE the line is longer"), "{answer:?}");
    })
    .await;
}

#[tokio::test]
async fn callers_that_never_finish_keep_nobody_out() {
    beside(|address| async move {
        let mut idle = Vec::new();
        for n in 0..3 * MAX_CONNECTIONS {
            let mut stream = TcpStream::connect(address).await.expect("the console accepts");
            if n % 2 == 0 {
                stream.write_all(b"exclu").await.expect("the console reads");
            }
            idle.push(stream);
            if n % MAX_CONNECTIONS == 0 {
                assert_eq!(call(address, &[b"readyz\n"], false).await, "SUCCESS serving\n");
            }
        }
        assert_eq!(call(address, &[b"readyz\n"], false).await, "SUCCESS serving\n");
        // The first ones had to go, the last ones may still finish.
        assert!(matches!(idle[0].read(&mut [0; 8]).await, Ok(0) | Err(_)));
        let last = idle.last_mut().expect("callers");
        last.write_all(b"readyz\n").await.expect("the console reads");
        let mut answer = String::new();
        last.read_to_string(&mut answer).await.expect("an answer");
        assert_eq!(answer, "SUCCESS serving\n");
    })
    .await;
}
