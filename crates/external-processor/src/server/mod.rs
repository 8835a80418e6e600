//! The gRPC services. They run on a separate thread and runtime, so that parsing callers' messages does not
//! delay proxied requests or decisions.

mod decisions;
mod envoy;
mod listener;
mod shared;

use crate::bridge::DecisionSender;
use crate::decision_request::RequestParser;
use crate::generated::decisions_server::DecisionsServer;
use crate::grpc_codec;
use crate::settings::Settings;
use decisions::DecisionsHandler;
use envoy::EnvoyHandler;
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_server::ExternalProcessorServer;
use request_engine::driver::clock::Clock;
use shared::Shared;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;

/// How long a connection may be idle before it is sent an HTTP/2 keepalive ping.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// How long to wait for the acknowledgement of a keepalive ping before the connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the gRPC services cannot start.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The listener cannot be opened on this address.
    #[error("cannot listen on {0} for callers: {1}")]
    Listen(SocketAddr, io::Error),
    /// The thread or its runtime cannot be created.
    #[error("cannot start the thread of the gRPC services: {0}")]
    Thread(io::Error),
    /// The descriptors for gRPC reflection are invalid.
    #[error("invalid descriptors for gRPC reflection: {0}")]
    Reflection(tonic_reflection::server::Error),
}

/// Phases of the gRPC services from start to shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePhase {
    /// New connections and calls are accepted.
    Serving,
    /// Connections receive GOAWAY; open streams continue.
    Draining,
    /// All streams are aborted.
    Stopped,
}

/// The running gRPC services and their thread.
pub struct RunningServer {
    /// The address on which they listen, with the port that was assigned.
    pub address: SocketAddr,
    phase: watch::Sender<ServicePhase>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Sends GOAWAY on all connections, and reports `NOT_SERVING` to gRPC health checks.
    pub fn drain(&self) {
        let _ = self.phase.send(ServicePhase::Draining);
    }

    /// Aborts open streams and waits until the thread has ended.
    pub fn stop(mut self) {
        let _ = self.phase.send(ServicePhase::Stopped);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The parts of the process that the gRPC services use.
pub struct ServerContext {
    /// Parses requests for a decision.
    pub parser: RequestParser,
    /// Names of the fields of a load report, in the order of the settings.
    pub load_report_fields: Vec<String>,
    /// The clock that the engine uses.
    pub clock: Clock,
    /// The channels to the decision service.
    pub decisions: DecisionSender,
}

/// Opens the listener and starts the gRPC services on a new thread.
///
/// # Errors
/// If the listener, the thread, its runtime or the reflection service cannot be created.
pub fn start(settings: Settings, context: ServerContext) -> Result<RunningServer, ServerError> {
    let listen_error = |error| ServerError::Listen(settings.listen, error);
    let listener = StdListener::bind(settings.listen).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServerError::Thread)?;
    let (phase, phases) = watch::channel(ServicePhase::Serving);
    let ServerContext { parser, load_report_fields, clock, decisions } = context;
    let shared = Arc::new(Shared {
        settings,
        parser,
        load_report_fields,
        field_names: grpc_codec::field_names(),
        clock,
        decisions,
        next_caller: AtomicU64::new(1),
    });
    // The reflection service is built here as well, so that its error is returned before the services start.
    if shared.settings.reflection {
        reflection_service()?;
    }
    let serve = move || {
        runtime.block_on(serve(listener, shared, phases));
    };
    let thread = std::thread::Builder::new().name("extproc".into()).spawn(serve);
    Ok(RunningServer { address, phase, thread: Some(thread.map_err(ServerError::Thread)?) })
}

fn reflection_service() -> Result<
    tonic_reflection::server::v1::ServerReflectionServer<impl tonic_reflection::server::v1::ServerReflection>,
    ServerError,
> {
    tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(include_bytes!("../descriptors.bin"))
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .build_v1()
        .map_err(ServerError::Reflection)
}

async fn wait_for_phase(phases: &mut watch::Receiver<ServicePhase>, phase: fn(&ServicePhase) -> bool) {
    // If the sender is dropped, the wait ends too, and the services stop.
    let _ = phases.wait_for(phase).await;
}

async fn serve(listener: StdListener, shared: Arc<Shared>, mut phases: watch::Receiver<ServicePhase>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let limits = shared.settings.limits.clone();
    let (accepted, connections) = mpsc::channel(1);
    tokio::spawn(listener::accept(listener, limits.connections, accepted));
    let (health, health_service) = tonic_health::server::health_reporter();
    health.set_serving::<DecisionsServer<DecisionsHandler>>().await;
    health.set_serving::<ExternalProcessorServer<EnvoyHandler>>().await;
    // `start` has built the service before and returned any error.
    let reflection = shared.settings.reflection.then(|| reflection_service().ok()).flatten();
    let decisions = DecisionsServer::new(DecisionsHandler(Arc::clone(&shared)));
    let envoy = ExternalProcessorServer::new(EnvoyHandler(shared));
    let mut drain_phases = phases.clone();
    let shutdown = async move {
        wait_for_phase(&mut drain_phases, |phase| *phase != ServicePhase::Serving).await;
        health.set_not_serving::<DecisionsServer<DecisionsHandler>>().await;
        health.set_not_serving::<ExternalProcessorServer<EnvoyHandler>>().await;
    };
    let serving = tonic::transport::Server::builder()
        .max_concurrent_streams(Some(limits.streams))
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(health_service)
        .add_optional_service(reflection)
        .add_service(decisions.max_decoding_message_size(limits.message_bytes))
        .add_service(envoy.max_decoding_message_size(limits.message_bytes))
        .serve_with_incoming_shutdown(ReceiverStream::new(connections), shutdown);
    tokio::select! {
        _ = serving => {}
        () = wait_for_phase(&mut phases, |phase| *phase == ServicePhase::Stopped) => {}
    }
}
