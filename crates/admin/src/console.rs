//! The console: one line to a connection, one line back.
//!
//! Callers that say nothing, or never finish, hold a bounded number of descriptors for a bounded time, and the one that has
//! been at it longest gives way to the next: nobody keeps anybody out.

use crate::command::{ConsoleCommand, ConsoleResponse, LINE_CAP};
use socket_io::Stream;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Callers at a time.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take for its line, and for taking its answer.
const CALLER_TIME: Duration = Duration::from_secs(10);
/// How long and how much a connection is read on behind its answer: what comes late must not reset the answer away.
const LINGER: Duration = Duration::from_millis(100);
const LINGER_BYTES: usize = 64 * 1024;
/// A pause where no connection can be accepted, out of descriptors, say.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Those that are connected, the longest first, each with what ends it.
type Callers = Rc<RefCell<VecDeque<(u64, AbortHandle)>>>;

/// Answers callers for as long as the process runs. Runs within a `LocalSet`.
pub async fn serve<F: Future<Output = ConsoleResponse> + 'static>(
    listener: TcpListener,
    answer: impl Fn(ConsoleCommand) -> F + Clone + 'static,
) {
    let callers = Callers::default();
    let mut number = 0_u64;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if callers.borrow().len() >= MAX_CONNECTIONS
            && let Some((_, oldest)) = callers.borrow_mut().pop_front()
        {
            oldest.abort();
        }
        number += 1;
        let (own, all, answer) = (number, Rc::clone(&callers), answer.clone());
        let task = tokio::task::spawn_local(async move {
            let _ = timeout(2 * CALLER_TIME, attend(stream, answer)).await;
            all.borrow_mut().retain(|(number, _)| *number != own);
        });
        callers.borrow_mut().push_back((number, task.abort_handle()));
    }
}

async fn attend<F: Future<Output = ConsoleResponse>>(
    stream: TcpStream,
    answer: impl Fn(ConsoleCommand) -> F,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = Stream::from(stream);
    let mut line = Vec::with_capacity(64);
    let answer = match timeout(CALLER_TIME, read_line(&mut stream, &mut line)).await {
        Err(_) => ConsoleResponse::Failure(format!("no whole line within {} s", CALLER_TIME.as_secs())),
        // Whoever has gone hears nothing.
        Ok(Err(_)) => return,
        Ok(Ok(())) => match ConsoleCommand::parse(&line) {
            Ok(call) => answer(call).await,
            Err(error) => error.into(),
        },
    };
    if stream.write_all(format!("{answer}\n").as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    let _ = timeout(LINGER, async {
        let (mut rest, mut read) = ([0; 1_024], 0);
        while read < LINGER_BYTES {
            match stream.read(&mut rest).await {
                Ok(0) | Err(_) => return,
                Ok(n) => read += n,
            }
        }
    })
    .await;
}

/// Reads up to the line's end, the end of the stream, or just beyond the bound, whichever comes first.
async fn read_line(stream: &mut Stream, line: &mut Vec<u8>) -> std::io::Result<()> {
    while line.len() <= LINE_CAP {
        let mut piece = [0; LINE_CAP + 1];
        let read = stream.read(&mut piece).await?;
        let end = piece[..read].iter().position(|&byte| byte == b'\n');
        line.extend_from_slice(&piece[..end.map_or(read, |end| end + 1)]);
        if read == 0 || end.is_some() {
            break;
        }
    }
    Ok(())
}
