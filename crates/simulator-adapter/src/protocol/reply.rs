//! Encodes replies, which contain the actions of the instances in response to one batch.

use super::codes::sent;
use balancer::api::{Action, Micros};

/// Length of a reply header, bytes. It contains the length of the rest of the reply.
const REPLY_HEADER_LENGTH: usize = 4;

/// Encodes one reply at a time.
#[derive(Debug)]
pub struct ReplyWriter {
    bytes: Vec<u8>,
    /// The instance to which the last records of the reply belong.
    selected_instance: Option<u16>,
}

impl Default for ReplyWriter {
    fn default() -> Self {
        Self { bytes: vec![0; REPLY_HEADER_LENGTH], selected_instance: None }
    }
}

impl ReplyWriter {
    /// Appends an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        self.select_instance(instance);
        match action {
            Action::Send { request, backend, timeout_at, .. } => self.record(
                sent::SEND,
                &[&request.to_be_bytes(), &timeout_at.to_be_bytes(), &backend.to_be_bytes()],
            ),
            Action::Reject { request, retry_after } => {
                self.record(sent::REJECT, &[&request.to_be_bytes(), &saturating_u32_bytes(*retry_after)]);
            }
            Action::Fail { request } => self.record(sent::FAIL, &[&request.to_be_bytes()]),
            Action::Cancel { request, attempt } => {
                self.record(sent::CANCEL, &[&request.to_be_bytes(), &attempt.to_be_bytes()]);
            }
            Action::SetTimer { delay, token } => {
                self.record(sent::SET_TIMER, &[&saturating_u32_bytes(*delay), &token.to_be_bytes()]);
            }
            Action::CheckHealth(backend) => self.record(sent::CHECK_HEALTH, &[&backend.to_be_bytes()]),
            Action::CloseIdleConnections(backend) => {
                self.record(sent::CLOSE_IDLE_CONNECTIONS, &[&backend.to_be_bytes()]);
            }
            Action::Log(text) => self.text_record(sent::LOG, text),
            Action::Subscribe => self.record(sent::SUBSCRIBE, &[&[1]]),
        }
    }

    /// Appends a record with the cause of an instance's failure, after which the adapter exits.
    pub fn fatal(&mut self, instance: u16, text: &str) {
        self.select_instance(instance);
        self.text_record(sent::FATAL, text);
    }

    /// Returns the encoded reply and resets the writer for the next one.
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

    /// Appends a record with one text, truncated to the maximum of its 16-bit length field.
    fn text_record(&mut self, code: u8, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(code, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Makes the records that follow belong to an instance.
    fn select_instance(&mut self, instance: u16) {
        if self.selected_instance != Some(instance) {
            self.selected_instance = Some(instance);
            self.record(sent::SELECT_INSTANCE, &[&instance.to_be_bytes()]);
        }
    }
}

fn saturating_u32_bytes(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_be_bytes()
}
