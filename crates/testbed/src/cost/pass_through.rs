//! The minimal pass-through proxy, the baseline of the cost measurement.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Idle connections of the pass-through, by backend.
type IdleConnections = Rc<RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>>;

/// Runs the minimal pass-through: buffers a request, forwards it to the next backend in round-robin order
/// over a persistent connection, and returns the response. It has no limits and no counters.
///
/// # Errors
/// If the listener can't be opened or fails.
pub fn pass_through(backends: &[SocketAddr]) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listens on {}", listener.local_addr()?);
        let backends: Rc<[SocketAddr]> = backends.into();
        let idle: IdleConnections = Rc::new(RefCell::new(backends.iter().map(|_| Vec::new()).collect()));
        let next_backend = Rc::new(Cell::new(0));
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (backends, idle, next_backend) =
                (Rc::clone(&backends), Rc::clone(&idle), Rc::clone(&next_backend));
            let service = service_fn(move |request| {
                let (backends, idle) = (Rc::clone(&backends), Rc::clone(&idle));
                next_backend.set((next_backend.get() + 1) % backends.len());
                let to = next_backend.get();
                async move { Ok::<_, Infallible>(forward_or_502(request, backends[to], &idle, to).await) }
            });
            tokio::task::spawn_local(async move {
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

/// Why the pass-through could not forward a request.
#[derive(Debug, Error)]
enum PassThroughError {
    /// The connection to the backend failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The exchange with the client or the backend failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Forwards a request; a failure becomes status 502.
async fn forward_or_502(
    request: Request<Incoming>,
    to: SocketAddr,
    idle: &IdleConnections,
    index: usize,
) -> Response<Full<Bytes>> {
    forward(request, to, idle, index).await.unwrap_or_else(|_| {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    })
}

async fn forward(
    request: Request<Incoming>,
    to: SocketAddr,
    idle: &IdleConnections,
    index: usize,
) -> Result<Response<Full<Bytes>>, PassThroughError> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let idle_connection = idle.borrow_mut()[index].pop().filter(SendRequest::is_ready);
    let mut sender = if let Some(sender) = idle_connection {
        sender
    } else {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(connection);
        sender
    };
    let response = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    sender.ready().await?;
    idle.borrow_mut()[index].push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
