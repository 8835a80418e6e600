//! Scripted backends.

use super::TEST_TIMEOUT;
use super::http_message::{HttpMessage, read_message, response_bytes};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a backend does with a request.
pub enum BackendAction {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Waits for the test's signal, then acts.
    WaitThen(Receiver<()>, Box<BackendAction>),
    /// Waits for this time, then acts.
    DelayThen(Duration, Box<BackendAction>),
    /// Never responds.
    Hang,
}

impl BackendAction {
    /// Returns whether the connection stays open.
    fn execute(self, stream: &mut TcpStream) -> bool {
        match self {
            Self::Write(bytes) => stream.write_all(&bytes).is_ok(),
            Self::WriteAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                false
            }
            Self::WaitThen(released, action) => {
                let _ = released.recv_timeout(TEST_TIMEOUT);
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
pub fn ok(body: &str) -> BackendAction {
    BackendAction::Write(response_bytes("200 OK", "", body.as_bytes()))
}

/// A listener whose queue is full, and the connection that fills it: others are established only once the queue is emptied.
pub fn listener_with_full_queue() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let filler = TcpStream::connect(listener.local_addr().expect("an address")).expect("the queue takes one");
    (listener, filler)
}

type Script = Box<dyn FnMut(&HttpMessage) -> BackendAction + Send>;

/// A backend that acts by a script and passes the requests that it received to the test.
pub struct Backend {
    pub address: SocketAddr,
    pub requests: Receiver<HttpMessage>,
}

impl Backend {
    pub fn start(script: impl FnMut(&HttpMessage) -> BackendAction + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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

    /// The next request.
    pub fn next_request(&self) -> HttpMessage {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("the backend receives a request")
    }

    /// The number of requests since the last one that the test took; takes them.
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
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(mut request) = read_message(&mut reader) {
        request.connection = connection;
        let action = script.lock().expect("a script")(&request);
        // A request that is answered with a close is passed on after it, so that the test's next step cannot precede it.
        let closes = matches!(action, BackendAction::WriteAndClose(_));
        if !closes {
            let _ = sender.send(request.clone());
        }
        if !action.execute(&mut stream) {
            let _ = stream.shutdown(Shutdown::Both);
            if closes {
                let _ = sender.send(request);
            }
            return;
        }
    }
}
