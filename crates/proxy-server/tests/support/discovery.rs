//! A scripted discovery service.

use super::TEST_TIMEOUT;
use super::http_message::{read_message, response_bytes};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

struct PostedList {
    revision: u64,
    list: Option<Value>,
}

/// Serves the list of backends that the test posts, and records the revision (`after`) of each call.
pub struct Discovery {
    pub address: SocketAddr,
    posted: Arc<(Mutex<PostedList>, Condvar)>,
    calls: Receiver<Option<u64>>,
}

fn serve_watches(
    stream: TcpStream,
    posted: &(Mutex<PostedList>, Condvar),
    calls: &Sender<Option<u64>>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let request = read_message(&mut reader)?;
        let query_parameter = |name: &str| {
            let (_, rest) = request.first_line().split_once(name)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            Some(digits.parse::<u64>().expect("a numeric parameter"))
        };
        let (after, wait) = (query_parameter("after="), query_parameter("wait_ms="));
        calls.send(after).ok()?;
        // A watch without a change is answered with an empty list at the end of its wait.
        let wait = wait.map_or(TEST_TIMEOUT, Duration::from_millis);
        let (lock, changed) = posted;
        let posted = lock.lock().expect("lock the list");
        let has_no_newer_list =
            |posted: &mut PostedList| posted.list.is_none() || after == Some(posted.revision);
        let (posted, _) = changed.wait_timeout_while(posted, wait, has_no_newer_list).expect("lock the list");
        let list = match &posted.list {
            _ if after == Some(posted.revision) => {
                json!({"revision": after, "complete": false, "members": []})
            }
            Some(list) => list.clone(),
            None => return None,
        };
        drop(posted);
        let list = list.to_string();
        stream.write_all(&response_bytes("200 OK", "", list.as_bytes())).ok()?;
    }
}

impl Discovery {
    /// Starts a service that answers no call until a list is posted.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("local address");
        let posted = Arc::new((Mutex::new(PostedList { revision: 0, list: None }), Condvar::new()));
        let (sender, calls) = channel();
        let shared = Arc::clone(&posted);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), posted, sender) = (stream, Arc::clone(&shared), sender.clone()) else {
                    return;
                };
                thread::spawn(move || serve_watches(stream, &posted, &sender));
            }
        });
        Self { address, posted, calls }
    }

    /// Waits for the next call and returns the revision it was made for; `None` is a call for the complete
    /// list.
    pub fn next_call_revision(&self) -> Option<u64> {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery")
    }

    /// Discards the calls that the test has not taken yet, and returns their number.
    pub fn take_call_count(&self) -> usize {
        self.calls.try_iter().count()
    }

    /// Posts a list without waiting for the proxy to apply it; returns its revision.
    pub fn publish(&self, complete: bool, members: &[Value]) -> u64 {
        let (lock, changed) = &*self.posted;
        let mut posted = lock.lock().expect("lock the list");
        posted.revision += 1;
        let revision = posted.revision;
        posted.list = Some(json!({"revision": revision, "complete": complete, "members": members}));
        drop(posted);
        changed.notify_all();
        revision
    }

    /// Posts a list and waits until the proxy has applied it, which its watch for later revisions shows.
    pub fn publish_and_wait(&self, complete: bool, members: &[Value]) {
        let revision = self.publish(complete, members);
        while self.calls.recv_timeout(TEST_TIMEOUT).expect("a watch for later revisions") != Some(revision) {}
    }
}
