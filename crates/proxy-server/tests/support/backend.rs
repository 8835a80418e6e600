//! Backends with scripted responses.

use super::TEST_TIMEOUT;
use super::http_message::{HttpMessage, read_message, response_bytes};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The action that a backend takes for a request.
pub enum BackendAction {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Waits for a message from the test, at most [`TEST_TIMEOUT`], then executes the action.
    WaitForSignalThen(Receiver<()>, Box<BackendAction>),
    /// Sleeps for this time, then executes the action.
    DelayThen(Duration, Box<BackendAction>),
    /// Never responds, and keeps the connection open.
    Hang,
}

impl BackendAction {
    /// Executes the action. Returns whether the connection stays open.
    fn execute(self, stream: &mut TcpStream) -> bool {
        match self {
            Self::Write(bytes) => stream.write_all(&bytes).is_ok(),
            Self::WriteAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                false
            }
            Self::WaitForSignalThen(release, action) => {
                let _ = release.recv_timeout(TEST_TIMEOUT);
                action.execute(stream)
            }
            Self::DelayThen(delay, action) => {
                thread::sleep(delay);
                action.execute(stream)
            }
            Self::Hang => true,
        }
    }
}

/// A 200 response with this body.
pub fn ok_response(body: &str) -> BackendAction {
    BackendAction::Write(response_bytes("200 OK", "", body.as_bytes()))
}

/// A listener whose accept queue is full, and the connection that fills it. Other connections are established
/// only after the queue has been emptied.
pub fn listener_with_full_accept_queue() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    socket.listen(0).expect("listen on the socket");
    let listener = TcpListener::from(socket);
    let filler =
        TcpStream::connect(listener.local_addr().expect("local address")).expect("fill the accept queue");
    (listener, filler)
}

type Script = Box<dyn FnMut(&HttpMessage) -> BackendAction + Send>;

/// A backend that executes the actions of a script and passes each received request to the test.
pub struct Backend {
    pub address: SocketAddr,
    /// The received requests, in order over all connections.
    pub requests: Receiver<HttpMessage>,
}

impl Backend {
    /// Starts a backend; `script` chooses the action for each request.
    pub fn start(script: impl FnMut(&HttpMessage) -> BackendAction + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
        let (sender, requests) = channel();
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (Ok(stream), sender, script) = (stream, sender.clone(), Arc::clone(&script)) else {
                    return;
                };
                thread::spawn(move || serve_connection(stream, connection, &script, &sender));
            }
        });
        Self { address, requests }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> HttpMessage {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request to the backend")
    }

    /// Discards the requests that the test has not taken yet, and returns their number.
    pub fn take_request_count(&self) -> usize {
        self.requests.try_iter().count()
    }
}

fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    script: &Mutex<Script>,
    sender: &Sender<HttpMessage>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
    while let Some(mut request) = read_message(&mut reader) {
        request.connection = connection;
        let action = script.lock().expect("lock the script")(&request);
        // A request whose action closes the connection is passed to the test after the close, so that the
        // test's next step cannot precede the close.
        let closes_connection = matches!(action, BackendAction::WriteAndClose(_));
        if !closes_connection {
            let _ = sender.send(request.clone());
        }
        if !action.execute(&mut stream) {
            let _ = stream.shutdown(Shutdown::Both);
            if closes_connection {
                let _ = sender.send(request);
            }
            return;
        }
    }
}
