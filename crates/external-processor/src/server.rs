//! The gRPC services, on a thread and a runtime of their own: parsing what callers send never delays a request of a
//! client or a decision.

use crate::bridge::{Ask, DecisionSender, Gone, Notified, Question};
use crate::decision_request::{RequestCatalog, Unusable};
use crate::decision_service::{CallerId, Reply, RequestRef};
use crate::generated as pb;
use crate::generated::decisions_server::{Decisions, DecisionsServer};
use crate::settings::{Headers, Settings};
use crate::{envoy, plain};
use balancer::api::Outcome;
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_server::{
    ExternalProcessor, ExternalProcessorServer,
};
use envoy_types::pb::envoy::service::ext_proc::v3::{ProcessingRequest, ProcessingResponse};
use request_engine::driver::clock::Clock;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::sleep;
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::Connected;
use tonic::{Response, Status, Streaming};

/// How often a silent connection is asked whether it lives, and how long its answer may take.
const KEEPALIVE: Duration = Duration::from_secs(10);
const KEEPALIVE_ANSWER: Duration = Duration::from_secs(5);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Replies to one Envoy stream that wait to be written: it has one message open at a time, or a piece of each body.
const ENVOY_REPLIES: usize = 8;
/// Lines of a load report that are read.
const MAX_LOAD_FIELDS: usize = 64;

/// The services can't begin.
#[derive(Debug, Error)]
pub enum ServerError {
    /// Their address can't be had.
    #[error("cannot listen on {0} for callers: {1}")]
    Listen(SocketAddr, io::Error),
    /// No thread or runtime.
    #[error("the services' thread: {0}")]
    Thread(io::Error),
    /// The descriptors for reflection.
    #[error("reflection: {0}")]
    Reflection(String),
}

/// What all services share.
struct Shared {
    settings: Settings,
    catalogue: RequestCatalog,
    /// Fields of a load report, in the order of the settings.
    load_fields: Vec<String>,
    names: Headers,
    clock: Clock,
    way: DecisionSender,
    next_caller: AtomicU64,
}

impl Shared {
    fn caller(&self) -> CallerId {
        CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed))
    }

    /// `a=1,b=2` in the order of the settings; empty where a field is missing.
    fn load(&self, text: &str) -> Vec<f32> {
        let pairs = || text.split(',').take(MAX_LOAD_FIELDS).filter_map(|pair| pair.split_once('='));
        let value = |field: &String| pairs().find(|(name, _)| name.trim() == field)?.1.trim().parse().ok();
        self.load_fields.iter().map(value).collect::<Option<Vec<f32>>>().unwrap_or_default()
    }
}

/// Tells that a caller ended, once, when it is dropped.
struct Guard {
    gone: mpsc::UnboundedSender<Gone>,
    word: Gone,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.gone.send(self.word);
    }
}

fn closing() -> Status {
    Status::unavailable("the processor ends: ask another")
}

// ---- The plain service ----

#[derive(Clone)]
struct Plain(Arc<Shared>);

/// The answers of one stream. What it holds is withdrawn when it is dropped, its channel first.
struct Talk {
    told: mpsc::Receiver<Notified>,
    clock: Clock,
    _guard: Guard,
}

impl Stream for Talk {
    type Item = Result<pb::TaggedAnswer, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let told = ready!(self.told.poll_recv(cx));
        let tagged = |tag, answer| pb::TaggedAnswer { tag, answer: Some(answer) };
        Poll::Ready(told.map(|told| {
            Ok(match told {
                Notified::Reply(tag, reply) => tagged(tag, plain::answer(self.clock.now(), reply)),
                Notified::Invalid(tag, error) => tagged(tag, plain::invalid(&error)),
                Notified::Revoked(lease) => plain::revoked(lease),
            })
        }))
    }
}

impl Plain {
    fn read(&self, question: pb::Question) -> Result<Ask, Unusable> {
        use pb::question::Question as Q;
        if question.tag == 0 {
            return Err(Unusable::Senseless("tag".into(), "0 is not allowed".into()));
        }
        match question.question {
            None => Err(Unusable::Missing("question".into())),
            Some(Q::Decide(asked)) => self.decide(&asked),
            Some(Q::Report(told)) => plain::report(&told).map(Ask::Report),
            Some(Q::Renew(told)) => plain::renewed(&told).map(Ask::Renew),
        }
    }

    fn decide(&self, asked: &pb::DecideRequest) -> Result<Ask, Unusable> {
        let shared = &*self.0;
        let request = plain::request(shared.clock.now(), asked, &shared.catalogue, &shared.names)?;
        Ok(Ask::Decide(Box::new(request)))
    }

    /// Passes the questions of a stream on until it ends. It holds its channel open only until the first question is
    /// on its way: from then on the desk does, which may cut it.
    async fn listen(
        self,
        caller: CallerId,
        to: mpsc::Sender<Notified>,
        mut questions: Streaming<pb::Question>,
    ) {
        let weak = to.downgrade();
        let mut first = Some(to);
        loop {
            let question = questions.message().await.ok().flatten();
            let Some(to) = first.take().or_else(|| weak.upgrade()) else { return };
            let tag = question.as_ref().map_or(0, |q| q.tag);
            let ask = match question {
                None => Ask::End,
                Some(question) => match self.read(question) {
                    Ok(ask) => ask,
                    Err(error) => {
                        // Whoever sends nonsense and does not read what is said of it is not waited for.
                        if to.try_send(Notified::Invalid(tag, error)).is_err() {
                            return;
                        }
                        first = Some(to);
                        continue;
                    }
                },
            };
            let ends = matches!(ask, Ask::End);
            let question = Question { asked: RequestRef { caller, tag }, to, ask };
            if self.0.way.questions.send(question).await.is_err() || ends {
                return;
            }
        }
    }

    /// One call: one question, one answer.
    async fn call(&self, ask: Result<Ask, Unusable>) -> Result<Response<pb::Answer>, Status> {
        let ask = match ask {
            Ok(ask) => ask,
            Err(error) => return Ok(Response::new(plain::invalid(&error))),
        };
        let caller = self.0.caller();
        let mut guard = Guard { gone: self.0.way.gone.clone(), word: Gone::Unheard(caller) };
        // Dropped before the guard: a question that is still on its way finds the channel closed.
        let (to, mut told) = mpsc::channel(1);
        let question = Question { asked: RequestRef { caller, tag: 1 }, to, ask };
        self.0.way.questions.send(question).await.map_err(|_| closing())?;
        match told.recv().await {
            Some(Notified::Reply(_, reply)) => {
                guard.word = Gone::Answered(caller);
                Ok(Response::new(plain::answer(self.0.clock.now(), reply)))
            }
            Some(Notified::Invalid(_, error)) => Ok(Response::new(plain::invalid(&error))),
            Some(Notified::Revoked(_)) | None => Err(closing()),
        }
    }
}

#[tonic::async_trait]
impl Decisions for Plain {
    type ConverseStream = Talk;

    async fn decide(
        &self,
        request: tonic::Request<pb::DecideRequest>,
    ) -> Result<Response<pb::Answer>, Status> {
        self.call(Plain::decide(self, request.get_ref())).await
    }

    async fn report(
        &self,
        request: tonic::Request<pb::ReportRequest>,
    ) -> Result<Response<pb::Answer>, Status> {
        self.call(plain::report(request.get_ref()).map(Ask::Report)).await
    }

    async fn renew(&self, request: tonic::Request<pb::RenewRequest>) -> Result<Response<pb::Answer>, Status> {
        self.call(plain::renewed(request.get_ref()).map(Ask::Renew)).await
    }

    async fn converse(
        &self,
        request: tonic::Request<Streaming<pb::Question>>,
    ) -> Result<Response<Talk>, Status> {
        let caller = self.0.caller();
        let (to, told) = mpsc::channel(self.0.settings.bounds.per_caller);
        tokio::spawn(self.clone().listen(caller, to, request.into_inner()));
        let guard = Guard { gone: self.0.way.gone.clone(), word: Gone::Stream(caller) };
        Ok(Response::new(Talk { told, clock: self.0.clock, _guard: guard }))
    }
}

// ---- Envoy's service ----

struct Envoy(Arc<Shared>);

type EnvoyAnswers = mpsc::Sender<Result<ProcessingResponse, Status>>;

/// Follows one stream to its end.
async fn follow(shared: Arc<Shared>, mut messages: Streaming<ProcessingRequest>, answers: EnvoyAnswers) {
    let caller = shared.caller();
    let mut guard = Guard { gone: shared.way.gone.clone(), word: Gone::Unheard(caller) };
    let (to, mut told) = mpsc::channel(ENVOY_REPLIES);
    let mut stream = envoy::Stream::new(&shared.catalogue, &shared.settings.envoy);
    let mut asked = false;
    loop {
        let answer = tokio::select! {
            biased;
            () = answers.closed() => return,
            reply = told.recv() => match reply {
                Some(Notified::Reply(_, reply)) if !asked => {
                    asked = true;
                    if let Reply::Send(_) = reply {
                        // From here on the request may be on its way.
                        guard.word = Gone::Stream(caller);
                    }
                    stream.decided(shared.clock.now(), reply)
                }
                Some(Notified::Reply(_, reply)) => stream.reported(shared.clock.now(), reply),
                // Envoy has sent long before a drain is heard of.
                Some(Notified::Revoked(_) | Notified::Invalid(..)) => continue,
                None => return,
            },
            message = messages.message() => {
                let Ok(Some(message)) = message else { return };
                let ask = match stream.message(shared.clock.now(), message) {
                    Ok(envoy::Step::Ask(request)) => Ask::Decide(request),
                    Ok(envoy::Step::Report { lease, outcome, load }) => {
                        Ask::Report(report(&shared, lease, outcome, &load))
                    }
                    Ok(envoy::Step::Nothing) => continue,
                    Ok(envoy::Step::Answer(answer)) => {
                        if answers.send(Ok(*answer)).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    Err(broken) => {
                        let _ = answers.send(Err(Status::failed_precondition(broken.to_string()))).await;
                        return;
                    }
                };
                let question = Question { asked: RequestRef { caller, tag: 1 }, to: to.clone(), ask };
                if shared.way.questions.send(question).await.is_err() {
                    let _ = answers.send(Err(closing())).await;
                    return;
                }
                continue;
            }
        };
        if answers.send(Ok(*answer)).await.is_err() {
            return;
        }
    }
}

fn report(
    shared: &Shared,
    lease: request_engine::lease::LeaseId,
    outcome: Outcome,
    load: &str,
) -> crate::decision_service::Report {
    crate::decision_service::Report { lease, outcome: Some(outcome), endpoint: None, load: shared.load(load) }
}

#[tonic::async_trait]
impl ExternalProcessor for Envoy {
    type ProcessStream = ReceiverStream<Result<ProcessingResponse, Status>>;

    async fn process(
        &self,
        request: tonic::Request<Streaming<ProcessingRequest>>,
    ) -> Result<Response<Self::ProcessStream>, Status> {
        let (answers, responses) = mpsc::channel(ENVOY_REPLIES);
        tokio::spawn(follow(Arc::clone(&self.0), request.into_inner(), answers));
        Ok(Response::new(ReceiverStream::new(responses)))
    }
}

// ---- The listener ----

/// A caller's connection; its place is free again when it is dropped.
struct Connection {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
}

impl Connected for Connection {
    type ConnectInfo = ();

    fn connect_info(&self) -> Self::ConnectInfo {}
}

impl AsyncRead for Connection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        socket_io::poll_read(&self.stream, cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        socket_io::poll_write(&self.stream, cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts callers; one beyond the bound is closed at once, so that it can ask elsewhere.
async fn accept(listener: TcpListener, most: usize, connections: mpsc::Sender<io::Result<Connection>>) {
    let places = Arc::new(Semaphore::new(most));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.closed() => return,
        };
        // Out of descriptors, or a caller that is gone already: neither ends the service.
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        if connections.send(Ok(Connection { stream, _place: place })).await.is_err() {
            return;
        }
    }
}

/// How far the services are on their way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// They serve.
    RunningServer,
    /// Connections are told to go away; open streams go on.
    Draining,
    /// All streams are cut.
    Ended,
}

/// The services on their thread.
pub struct RunningServer {
    /// Where they listen.
    pub address: SocketAddr,
    phase: watch::Sender<Phase>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Tells callers to go away, and health checks that nothing is served.
    pub fn drain(&self) {
        let _ = self.phase.send(Phase::Draining);
    }

    /// Cuts what is open and waits for the thread.
    pub fn end(mut self) {
        let _ = self.phase.send(Phase::Ended);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the services are about.
pub struct ServerContext {
    /// Names of classes and tenants.
    pub catalogue: RequestCatalog,
    /// Fields of a load report, in the order of the settings.
    pub load_fields: Vec<String>,
    /// The engine's clock.
    pub clock: Clock,
    /// The way to the desk.
    pub way: DecisionSender,
}

/// Opens the listener and starts the services' thread.
///
/// # Errors
/// Where address, thread or runtime can't be had.
pub fn start(settings: Settings, subject: ServerContext) -> Result<RunningServer, ServerError> {
    let unheard = |error| ServerError::Listen(settings.listen, error);
    let listener = StdListener::bind(settings.listen).map_err(unheard)?;
    listener.set_nonblocking(true).map_err(unheard)?;
    let address = listener.local_addr().map_err(unheard)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServerError::Thread)?;
    let (phase, phases) = watch::channel(Phase::RunningServer);
    let ServerContext { catalogue, load_fields, clock, way } = subject;
    let next_caller = AtomicU64::new(1);
    let shared =
        Arc::new(Shared { settings, catalogue, load_fields, names: plain::names(), clock, way, next_caller });
    // Built here, so that what is wrong with it is told before anything serves.
    if shared.settings.reflection {
        reflection()?;
    }
    let serve = move || {
        runtime.block_on(serve(listener, shared, phases));
    };
    let thread = std::thread::Builder::new().name("extproc".into()).spawn(serve);
    Ok(RunningServer { address, phase, thread: Some(thread.map_err(ServerError::Thread)?) })
}

fn reflection() -> Result<
    tonic_reflection::server::v1::ServerReflectionServer<impl tonic_reflection::server::v1::ServerReflection>,
    ServerError,
> {
    tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(include_bytes!("descriptors.bin"))
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .build_v1()
        .map_err(|e| ServerError::Reflection(e.to_string()))
}

async fn reached(phases: &mut watch::Receiver<Phase>, phase: fn(&Phase) -> bool) {
    // A sender that is gone has ended the process's interest.
    let _ = phases.wait_for(phase).await;
}

async fn serve(listener: StdListener, shared: Arc<Shared>, mut phases: watch::Receiver<Phase>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let bounds = shared.settings.bounds.clone();
    let (accepted, connections) = mpsc::channel(1);
    tokio::spawn(accept(listener, bounds.connections, accepted));
    let (health, health_service) = tonic_health::server::health_reporter();
    health.set_serving::<DecisionsServer<Plain>>().await;
    health.set_serving::<ExternalProcessorServer<Envoy>>().await;
    // Known to be good from the start.
    let reflection = shared.settings.reflection.then(|| reflection().ok()).flatten();
    let plain = DecisionsServer::new(Plain(Arc::clone(&shared)));
    let envoy = ExternalProcessorServer::new(Envoy(shared));
    let mut drained = phases.clone();
    let draining = async move {
        reached(&mut drained, |phase| *phase != Phase::RunningServer).await;
        health.set_not_serving::<DecisionsServer<Plain>>().await;
        health.set_not_serving::<ExternalProcessorServer<Envoy>>().await;
    };
    let serving = tonic::transport::Server::builder()
        .max_concurrent_streams(Some(bounds.streams))
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE_ANSWER))
        .add_service(health_service)
        .add_optional_service(reflection)
        .add_service(plain.max_decoding_message_size(bounds.message_bytes))
        .add_service(envoy.max_decoding_message_size(bounds.message_bytes))
        .serve_with_incoming_shutdown(ReceiverStream::new(connections), draining);
    tokio::select! {
        _ = serving => {}
        () = reached(&mut phases, |phase| *phase == Phase::Ended) => {}
    }
}
