//! The console server. Each connection carries one command line and one response line.
//!
//! The number of connections and their duration are limited, and thereby the descriptors that idle clients
//! can use up. At the limit the oldest connection is closed in favour of a new one, so that idle clients
//! cannot lock operators out.

use crate::command::{ConsoleCommand, ConsoleResponse, MAX_LINE_BYTES};
use socket_io::Stream;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// The maximum number of open connections.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a client may take to send its command line. A connection is closed after twice this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// How long input is discarded after the response. Closing a connection with unread input would make the
/// kernel reset it, and the client could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of bytes that are discarded after the response.
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// The delay after a failed accept, for example because of descriptor exhaustion.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

struct OpenConnection {
    id: u64,
    task: AbortHandle,
}

/// The open connections, oldest first.
type OpenConnections = Rc<RefCell<VecDeque<OpenConnection>>>;

/// Accepts connections and responds to the command of each with the result of `execute`; never returns.
/// Commands of different connections are executed concurrently. Has to run within a `LocalSet`.
pub async fn serve<F: Future<Output = ConsoleResponse> + 'static>(
    listener: TcpListener,
    execute: impl Fn(ConsoleCommand) -> F + Clone + 'static,
) {
    let connections = OpenConnections::default();
    let mut last_id = 0_u64;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        close_oldest_at_bound(&connections);
        last_id += 1;
        let id = last_id;
        let (open, execute) = (Rc::clone(&connections), execute.clone());
        let task = tokio::task::spawn_local(async move {
            let _ = timeout(2 * REQUEST_TIMEOUT, serve_connection(stream, execute)).await;
            open.borrow_mut().retain(|connection| connection.id != id);
        });
        connections.borrow_mut().push_back(OpenConnection { id, task: task.abort_handle() });
    }
}

fn close_oldest_at_bound(connections: &OpenConnections) {
    let mut connections = connections.borrow_mut();
    if connections.len() >= MAX_CONNECTIONS
        && let Some(oldest) = connections.pop_front()
    {
        oldest.task.abort();
    }
}

async fn serve_connection<F: Future<Output = ConsoleResponse>>(
    stream: TcpStream,
    execute: impl Fn(ConsoleCommand) -> F,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = Stream::from(stream);
    let mut line = Vec::with_capacity(64);
    let response = match timeout(REQUEST_TIMEOUT, read_line(&mut stream, &mut line)).await {
        Err(_) => ConsoleResponse::Failure(format!("no whole line within {} s", REQUEST_TIMEOUT.as_secs())),
        Ok(Err(_)) => return,
        Ok(Ok(())) => match ConsoleCommand::parse(&line) {
            Ok(command) => execute(command).await,
            Err(error) => error.into(),
        },
    };
    if send_response(&mut stream, &response).await.is_ok() {
        let _ = timeout(LINGER_TIMEOUT, discard_input(&mut stream)).await;
    }
}

async fn send_response(stream: &mut Stream, response: &ConsoleResponse) -> io::Result<()> {
    stream.write_all(format!("{response}\n").as_bytes()).await?;
    stream.shutdown().await
}

async fn discard_input(stream: &mut Stream) {
    let (mut buffer, mut total) = ([0; 1_024], 0);
    while total < MAX_LINGER_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(n) => total += n,
        }
    }
}

/// Reads up to the line end, the end of the stream, or one byte beyond [`MAX_LINE_BYTES`], whichever comes
/// first.
async fn read_line(stream: &mut Stream, line: &mut Vec<u8>) -> io::Result<()> {
    while line.len() <= MAX_LINE_BYTES {
        let mut buffer = [0; MAX_LINE_BYTES + 1];
        let read = stream.read(&mut buffer).await?;
        let line_end = buffer[..read].iter().position(|&byte| byte == b'\n');
        line.extend_from_slice(&buffer[..line_end.map_or(read, |end| end + 1)]);
        if read == 0 || line_end.is_some() {
            break;
        }
    }
    Ok(())
}
