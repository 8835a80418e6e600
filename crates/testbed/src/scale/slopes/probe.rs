//! A steady stream of requests that the serving thread itself answers at once (`/up` on a kept connection): whatever holds
//! that thread is seen as a wait. The stream has a thread and a blocking socket of its own, so that nothing else of this
//! program is in its way.

use super::ScaleError;
use super::fit;
use crate::http1;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often it asks.
const EVERY: Duration = Duration::from_millis(1);
/// How long an answer may take; whatever holds the thread longer ends the measurement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// One request: when it was written, and how long its answer took.
type Asked = (Instant, Duration);

/// The stream.
pub(super) struct Probe {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<Vec<Asked>>>>,
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        drop(self.thread.take().map(JoinHandle::join));
    }
}

impl Probe {
    pub(super) fn start(proxy: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = Some(thread::spawn(move || ask(proxy, &stopped)));
        Self { stop, thread }
    }

    /// Ends the stream; gives what it saw.
    pub(super) fn end(mut self) -> Result<Seen, ScaleError> {
        self.stop.store(true, Ordering::Release);
        let asked = self.thread.take().map(JoinHandle::join);
        let asked =
            asked.and_then(Result::ok).ok_or_else(|| ScaleError::Proxy("the probe ended".into()))??;
        let times: Vec<f64> = asked.iter().map(|(_, took)| took.as_secs_f64() * 1e6).collect();
        let usual = fit::median(&times).ok_or_else(|| ScaleError::Proxy("no probe was answered".into()))?;
        Ok(Seen { asked, usual })
    }
}

/// What a stream saw.
pub(super) struct Seen {
    asked: Vec<Asked>,
    /// The median time of an answer, microseconds.
    usual: f64,
}

impl Seen {
    /// The median time of an answer, microseconds.
    pub(super) fn usual_us(&self) -> f64 {
        self.usual
    }

    /// The longest that a request waited over the usual, microseconds, of those that were open at any time between these
    /// two; a request that was due but not yet written waits no less than the probe's period.
    pub(super) fn longest_us(&self, from: Instant, to: Instant) -> f64 {
        let open = self.asked.iter().filter(|(at, took)| *at <= to && *at + *took >= from);
        let longest = open.map(|(_, took)| took.as_secs_f64() * 1e6).fold(self.usual, f64::max);
        longest - self.usual
    }
}

fn ask(proxy: SocketAddr, stop: &AtomicBool) -> io::Result<Vec<Asked>> {
    let mut stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let (mut asked, mut bytes) = (Vec::new(), Vec::new());
    let mut due = Instant::now();
    while !stop.load(Ordering::Acquire) {
        let at = Instant::now();
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n")?;
        answer(&mut stream, &mut bytes)?;
        asked.push((at, at.elapsed()));
        due = (due + EVERY).max(Instant::now());
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Ok(asked)
}

fn answer(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    bytes.clear();
    let mut part = [0; 1_024];
    loop {
        if let Some((head, message)) = http1::parse_head(bytes, http1::MessageKind::Response)? {
            let body = message.header("content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
            if message.status != 200 {
                return Err(io::Error::other(format!("the probe was answered {}", message.status)));
            }
            if bytes.len() >= head + body {
                return Ok(());
            }
        }
        let length = stream.read(&mut part)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..length]);
    }
}
