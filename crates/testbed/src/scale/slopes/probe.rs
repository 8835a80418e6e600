//! Measures stalls of the proxy's serving thread with a steady stream of `/up` requests on a persistent
//! connection. That thread responds to them at once, so whatever blocks it delays a response. The probe has a
//! thread and a blocking socket of its own, so that the rest of this program does not delay it.

use super::ScaleError;
use super::fit;
use crate::http1;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Period of the requests.
const PERIOD: Duration = Duration::from_millis(1);
/// Time limit of a response; a longer stall ends the measurement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// When a request was sent, and its response time.
type ProbeSample = (Instant, Duration);

/// The running probe; stops on drop.
pub(super) struct Probe {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<Vec<ProbeSample>>>>,
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
        let shared_stop = Arc::clone(&stop);
        let thread = Some(thread::spawn(move || send_requests(proxy, &shared_stop)));
        Self { stop, thread }
    }

    /// Stops the probe and returns its measurements.
    pub(super) fn stop(mut self) -> Result<ProbeResult, ScaleError> {
        self.stop.store(true, Ordering::Release);
        let result = self.thread.take().map(JoinHandle::join);
        let samples = result
            .and_then(Result::ok)
            .ok_or_else(|| ScaleError::Proxy("the probe thread panicked".into()))??;
        let response_times: Vec<f64> =
            samples.iter().map(|(_, response_time)| response_time.as_secs_f64() * 1e6).collect();
        let median_us = fit::median(&response_times)
            .ok_or_else(|| ScaleError::Proxy("the probe got no response".into()))?;
        Ok(ProbeResult { samples, median_us })
    }
}

/// Measurements of a probe.
pub(super) struct ProbeResult {
    samples: Vec<ProbeSample>,
    /// Median response time, microseconds.
    median_us: f64,
}

impl ProbeResult {
    /// Median response time, microseconds.
    pub(super) fn median_us(&self) -> f64 {
        self.median_us
    }

    /// The longest response time above the median, microseconds, of the requests in flight at any time from
    /// `from` to `to`. A stall that begins between two requests is measured from the next one, which is sent
    /// up to a period later.
    pub(super) fn longest_stall_us(&self, from: Instant, to: Instant) -> f64 {
        let in_flight =
            self.samples.iter().filter(|(sent, response_time)| *sent <= to && *sent + *response_time >= from);
        let longest = in_flight
            .map(|(_, response_time)| response_time.as_secs_f64() * 1e6)
            .fold(self.median_us, f64::max);
        longest - self.median_us
    }
}

fn send_requests(proxy: SocketAddr, stop: &AtomicBool) -> io::Result<Vec<ProbeSample>> {
    let mut stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let (mut samples, mut buffer) = (Vec::new(), Vec::new());
    let mut due = Instant::now();
    while !stop.load(Ordering::Acquire) {
        let sent = Instant::now();
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: rig\r\n\r\n")?;
        read_response(&mut stream, &mut buffer)?;
        samples.push((sent, sent.elapsed()));
        due = (due + PERIOD).max(Instant::now());
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Ok(samples)
}

fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    buffer.clear();
    let mut chunk = [0; 1_024];
    loop {
        if let Some((head, message)) = http1::parse_head(buffer, http1::MessageKind::Response)? {
            let body = message.header("content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
            if message.status != 200 {
                return Err(io::Error::other(format!("the probe got status {}", message.status)));
            }
            if buffer.len() >= head + body {
                return Ok(());
            }
        }
        let length = stream.read(&mut chunk)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..length]);
    }
}
