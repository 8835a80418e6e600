//! The external processor over loopback sockets: the executable itself, with clients that time out, disconnect, send
//! invalid messages and flood it, and the HTTP front end beside them.

mod decisions;
mod envoy;
mod lifecycle;
#[path = "../support/mod.rs"]
mod support;

use external_processor::generated as pb;
use external_processor::generated::answer::Answer;
use external_processor::generated::decisions_client::DecisionsClient;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use support::*;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;

/// Runs the calls of a test, at most for [`TEST_TIMEOUT`].
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("in time") })
}

/// A proxy with an external processor, whose backends are never connected to.
struct ProxyUnderTest {
    process: Proxy,
    external_processor: SocketAddr,
    discovery: Discovery,
}

fn backend_entries(count: u16) -> Vec<Value> {
    (0..count).map(|i| entry(&format!("b{i}"), backend_address(i), "active", 0)).collect()
}

fn backend_address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 1 + i))
}

fn start_proxy(name: &str, settings: &str, members: &[Value]) -> ProxyUnderTest {
    let discovery = Discovery::start();
    let (process, external_processor) =
        Proxy::start_with_external_processor(name, &config(name, &discovery), settings);
    discovery.post(true, members);
    ProxyUnderTest { process, external_processor, discovery }
}

async fn channel_to(address: SocketAddr) -> Channel {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).expect("an address");
    endpoint.connect().await.expect("a connection")
}

async fn connect_client(address: SocketAddr) -> DecisionsClient<Channel> {
    DecisionsClient::new(channel_to(address).await)
}

fn decide(class: &str, id: &str) -> pb::DecideRequest {
    let keyed = class == "submit";
    pb::DecideRequest {
        id: id.into(),
        class: class.into(),
        idempotency_key: if keyed { id.into() } else { Vec::new() },
        ..pb::DecideRequest::default()
    }
}

fn report(lease: &str, outcome: pb::Outcome) -> pb::ReportRequest {
    pb::ReportRequest { lease: lease.into(), outcome: outcome as i32, ..pb::ReportRequest::default() }
}

fn unwrap_answer(answer: pb::Answer) -> Answer {
    answer.answer.expect("an answer")
}

async fn send_decide(client: &mut DecisionsClient<Channel>, request: pb::DecideRequest) -> Answer {
    unwrap_answer(client.decide(request).await.expect("an answer").into_inner())
}

async fn send_report(client: &mut DecisionsClient<Channel>, request: pb::ReportRequest) -> Answer {
    unwrap_answer(client.report(request).await.expect("an answer").into_inner())
}

fn expect_send(answer: Answer) -> pb::Send {
    match answer {
        Answer::Send(send) => send,
        other => panic!("{other:?} is no grant"),
    }
}

fn expect_final(answer: &Answer) -> (pb::End, bool) {
    match answer {
        Answer::Final(last) => (pb::End::try_from(last.end).expect("an end"), last.again),
        other => panic!("{other:?} is not final"),
    }
}

fn expect_rejection(answer: &Answer) -> pb::Reason {
    match answer {
        Answer::Rejected(rejected) => pb::Reason::try_from(rejected.reason).expect("a reason"),
        other => panic!("{other:?} is no rejection"),
    }
}

/// A stream of the decision service.
struct Conversation {
    questions: Option<mpsc::Sender<pb::Question>>,
    answers: Streaming<pb::TaggedAnswer>,
}

impl Conversation {
    async fn open(address: SocketAddr) -> Self {
        let (questions, outgoing) = mpsc::channel(16);
        let answers =
            connect_client(address).await.converse(ReceiverStream::new(outgoing)).await.expect("a stream");
        Self { questions: Some(questions), answers: answers.into_inner() }
    }

    async fn send(&self, tag: u64, question: pb::question::Question) {
        let questions = self.questions.as_ref().expect("still open");
        questions.send(pb::Question { tag, question: Some(question) }).await.expect("a stream");
    }

    async fn decide(&self, tag: u64, request: pb::DecideRequest) {
        self.send(tag, pb::question::Question::Decide(request)).await;
    }

    async fn report(&self, tag: u64, request: pb::ReportRequest) {
        self.send(tag, pb::question::Question::Report(request)).await;
    }

    async fn receive(&mut self) -> (u64, Answer) {
        let tagged = self.answers.message().await.expect("a stream").expect("an answer");
        (tagged.tag, unwrap_answer(tagged.answer.expect("an answer")))
    }
}

/// Repeats a decision while its request is in flight: the client that held it is gone, but its end is processed later.
async fn decide_until_free(client: &mut DecisionsClient<Channel>, request: &pb::DecideRequest) -> Answer {
    loop {
        match send_decide(client, request.clone()).await {
            Answer::InFlight(_) => tokio::task::yield_now().await,
            other => return other,
        }
    }
}
