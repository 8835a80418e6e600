//! Replies: the actions of the instances in one batch.

use super::codes::sent;
use balancer::api::{Action, Micros};

/// Bytes of a reply's header, which holds the length of what follows.
const REPLY_HEADER_LENGTH: usize = 4;

/// Writes one reply.
#[derive(Debug)]
pub struct ReplyWriter {
    bytes: Vec<u8>,
    /// The instance to which the records at the end belong.
    source: Option<u16>,
}

impl Default for ReplyWriter {
    fn default() -> Self {
        Self { bytes: vec![0; REPLY_HEADER_LENGTH], source: None }
    }
}

impl ReplyWriter {
    /// Adds an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        self.source(instance);
        match action {
            Action::Send { request, backend, give_up_at, .. } => self.record(
                sent::SUBMIT_TO,
                &[&request.to_be_bytes(), &give_up_at.to_be_bytes(), &backend.to_be_bytes()],
            ),
            Action::Reject { request, retry_after } => {
                self.record(sent::SAY_NO, &[&request.to_be_bytes(), &saturating_u32(*retry_after)]);
            }
            Action::Fail { request } => self.record(sent::GIVE_UP, &[&request.to_be_bytes()]),
            Action::Cancel { request, attempt } => {
                self.record(sent::CALL_OFF, &[&request.to_be_bytes(), &attempt.to_be_bytes()]);
            }
            Action::SetTimer { delay, token } => {
                self.record(sent::WAKE_ME, &[&saturating_u32(*delay), &token.to_be_bytes()]);
            }
            Action::CheckHealth(backend) => self.record(sent::PING, &[&backend.to_be_bytes()]),
            Action::CloseIdleConnections(backend) => {
                self.record(sent::SHUT_IDLE, &[&backend.to_be_bytes()]);
            }
            Action::Log(text) => self.text(sent::WRITE_LOG, text),
            Action::Subscribe => self.record(sent::SUBSCRIBE, &[&[1]]),
        }
    }

    /// Adds the failure of an instance, after which the adapter ends.
    pub fn fatal(&mut self, instance: u16, text: &str) {
        self.source(instance);
        self.text(sent::FATAL, text);
    }

    /// The reply's bytes. The writer is then ready for the next reply.
    pub fn finish(&mut self) -> Vec<u8> {
        let length = (self.bytes.len() - REPLY_HEADER_LENGTH) as u32;
        self.bytes[..REPLY_HEADER_LENGTH].copy_from_slice(&length.to_be_bytes());
        std::mem::take(self).bytes
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_be_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }

    /// A record of one text, cut to the longest that its length field can hold.
    fn text(&mut self, code: u8, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(code, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Makes the records that follow belong to an instance.
    fn source(&mut self, instance: u16) {
        if self.source != Some(instance) {
            self.source = Some(instance);
            self.record(sent::SOURCE, &[&instance.to_be_bytes()]);
        }
    }
}

fn saturating_u32(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_be_bytes()
}
