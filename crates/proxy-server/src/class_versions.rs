//! Passes the versions of request classes on to the process that replaces this one.

use admin::class_version_file::{
    ClassVersionError, ClassVersionFile, StoredClassVersion, StoredIdempotency, StoredScope,
};
use balancer::api::{DedupScope, Idempotency};
use http_proxy::log::{FailureLog, log};
use request_engine::class_registry::ClassVersion;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

/// How long a reload waits until the versions are written. If the disk takes longer, they are written later.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// The versions of classes that the processes of this proxy share.
pub(crate) struct SharedClassVersions {
    file: ClassVersionFile,
    failures: FailureLog,
}

impl SharedClassVersions {
    pub(crate) fn new(file: ClassVersionFile) -> Self {
        Self { file, failures: FailureLog::new("versions of classes were not shared with other processes") }
    }

    /// The versions that another process had in force; none if they can't be read.
    pub(crate) fn read(&self) -> Vec<ClassVersion> {
        let stored = self.file.read().unwrap_or_else(|error| {
            log(format_args!("versions of classes were not read: {error}"));
            Vec::new()
        });
        stored.into_iter().map(from_stored).collect()
    }

    /// Writes the versions that may apply.
    pub(crate) async fn write(&self, versions: Vec<ClassVersion>) {
        let file = self.file.clone();
        let writing = spawn_blocking(move || file.write(versions.into_iter().map(to_stored).collect()));
        let error: ClassVersionError = match timeout(WRITE_TIMEOUT, writing).await {
            Ok(Ok(Ok(()))) => return,
            Ok(Ok(Err(error))) => error,
            Ok(Err(error)) => std::io::Error::other(error).into(),
            Err(elapsed) => std::io::Error::from(elapsed).into(),
        };
        self.failures.record(&error);
    }
}

fn to_stored(version: ClassVersion) -> StoredClassVersion {
    let scope = |scope| match scope {
        DedupScope::All => StoredScope::All,
        DedupScope::Zone => StoredScope::Zone,
        DedupScope::Cell => StoredScope::Cell,
    };
    let idempotency = match version.idempotency {
        Idempotency::Idempotent => StoredIdempotency::Idempotent,
        Idempotency::Keyed { scope: group, ttl } => StoredIdempotency::Keyed(scope(group), ttl),
        Idempotency::NonIdempotent => StoredIdempotency::NonIdempotent,
    };
    let ClassVersion { name, deadline, replaced_at, .. } = version;
    StoredClassVersion { name, idempotency, deadline, replaced_at }
}

fn from_stored(stored: StoredClassVersion) -> ClassVersion {
    let scope = |scope| match scope {
        StoredScope::All => DedupScope::All,
        StoredScope::Zone => DedupScope::Zone,
        StoredScope::Cell => DedupScope::Cell,
    };
    let idempotency = match stored.idempotency {
        StoredIdempotency::Idempotent => Idempotency::Idempotent,
        StoredIdempotency::Keyed(group, ttl) => Idempotency::Keyed { scope: scope(group), ttl },
        StoredIdempotency::NonIdempotent => Idempotency::NonIdempotent,
    };
    let StoredClassVersion { name, deadline, replaced_at, .. } = stored;
    ClassVersion { name, idempotency, deadline, replaced_at }
}
