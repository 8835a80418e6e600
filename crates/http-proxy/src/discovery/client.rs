//! The HTTP client for discovery: one connection, one call at a time.

use super::DiscoveryError;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket_io::{Stream, retry};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// The maximum size of a list in bytes, enough for about 25,000 backends.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// The maximum pause between two chunks of a list.
const LIST_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(750);
/// The maximum time in which a list is received, from the end of the response's head on. A change has to be
/// known within 6 s, and a list that arrives slowly may contain changes.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// The delay before a retry of a connect that failed for lack of local resources.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An open connection to discovery, closed on drop.
struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls discovery over a connection that is reused as long as calls succeed.
#[derive(Default)]
pub(super) struct DiscoveryClient {
    connection: Option<DiscoveryConnection>,
}

impl DiscoveryClient {
    /// Closes the connection.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Requests the list at `target` (path and query). The head of the response has to arrive within
    /// `head_timeout`.
    pub(super) async fn get(
        &mut self,
        address: SocketAddr,
        target: &str,
        head_timeout: Duration,
    ) -> Result<Bytes, DiscoveryError> {
        let requested = timeout(head_timeout, self.request(address, target)).await;
        let (response, connection) = requested.map_err(|_| DiscoveryError::Timeout)??;
        let list = read_list(response.into_body()).await?;
        self.connection = Some(connection);
        Ok(list)
    }

    /// Sends a request and waits for the head of its response.
    async fn request(
        &mut self,
        address: SocketAddr,
        target: &str,
    ) -> Result<(Response<Incoming>, DiscoveryConnection), DiscoveryError> {
        let mut idle = self.connection.take();
        if let Some(connection) = &mut idle
            && connection.sender.ready().await.is_err()
        {
            idle = None;
        }
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(address).await.ok_or(DiscoveryError::Unreachable)?,
        };
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let sent = connection.sender.send_request(request).await;
        let response = sent.map_err(|_| DiscoveryError::ConnectionLost)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        Ok((response, connection))
    }
}

/// Reads a list within the size limit and the two timeouts for lists.
async fn read_list(body: Incoming) -> Result<Bytes, DiscoveryError> {
    let size = body.size_hint().exact();
    if size.is_some_and(|bytes| bytes > MAX_LIST_BYTES as u64) {
        return Err(DiscoveryError::Oversized(size));
    }
    let end = Instant::now() + LIST_TIMEOUT;
    let (mut body, mut list) = (Limited::new(body, MAX_LIST_BYTES), BytesMut::new());
    loop {
        let frame = timeout_at(end.min(Instant::now() + LIST_INACTIVITY_TIMEOUT), body.frame()).await;
        match frame.map_err(|_| DiscoveryError::Timeout)? {
            None => return Ok(list.freeze()),
            Some(Ok(frame)) => list.extend(frame.into_data()),
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(DiscoveryError::Oversized(None));
            }
            Some(Err(_)) => return Err(DiscoveryError::ConnectionLost),
        }
    }
}

async fn connect(address: SocketAddr) -> Option<DiscoveryConnection> {
    let stream = connect_stream(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(Stream::from(stream))).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(DiscoveryConnection { sender, task })
}

/// Connects, and retries while this machine lacks resources: such a failure does not show that discovery is
/// unavailable.
async fn connect_stream(address: SocketAddr) -> io::Result<TcpStream> {
    retry::retry(None, CONNECT_RETRY_DELAY, retry::is_transient_local_error, async || {
        TcpStream::connect(address).await
    })
    .await
}
