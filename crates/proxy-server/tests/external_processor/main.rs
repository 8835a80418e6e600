//! The external processor of the running executable over loopback sockets, together with the HTTP front end.
//! Clients time out, disconnect, send invalid messages and flood it.

mod decisions;
mod envoy;
mod lifecycle;
mod reload;
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

/// Runs the calls of a test; panics when they take longer than [`TEST_TIMEOUT`].
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is built");
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("the calls finish in time") })
}

/// A proxy with an external processor. Nothing listens at the addresses of its backends.
struct ProxyUnderTest {
    process: Proxy,
    external_processor: SocketAddr,
    discovery: Discovery,
}

fn backend_entries(count: u16) -> Vec<Value> {
    (0..count).map(|i| backend_entry(&format!("b{i}"), backend_address(i), "active", 0)).collect()
}

fn backend_address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 1 + i))
}

fn start_proxy(name: &str, settings: &str, members: &[Value]) -> ProxyUnderTest {
    let discovery = Discovery::start();
    let (process, external_processor) =
        Proxy::start_with_external_processor(name, &proxy_config(name, &discovery), settings);
    discovery.publish_and_wait(true, members);
    ProxyUnderTest { process, external_processor, discovery }
}

async fn channel_to(address: SocketAddr) -> Channel {
    let endpoint =
        tonic::transport::Endpoint::from_shared(format!("http://{address}")).expect("the URI is valid");
    endpoint.connect().await.expect("the channel connects")
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
    answer.answer.expect("the answer is set")
}

async fn send_decide(client: &mut DecisionsClient<Channel>, request: pb::DecideRequest) -> Answer {
    unwrap_answer(client.decide(request).await.expect("the call succeeds").into_inner())
}

async fn send_report(client: &mut DecisionsClient<Channel>, request: pb::ReportRequest) -> Answer {
    unwrap_answer(client.report(request).await.expect("the call succeeds").into_inner())
}

fn expect_send(answer: Answer) -> pb::Send {
    match answer {
        Answer::Send(send) => send,
        other => panic!("{other:?} grants no lease"),
    }
}

/// The final outcome, and whether an earlier answer had already returned it.
fn expect_final(answer: &Answer) -> (pb::End, bool) {
    match answer {
        Answer::Final(outcome) => (pb::End::try_from(outcome.end).expect("a defined end"), outcome.again),
        other => panic!("{other:?} is no final outcome"),
    }
}

fn expect_rejection(answer: &Answer) -> pb::Reason {
    match answer {
        Answer::Rejected(rejected) => pb::Reason::try_from(rejected.reason).expect("a defined reason"),
        other => panic!("{other:?} is no rejection"),
    }
}

/// A `Converse` stream of the decision service.
struct Conversation {
    questions: Option<mpsc::Sender<pb::Question>>,
    answers: Streaming<pb::TaggedAnswer>,
}

impl Conversation {
    async fn open(address: SocketAddr) -> Self {
        let (questions, outgoing) = mpsc::channel(16);
        let answers = connect_client(address)
            .await
            .converse(ReceiverStream::new(outgoing))
            .await
            .expect("the stream opens");
        Self { questions: Some(questions), answers: answers.into_inner() }
    }

    async fn send(&self, tag: u64, question: pb::question::Question) {
        let questions = self.questions.as_ref().expect("the request side is open");
        questions.send(pb::Question { tag, question: Some(question) }).await.expect("the stream is open");
    }

    async fn decide(&self, tag: u64, request: pb::DecideRequest) {
        self.send(tag, pb::question::Question::Decide(request)).await;
    }

    async fn report(&self, tag: u64, request: pb::ReportRequest) {
        self.send(tag, pb::question::Question::Report(request)).await;
    }

    async fn receive(&mut self) -> (u64, Answer) {
        let tagged =
            self.answers.message().await.expect("the stream is open").expect("the stream has an answer");
        (tagged.tag, unwrap_answer(tagged.answer.expect("the answer is set")))
    }
}

/// Requests a decision until the request is no longer in flight: the proxy may process the disconnect of the
/// client that had it only later.
async fn decide_until_free(client: &mut DecisionsClient<Channel>, request: &pb::DecideRequest) -> Answer {
    loop {
        match send_decide(client, request.clone()).await {
            Answer::InFlight(_) => tokio::task::yield_now().await,
            other => return other,
        }
    }
}
