//! A client that writes changes to a source.

use control_plane::codec::encode_backend_body;
use control_plane::record::{Backend, Change, RecordKey, RecordKind, RecordState, Version};
use control_plane::runtime::writer::{Writer, WriterError};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

fn backend_change(service: u32, name: &str, state: RecordState) -> Change {
    let backend = Backend {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 3000),
        zone: "a".into(),
        machine_kind: "m".into(),
        cell: 1,
        capacity: 1.0,
        up_since_ms: 0,
    };
    let body = if state == RecordState::Gone { Arc::from([]) } else { encode_backend_body(&backend) };
    Change { key: RecordKey { service, kind: RecordKind::Backend, name: name.into() }, state, body }
}

/// A change of a configuration whose body is `bytes` times the byte `fill`.
pub fn configuration_change(service: u32, name: &str, bytes: usize, fill: u8) -> Change {
    let key = RecordKey { service, kind: RecordKind::Configuration, name: name.into() };
    Change { key, state: RecordState::Active, body: vec![fill; bytes].into() }
}

/// A blocking client. After an error it reconnects for the next write.
pub struct ChangeWriter {
    runtime: tokio::runtime::Runtime,
    source: SocketAddr,
    writer: Option<Writer>,
}

impl ChangeWriter {
    /// Creates a client of the source at this address, which connects with the first write.
    pub fn new(source: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        Self { runtime, source, writer: None }
    }

    /// Writes changes, in as many messages as needed. Returns the version of the last one.
    pub fn write(&mut self, changes: Vec<Change>) -> Result<Option<Version>, WriterError> {
        let Self { runtime, source, writer } = self;
        runtime.block_on(async {
            let mut connection = match writer.take() {
                Some(writer) => writer,
                None => Writer::connect(*source).await?,
            };
            let last = connection.write_parts(changes).await?;
            *writer = Some(connection);
            Ok(last)
        })
    }

    /// Writes the states of backends of one service. Returns the version of the last change.
    pub fn set(&mut self, service: u32, backends: &[(&str, RecordState)]) -> Version {
        let changes = backends.iter().map(|(name, state)| backend_change(service, name, *state)).collect();
        self.write(changes).expect("written").expect("a version")
    }
}
