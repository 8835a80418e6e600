//! The external processor over loopback sockets: the program itself, stand-in callers that time out, vanish, lie and
//! flood, and the HTTP front beside them.

#[path = "../support/mod.rs"]
mod support;

use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Message;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as Said;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HttpBody, HttpHeaders, ProcessingRequest, ProcessingResponse, ProtocolConfiguration, body_mutation,
};
use external_processor::generated as pb;
use external_processor::generated::answer::Answer;
use external_processor::generated::decisions_client::DecisionsClient;
use serde_json::Value;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use support::*;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::{Code, Streaming};

/// Runs a test's calls; one that waits for what never comes is ended.
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("in time") })
}

/// The proxy with its external processor, before boxes that never are connected to.
struct Both {
    proxy: Proxy,
    callers: SocketAddr,
    discovery: Discovery,
}

fn boxes(count: u16) -> Vec<Value> {
    (0..count).map(|i| entry(&format!("b{i}"), box_address(i), "active", 0)).collect()
}

fn box_address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 1 + i))
}

fn both(name: &str, settings: &str, members: &[Value]) -> Both {
    let discovery = Discovery::start();
    let (proxy, callers) = Proxy::start_with_external_processor(name, &config(name, &discovery), settings);
    discovery.post(true, members);
    Both { proxy, callers, discovery }
}

async fn channel_to(address: SocketAddr) -> Channel {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).expect("an address");
    endpoint.connect().await.expect("a connection")
}

async fn plain(address: SocketAddr) -> DecisionsClient<Channel> {
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

fn said(answer: pb::Answer) -> Answer {
    answer.answer.expect("an answer")
}

async fn ask(client: &mut DecisionsClient<Channel>, request: pb::DecideRequest) -> Answer {
    said(client.decide(request).await.expect("an answer").into_inner())
}

async fn tell(client: &mut DecisionsClient<Channel>, request: pb::ReportRequest) -> Answer {
    said(client.report(request).await.expect("an answer").into_inner())
}

fn send(answer: Answer) -> pb::Send {
    match answer {
        Answer::Send(send) => send,
        other => panic!("{other:?} is no box"),
    }
}

fn end(answer: &Answer) -> (pb::End, bool) {
    match answer {
        Answer::Final(last) => (pb::End::try_from(last.end).expect("an end"), last.again),
        other => panic!("{other:?} is no end"),
    }
}

fn reason(answer: &Answer) -> pb::Reason {
    match answer {
        Answer::Rejected(rejected) => pb::Reason::try_from(rejected.reason).expect("a reason"),
        other => panic!("{other:?} is no rejection"),
    }
}

/// A stream of a plain caller.
struct Talk {
    questions: Option<mpsc::Sender<pb::Question>>,
    answers: Streaming<pb::TaggedAnswer>,
}

impl Talk {
    async fn begin(address: SocketAddr) -> Self {
        let (questions, outgoing) = mpsc::channel(16);
        let answers = plain(address).await.converse(ReceiverStream::new(outgoing)).await.expect("a stream");
        Self { questions: Some(questions), answers: answers.into_inner() }
    }

    async fn put(&self, tag: u64, question: pb::question::Question) {
        let questions = self.questions.as_ref().expect("still open");
        questions.send(pb::Question { tag, question: Some(question) }).await.expect("a stream");
    }

    async fn decide(&self, tag: u64, request: pb::DecideRequest) {
        self.put(tag, pb::question::Question::Decide(request)).await;
    }

    async fn report(&self, tag: u64, request: pb::ReportRequest) {
        self.put(tag, pb::question::Question::Report(request)).await;
    }

    async fn hear(&mut self) -> (u64, Answer) {
        let tagged = self.answers.message().await.expect("a stream").expect("an answer");
        (tagged.tag, said(tagged.answer.expect("an answer")))
    }
}

/// Asks until the answer is another one than that somebody holds it: whoever did is gone, but its end takes its way.
async fn ask_until_free(client: &mut DecisionsClient<Channel>, request: &pb::DecideRequest) -> Answer {
    loop {
        match ask(client, request.clone()).await {
            Answer::InFlight(_) => tokio::task::yield_now().await,
            other => return other,
        }
    }
}

// ---- The plain service ----

#[test]
fn a_request_goes_where_it_is_told_and_its_end_is_told_again() {
    let both = both("ep-plain", "", &boxes(4));
    run(async {
        let mut client = plain(both.callers).await;
        let first = send(ask(&mut client, decide("charge", "a")).await);
        assert_eq!((first.attempt, first.repeat), (0, pb::Repeat::IfNeverRan as i32));
        assert!(first.send_within_ms <= 250 && first.wait_ms > 0, "{first:?}");
        let second = send(tell(&mut client, report(&first.lease, pb::Outcome::CouldNotConnect)).await);
        assert_ne!(first.endpoint, second.endpoint);
        let wrong =
            pb::ReportRequest { endpoint: first.endpoint, ..report(&second.lease, pb::Outcome::Served) };
        assert_eq!(reason(&tell(&mut client, wrong).await), pb::Reason::Endpoint);
        let served = tell(&mut client, report(&second.lease, pb::Outcome::Served)).await;
        assert_eq!(end(&served), (pb::End::Served, false));
        let again = tell(&mut client, report(&second.lease, pb::Outcome::Served)).await;
        assert_eq!(reason(&again), pb::Reason::LeaseDoubled);
        assert_eq!(end(&ask(&mut client, decide("charge", "a")).await), (pb::End::Served, true));
        let nonsense = ask(&mut client, decide("nothing", "b")).await;
        assert_eq!(reason(&nonsense), pb::Reason::Invalid);
    });
}

#[test]
fn a_caller_that_times_out_while_it_waits_leaves_no_trace() {
    // No box: the question is held until its caller's deadline.
    let both = both("ep-timeout", "", &[]);
    run(async {
        let mut client = plain(both.callers).await;
        let mut hurried = tonic::Request::new(decide("charge", "a"));
        hurried.set_timeout(std::time::Duration::from_millis(50));
        let code = client.decide(hurried).await.expect_err("its deadline is over").code();
        assert!(matches!(code, Code::Cancelled | Code::DeadlineExceeded), "{code:?}");
        // Asked again until nobody holds it: then it is held for the one who asks, and only the report is answered.
        let mut talk = Talk::begin(both.callers).await;
        let unknown = "0000000000000000-0000000000000001";
        let mut tag = 1;
        loop {
            talk.decide(tag, decide("charge", "a")).await;
            talk.report(tag + 1, report(unknown, pb::Outcome::Served)).await;
            match talk.hear().await {
                (_, Answer::InFlight(_)) => assert_eq!(talk.hear().await.0, tag + 1),
                (heard, _) => break assert_eq!(heard, tag + 1),
            }
            tag += 2;
        }
        both.discovery.post(true, &boxes(2));
        let (heard, answer) = talk.hear().await;
        assert_eq!((heard, send(answer).attempt), (tag, 0), "decided anew: nothing had run");
    });
}

#[test]
fn a_stream_that_breaks_with_a_box_in_hand_may_have_sent() {
    let both = both("ep-broken", "", &boxes(4));
    run(async {
        let mut talk = Talk::begin(both.callers).await;
        talk.decide(1, decide("submit", "a")).await;
        let (tag, answer) = talk.hear().await;
        let lease = send(answer).lease;
        assert_eq!(tag, 1);
        drop(talk);
        let mut other = plain(both.callers).await;
        let answer = ask_until_free(&mut other, &decide("submit", "a")).await;
        assert_eq!(end(&answer), (pb::End::Unknown, true));
        let late = tell(&mut other, report(&lease, pb::Outcome::Served)).await;
        assert_eq!(reason(&late), pb::Reason::LeaseDoubled);
    });
}

#[test]
fn a_stream_that_ends_in_good_order_gives_back_what_it_holds() {
    let both = both("ep-half", "", &boxes(4));
    run(async {
        let mut talk = Talk::begin(both.callers).await;
        talk.decide(1, decide("charge", "a")).await;
        talk.hear().await;
        talk.questions = None;
        assert!(talk.answers.message().await.expect("no fault").is_none(), "the stream ends on both sides");
        let mut other = plain(both.callers).await;
        assert_eq!(end(&ask(&mut other, decide("charge", "a")).await), (pb::End::Unknown, true));
    });
}

#[test]
fn one_submit_has_one_attempt_through_all_three_ways() {
    let (release, word) = channel();
    let mut word = Some(word);
    let backend = Backend::start(move |_| match word.take() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("first"))),
        None => ok("later"),
    });
    let both = both("ep-ways", "", &[entry("b0", backend.address, "active", 0)]);
    let mut client = both.proxy.client();
    client.send(&request("submit", "k1", "x"));
    backend.next_request();
    run(async {
        // A client of the HTTP front holds it.
        let mut caller = plain(both.callers).await;
        let by_key = pb::DecideRequest { id: b"other".to_vec(), ..decide("submit", "k1") };
        match ask(&mut caller, by_key).await {
            Answer::InFlight(held) => assert!(held.by_key && held.ask_again_ms > 0),
            other => panic!("{other:?}"),
        }
        let (status, headers) = immediate(envoy_once(both.callers, &head("submit", "k1")).await);
        assert_eq!(status, 503);
        assert!(headers.contains(&("retry-after".into(), "1".into())), "{headers:?}");
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"first");
        assert_eq!(end(&ask(&mut caller, decide("submit", "k1")).await), (pb::End::Served, true));
        assert_eq!(immediate(envoy_once(both.callers, &head("submit", "k1")).await).0, 409);

        // And a caller holds one that the others want.
        let lease = send(ask(&mut caller, decide("submit", "k2")).await).lease;
        assert_eq!(both.proxy.client().exchange(&request("submit", "k2", "x")).status(), 503);
        assert_eq!(immediate(envoy_once(both.callers, &head("submit", "k2")).await).0, 503);
        let served = tell(&mut caller, report(&lease, pb::Outcome::Served)).await;
        assert_eq!(end(&served), (pb::End::Served, false));
        assert_eq!(both.proxy.client().exchange(&request("submit", "k2", "x")).status(), 409);
    });
    assert_eq!(backend.take_request_count(), 0, "the box saw one submit");
}

#[test]
fn a_restart_makes_old_leases_plainly_foreign_and_sends_nothing_again() {
    const LEASES: u64 = 600;
    let mut both = both("ep-restart", "", &boxes(600));
    let old = run(async {
        let mut talk = Talk::begin(both.callers).await;
        let mut old = Vec::new();
        for tag in 1..=LEASES {
            talk.decide(tag, decide("charge", &format!("r{tag}"))).await;
            let (_, answer) = talk.hear().await;
            old.push((tag, send(answer).lease));
        }
        old
    });
    both.proxy.child.kill().expect("killed");
    both.proxy.wait();
    let again = self::both("ep-restarted", "", &boxes(600));
    run(async {
        let mut client = plain(again.callers).await;
        for (tag, lease) in &old {
            let told = tell(&mut client, report(lease, pb::Outcome::Served)).await;
            assert_eq!(reason(&told), pb::Reason::LeaseForeign);
            let prior =
                pb::DecideRequest { prior_lease: lease.clone(), ..decide("charge", &format!("r{tag}")) };
            assert_eq!(end(&ask(&mut client, prior).await).0, pb::End::Unknown, "it may have run");
        }
    });
}

#[test]
fn a_drain_of_the_box_asks_the_lease_back_and_gives_another_box() {
    let both = both("ep-drain", "", &boxes(2));
    run(async {
        let mut talk = Talk::begin(both.callers).await;
        talk.decide(1, decide("charge", "a")).await;
        let first = send(talk.hear().await.1);
        let index = u16::from(first.endpoint == box_address(1).to_string());
        both.discovery.post(false, &[entry(&format!("b{index}"), box_address(index), "leaving", 0)]);
        match talk.hear().await {
            (0, Answer::Revoked(revoked)) => assert_eq!(revoked.lease, first.lease),
            other => panic!("{other:?}"),
        }
        talk.report(2, report(&first.lease, pb::Outcome::NotSent)).await;
        let second = send(talk.hear().await.1);
        assert_eq!(second.endpoint, box_address(1 - index).to_string());
        // And nothing new goes to it.
        for tag in 3..13 {
            talk.decide(tag, decide("read", &format!("r{tag}"))).await;
            if let Answer::Send(send) = talk.hear().await.1 {
                assert_ne!(send.endpoint, first.endpoint);
                talk.report(tag, report(&send.lease, pb::Outcome::Served)).await;
                talk.hear().await;
            }
        }
    });
}

#[test]
fn sigterm_takes_nothing_new_and_settles_what_is_open() {
    let mut both = both("ep-term", "", &boxes(4));
    run(async {
        let mut talk = Talk::begin(both.callers).await;
        talk.decide(1, decide("charge", "a")).await;
        let lease = send(talk.hear().await.1).lease;
        both.proxy.terminate();
        // The signal takes its way; from then on every question is rejected.
        for tag in 2.. {
            talk.decide(tag, decide("read", &format!("r{tag}"))).await;
            match talk.hear().await.1 {
                Answer::Send(send) => {
                    talk.report(tag, report(&send.lease, pb::Outcome::Served)).await;
                    talk.hear().await;
                }
                answer => {
                    assert_eq!(reason(&answer), pb::Reason::Draining);
                    break;
                }
            }
        }
        talk.report(1, report(&lease, pb::Outcome::Served)).await;
        assert_eq!(end(&talk.hear().await.1), (pb::End::Served, false));
    });
    assert!(both.proxy.wait().success());
}

#[test]
fn nonsense_floods_and_slow_callers_hold_up_nobody_else() {
    let settings = "[bounds]\nconnections = 8\nper_caller = 64\nmessage_bytes = 4096\n";
    let both = both("ep-chaos", settings, &boxes(40));
    run(async {
        let mut good = plain(both.callers).await;
        // Bytes that are no HTTP/2.
        for seed in 0..20 {
            let mut rng = fastrand_bytes(seed);
            let mut stream = TcpStream::connect(both.callers).expect("a connection");
            let _ = stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
            let _ = stream.write_all(&rng.by_ref().take(300).collect::<Vec<u8>>());
        }
        // A message beyond the bound.
        let large = pb::DecideRequest { id: vec![b'x'; 8_192], ..decide("read", "") };
        let refused = good.decide(large).await.expect_err("too large").code();
        assert_eq!(refused, Code::OutOfRange);
        // A caller that asks and never reads: its connection is full of answers, and then it is cut.
        let deaf = Talk::begin(both.callers).await;
        let floods = tokio::spawn(async move {
            for tag in 1.. {
                let question = pb::Question { tag, question: None };
                if deaf.questions.as_ref().expect("open").send(question).await.is_err() {
                    break;
                }
            }
        });
        for i in 0..20 {
            let lease = send(ask(&mut good, decide("read", &format!("r{i}"))).await).lease;
            let told = tell(&mut good, report(&lease, pb::Outcome::Served)).await;
            assert_eq!(end(&told), (pb::End::Served, false));
        }
        // Connections beyond the bound are closed, those that stand go on.
        let idle: Vec<TcpStream> =
            (0..16).map(|_| TcpStream::connect(both.callers).expect("a connection")).collect();
        for mut beyond in &idle[8..] {
            beyond.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
            let ended = beyond.read(&mut [0; 64]);
            assert!(!matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock), "{ended:?}");
        }
        floods.abort();
        let lease = send(ask(&mut good, decide("read", "last")).await).lease;
        tell(&mut good, report(&lease, pb::Outcome::Served)).await;
    });
}

fn fastrand_bytes(seed: u64) -> impl Iterator<Item = u8> {
    // A plain congruence: the bytes only have to be the same each time.
    let mut state = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    std::iter::repeat_with(move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    })
}

#[test]
fn settings_that_make_no_sense_are_told_and_nothing_starts() {
    let discovery = Discovery::start();
    let bad = spawn_with_external_processor(
        "ep-bad",
        &config("ep-bad", &discovery).to_string(),
        "[bounds]\nqueue = 0\n",
    );
    let output = bad.wait_with_output().expect("it ends");
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(log.contains("`bounds.queue` is 0"), "{log}");
}

#[test]
fn health_is_told_and_reflection_only_if_asked_for() {
    use tonic_health::pb::health_client::HealthClient;
    use tonic_health::pb::{HealthCheckRequest, health_check_response::ServingStatus};
    use tonic_reflection::pb::v1::server_reflection_client::ServerReflectionClient;
    use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
    use tonic_reflection::pb::v1::{ServerReflectionRequest, server_reflection_response::MessageResponse};
    for (name, settings, reflects) in [("ep-bare", "", false), ("ep-reflect", "reflection = true\n", true)] {
        let both = both(name, settings, &boxes(1));
        run(async {
            let channel = channel_to(both.callers).await;
            for service in
                ["haventrack.decisions.v1.Decisions", "envoy.service.ext_proc.v3.ExternalProcessor"]
            {
                let check = HealthCheckRequest { service: service.into() };
                let status = HealthClient::new(channel.clone()).check(check).await.expect("a status");
                assert_eq!(status.into_inner().status(), ServingStatus::Serving, "{service}");
            }
            let list = ServerReflectionRequest {
                host: String::new(),
                message_request: Some(MessageRequest::ListServices(String::new())),
            };
            let asked = tokio_stream::iter([list]);
            match ServerReflectionClient::new(channel).server_reflection_info(asked).await {
                Err(status) => assert!(!reflects && status.code() == Code::Unimplemented, "{status}"),
                Ok(told) => {
                    let told = told.into_inner().message().await.expect("a stream").expect("an answer");
                    let Some(MessageResponse::ListServicesResponse(told)) = told.message_response else {
                        panic!("{told:?}")
                    };
                    assert!(
                        reflects
                            && told.service.iter().any(|s| s.name == "haventrack.decisions.v1.Decisions")
                    );
                }
            }
        });
    }
}

// ---- Envoy ----

fn value(name: &str, value: &[u8]) -> HeaderValue {
    HeaderValue { key: name.into(), value: String::new(), raw_value: value.to_vec() }
}

fn head(class: &str, id: &str) -> Vec<HeaderValue> {
    let mut head = vec![
        value(":method", b"POST"),
        value(":path", format!("/{class}?key=7f3a").as_bytes()),
        value("x-correlation-id", id.as_bytes()),
        value("x-time-left-ms", b"15000"),
    ];
    if class == "submit" {
        head.push(value("idempotency-key", id.as_bytes()));
    }
    head
}

fn message(request: Message) -> ProcessingRequest {
    ProcessingRequest { request: Some(request), ..ProcessingRequest::default() }
}

fn headers(head: &[HeaderValue]) -> HttpHeaders {
    HttpHeaders { headers: Some(HeaderMap { headers: head.to_vec() }), ..HttpHeaders::default() }
}

/// A stream of Envoy's filter.
struct Filter {
    messages: mpsc::Sender<ProcessingRequest>,
    responses: Streaming<ProcessingResponse>,
}

impl Filter {
    async fn begin(address: SocketAddr) -> Self {
        let (messages, outgoing) = mpsc::channel(8);
        let mut client = ExternalProcessorClient::new(channel_to(address).await);
        let responses = client.process(ReceiverStream::new(outgoing)).await.expect("a stream").into_inner();
        Self { messages, responses }
    }

    async fn say(&mut self, message: ProcessingRequest) -> ProcessingResponse {
        self.messages.send(message).await.expect("a stream");
        self.responses.message().await.expect("a stream").expect("a response")
    }
}

/// The response to these request headers, on a stream of their own that then ends.
async fn envoy_once(address: SocketAddr, head: &[HeaderValue]) -> ProcessingResponse {
    Filter::begin(address).await.say(message(Message::RequestHeaders(headers(head)))).await
}

fn immediate(response: ProcessingResponse) -> (i32, Vec<(String, String)>) {
    let Some(Said::ImmediateResponse(said)) = response.response else { panic!("{response:?}") };
    let set = said.headers.unwrap_or_default().set_headers.into_iter().filter_map(|option| option.header);
    let set = set.map(|h| (h.key, String::from_utf8(h.raw_value).expect("text")));
    (said.status.expect("a status").code, set.collect())
}

fn destination(response: &ProcessingResponse) -> String {
    let Some(Said::RequestHeaders(said)) = &response.response else { panic!("{response:?}") };
    let mutation = said.response.as_ref().and_then(|r| r.header_mutation.as_ref()).expect("a mutation");
    let set = mutation.set_headers.iter().filter_map(|option| option.header.as_ref());
    let mut found = set.filter(|h| h.key == "x-gateway-destination-endpoint");
    String::from_utf8(found.next().expect("a box").raw_value.clone()).expect("text")
}

#[test]
fn envoy_is_told_the_box_in_a_header_and_in_metadata_and_its_response_is_the_report() {
    let both = both("ep-envoy", "", &boxes(4));
    run(async {
        let mut filter = Filter::begin(both.callers).await;
        let told = filter.say(message(Message::RequestHeaders(headers(&head("submit", "a"))))).await;
        let to = destination(&told);
        assert!(to.starts_with("127.0.0.9:"), "{to}");
        let metadata = format!("{:?}", told.dynamic_metadata.as_ref().expect("metadata"));
        assert!(metadata.contains("envoy.lb") && metadata.contains(&to), "{metadata}");
        assert!(told.mode_override.is_some());
        let response = headers(&[value(":status", b"200")]);
        let passed = filter.say(message(Message::ResponseHeaders(response))).await;
        assert!(matches!(passed.response, Some(Said::ResponseHeaders(_))), "{passed:?}");
        let mut caller = plain(both.callers).await;
        assert_eq!(end(&ask(&mut caller, decide("submit", "a")).await), (pb::End::Served, true));
    });
}

#[test]
fn what_a_box_turned_away_envoy_hears_as_a_refusal_and_the_key_is_free() {
    let both = both("ep-away", "", &boxes(4));
    run(async {
        let mut filter = Filter::begin(both.callers).await;
        filter.say(message(Message::RequestHeaders(headers(&head("submit", "a"))))).await;
        let away = headers(&[value(":status", b"503"), value("x-unprocessed", b"1")]);
        assert_eq!(immediate(filter.say(message(Message::ResponseHeaders(away))).await).0, 503);
        let mut caller = plain(both.callers).await;
        let again = pb::DecideRequest { id: b"b".to_vec(), ..decide("submit", "a") };
        assert_eq!(send(ask(&mut caller, again).await).attempt, 0);
    });
}

#[test]
fn an_envoy_that_vanishes_after_its_box_may_have_sent() {
    let both = both("ep-gone", "", &boxes(4));
    run(async {
        let told = envoy_once(both.callers, &head("submit", "a")).await;
        destination(&told);
        let mut caller = plain(both.callers).await;
        let answer = ask_until_free(&mut caller, &decide("submit", "a")).await;
        assert_eq!(end(&answer), (pb::End::Unknown, true));
    });
}

#[test]
fn heads_that_make_no_sense_are_answered_with_what_is_wrong() {
    let both = both("ep-heads", "", &boxes(4));
    run(async {
        let twice = [head("charge", "a"), vec![value("x-correlation-id", b"b")]].concat();
        let no_text = [head("charge", "a"), vec![value("x-service-class", b"\xff\xfe")]].concat();
        let missing = vec![value(":path", b"/charge")];
        for (bad, says) in [
            (twice, "`x-correlation-id` comes more than once"),
            (no_text, "`x-service-class` is not UTF-8"),
            (missing, "`x-correlation-id` is missing"),
        ] {
            let response = envoy_once(both.callers, &bad).await;
            let Some(Said::ImmediateResponse(said)) = response.response else { panic!("{response:?}") };
            assert_eq!(said.status.expect("a status").code, 400);
            assert_eq!(String::from_utf8_lossy(&said.body).trim_end(), says);
        }
        let mut filter = Filter::begin(both.callers).await;
        let early = HttpBody { body: b"x".to_vec(), ..HttpBody::default() };
        filter.messages.send(message(Message::RequestBody(early))).await.expect("a stream");
        let broken = filter.responses.message().await.expect_err("the order is broken");
        assert_eq!(broken.code(), Code::FailedPrecondition);
    });
}

#[test]
fn a_body_of_64_kib_in_pieces_comes_back_as_it_went() {
    let both = both("ep-body", "", &boxes(4));
    run(async {
        let mut filter = Filter::begin(both.callers).await;
        // BodySendMode::FullDuplexStreamed
        let modes = ProtocolConfiguration { request_body_mode: 4, ..ProtocolConfiguration::default() };
        let first = message(Message::RequestHeaders(headers(&head("submit", "a"))));
        let told = filter.say(ProcessingRequest { protocol_config: Some(modes), ..first }).await;
        assert!(told.mode_override.is_none(), "Envoy takes none in this mode");
        let body: Vec<u8> = (0..65_536_u32).map(|i| (i % 251) as u8).collect();
        let mut back = Vec::new();
        for (i, piece) in body.chunks(1_000).enumerate() {
            let end_of_stream = (i + 1) * 1_000 >= body.len();
            let piece = HttpBody { body: piece.to_vec(), end_of_stream, ..HttpBody::default() };
            let response = filter.say(message(Message::RequestBody(piece))).await;
            let Some(Said::RequestBody(said)) = response.response else { panic!("{response:?}") };
            let mutation = said.response.and_then(|r| r.body_mutation).and_then(|m| m.mutation);
            let Some(body_mutation::Mutation::StreamedResponse(piece)) = mutation else {
                panic!("{mutation:?}")
            };
            back.extend(piece.body);
            assert_eq!(piece.end_of_stream, end_of_stream);
        }
        assert_eq!(back, body);
    });
}

#[test]
fn an_envoy_that_only_shows_what_it_does_takes_no_slot() {
    let both = both("ep-watch", "", &boxes(1));
    run(async {
        for i in 0..20 {
            let filter = Filter::begin(both.callers).await;
            let shown = message(Message::RequestHeaders(headers(&head("charge", &format!("r{i}")))));
            let shown = ProcessingRequest { observability_mode: true, ..shown };
            filter.messages.send(shown).await.expect("a stream");
        }
        let mut caller = plain(both.callers).await;
        for i in 0..2 {
            send(ask(&mut caller, decide("charge", &format!("r{i}"))).await);
        }
    });
}
