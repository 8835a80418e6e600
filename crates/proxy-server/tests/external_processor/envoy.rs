//! The front end for Envoy's external processing filter.

use crate::{
    backend_entries, channel_to, connect_client, decide, decide_until_free, expect_final, expect_send, run,
    send_decide, start_proxy,
};
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as RequestKind;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as ResponseKind;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HttpBody, HttpHeaders, ProcessingRequest, ProcessingResponse, ProtocolConfiguration, body_mutation,
};
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use external_processor::generated as pb;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming};

fn header_value(name: &str, value: &[u8]) -> HeaderValue {
    HeaderValue { key: name.into(), value: String::new(), raw_value: value.to_vec() }
}

pub fn request_head(class: &str, id: &str) -> Vec<HeaderValue> {
    let mut head = vec![
        header_value(":method", b"POST"),
        header_value(":path", format!("/{class}?key=7f3a").as_bytes()),
        header_value("x-correlation-id", id.as_bytes()),
        header_value("x-time-left-ms", b"15000"),
    ];
    if class == "submit" {
        head.push(header_value("idempotency-key", id.as_bytes()));
    }
    head
}

fn processing_request(request: RequestKind) -> ProcessingRequest {
    ProcessingRequest { request: Some(request), ..ProcessingRequest::default() }
}

fn http_headers(head: &[HeaderValue]) -> HttpHeaders {
    HttpHeaders { headers: Some(HeaderMap { headers: head.to_vec() }), ..HttpHeaders::default() }
}

/// A stream as Envoy's external processing filter opens it, one per HTTP request.
struct EnvoyFilter {
    messages: mpsc::Sender<ProcessingRequest>,
    responses: Streaming<ProcessingResponse>,
}

impl EnvoyFilter {
    async fn open(address: SocketAddr) -> Self {
        let (messages, outgoing) = mpsc::channel(8);
        let mut client = ExternalProcessorClient::new(channel_to(address).await);
        let responses =
            client.process(ReceiverStream::new(outgoing)).await.expect("the stream opens").into_inner();
        Self { messages, responses }
    }

    async fn exchange(&mut self, message: ProcessingRequest) -> ProcessingResponse {
        self.messages.send(message).await.expect("the stream is open");
        self.responses.message().await.expect("the stream is open").expect("the stream has a response")
    }
}

/// The response to these request headers, on a stream that then ends.
pub async fn envoy_decision(address: SocketAddr, head: &[HeaderValue]) -> ProcessingResponse {
    EnvoyFilter::open(address)
        .await
        .exchange(processing_request(RequestKind::RequestHeaders(http_headers(head))))
        .await
}

/// The status and the headers of an immediate response.
pub fn immediate_response(response: ProcessingResponse) -> (i32, Vec<(String, String)>) {
    let Some(ResponseKind::ImmediateResponse(response)) = response.response else { panic!("{response:?}") };
    let headers =
        response.headers.unwrap_or_default().set_headers.into_iter().filter_map(|option| option.header);
    let headers = headers.map(|h| (h.key, String::from_utf8(h.raw_value).expect("the header is UTF-8")));
    (response.status.expect("the response has a status").code, headers.collect())
}

/// The backend's address in the header that Envoy routes by.
fn destination_endpoint(response: &ProcessingResponse) -> String {
    let Some(ResponseKind::RequestHeaders(response)) = &response.response else { panic!("{response:?}") };
    let mutation = response
        .response
        .as_ref()
        .and_then(|r| r.header_mutation.as_ref())
        .expect("the response mutates headers");
    let headers = mutation.set_headers.iter().filter_map(|option| option.header.as_ref());
    let mut destinations = headers.filter(|h| h.key == "x-gateway-destination-endpoint");
    String::from_utf8(destinations.next().expect("the header is set").raw_value.clone())
        .expect("the header is UTF-8")
}

#[test]
fn envoy_receives_the_backend_in_header_and_metadata() {
    let proxy = start_proxy("ep-envoy", "", &backend_entries(4));
    run(async {
        let mut filter = EnvoyFilter::open(proxy.external_processor).await;
        let response = filter
            .exchange(processing_request(RequestKind::RequestHeaders(http_headers(&request_head(
                "submit", "a",
            )))))
            .await;
        let endpoint = destination_endpoint(&response);
        assert!(endpoint.starts_with("127.0.0.9:"), "{endpoint}");
        let metadata =
            format!("{:?}", response.dynamic_metadata.as_ref().expect("the response has metadata"));
        assert!(metadata.contains("envoy.lb") && metadata.contains(&endpoint), "{metadata}");
        assert!(response.mode_override.is_some());
        let response = http_headers(&[header_value(":status", b"200")]);
        let passed = filter.exchange(processing_request(RequestKind::ResponseHeaders(response))).await;
        assert!(matches!(passed.response, Some(ResponseKind::ResponseHeaders(_))), "{passed:?}");
        let mut client = connect_client(proxy.external_processor).await;
        assert_eq!(
            expect_final(&send_decide(&mut client, decide("submit", "a")).await),
            (pb::End::Served, true)
        );
    });
}

#[test]
fn unprocessed_response_rejects_the_request_and_releases_the_key() {
    let proxy = start_proxy("ep-unprocessed", "", &backend_entries(4));
    run(async {
        let mut filter = EnvoyFilter::open(proxy.external_processor).await;
        filter
            .exchange(processing_request(RequestKind::RequestHeaders(http_headers(&request_head(
                "submit", "a",
            )))))
            .await;
        let unprocessed =
            http_headers(&[header_value(":status", b"503"), header_value("x-unprocessed", b"1")]);
        assert_eq!(
            immediate_response(
                filter.exchange(processing_request(RequestKind::ResponseHeaders(unprocessed))).await
            )
            .0,
            503
        );
        let mut client = connect_client(proxy.external_processor).await;
        let same_key = pb::DecideRequest { id: b"b".to_vec(), ..decide("submit", "a") };
        assert_eq!(expect_send(send_decide(&mut client, same_key).await).attempt, 0);
    });
}

#[test]
fn lease_of_a_disconnected_envoy_counts_as_possibly_sent() {
    let proxy = start_proxy("ep-disconnected", "", &backend_entries(4));
    run(async {
        let response = envoy_decision(proxy.external_processor, &request_head("submit", "a")).await;
        destination_endpoint(&response);
        let mut client = connect_client(proxy.external_processor).await;
        let answer = decide_until_free(&mut client, &decide("submit", "a")).await;
        assert_eq!(expect_final(&answer), (pb::End::Unknown, true));
    });
}

#[test]
fn invalid_heads_are_rejected_with_the_reason() {
    let proxy = start_proxy("ep-heads", "", &backend_entries(4));
    run(async {
        let duplicate = [request_head("charge", "a"), vec![header_value("x-correlation-id", b"b")]].concat();
        let not_utf8 =
            [request_head("charge", "a"), vec![header_value("x-service-class", b"\xff\xfe")]].concat();
        let missing = vec![header_value(":path", b"/charge")];
        for (head, expected) in [
            (duplicate, "`x-correlation-id` comes more than once"),
            (not_utf8, "`x-service-class` is not UTF-8"),
            (missing, "`x-correlation-id` is missing"),
        ] {
            let response = envoy_decision(proxy.external_processor, &head).await;
            let Some(ResponseKind::ImmediateResponse(response)) = response.response else {
                panic!("{response:?}")
            };
            assert_eq!(response.status.expect("the response has a status").code, 400);
            assert_eq!(String::from_utf8_lossy(&response.body).trim_end(), expected);
        }
        let mut filter = EnvoyFilter::open(proxy.external_processor).await;
        let body = HttpBody { body: b"x".to_vec(), ..HttpBody::default() };
        filter
            .messages
            .send(processing_request(RequestKind::RequestBody(body)))
            .await
            .expect("the stream is open");
        let status = filter.responses.message().await.expect_err("a body before the head is rejected");
        assert_eq!(status.code(), Code::FailedPrecondition);
    });
}

#[test]
fn streamed_body_of_64_kib_is_returned_unchanged() {
    let proxy = start_proxy("ep-body", "", &backend_entries(4));
    run(async {
        let mut filter = EnvoyFilter::open(proxy.external_processor).await;
        // 4 is BodySendMode::FullDuplexStreamed.
        let modes = ProtocolConfiguration { request_body_mode: 4, ..ProtocolConfiguration::default() };
        let first =
            processing_request(RequestKind::RequestHeaders(http_headers(&request_head("submit", "a"))));
        let response = filter.exchange(ProcessingRequest { protocol_config: Some(modes), ..first }).await;
        assert!(response.mode_override.is_none(), "Envoy accepts no mode override in this mode");
        let body: Vec<u8> = (0..65_536_u32).map(|i| (i % 251) as u8).collect();
        let mut returned = Vec::new();
        for (i, piece) in body.chunks(1_000).enumerate() {
            let end_of_stream = (i + 1) * 1_000 >= body.len();
            let piece = HttpBody { body: piece.to_vec(), end_of_stream, ..HttpBody::default() };
            let response = filter.exchange(processing_request(RequestKind::RequestBody(piece))).await;
            let Some(ResponseKind::RequestBody(response)) = response.response else { panic!("{response:?}") };
            let mutation = response.response.and_then(|r| r.body_mutation).and_then(|m| m.mutation);
            let Some(body_mutation::Mutation::StreamedResponse(piece)) = mutation else {
                panic!("{mutation:?}")
            };
            returned.extend(piece.body);
            assert_eq!(piece.end_of_stream, end_of_stream);
        }
        assert_eq!(returned, body);
    });
}

#[test]
fn observability_mode_occupies_no_capacity() {
    let proxy = start_proxy("ep-observability", "", &backend_entries(1));
    run(async {
        for i in 0..20 {
            let filter = EnvoyFilter::open(proxy.external_processor).await;
            let observed = processing_request(RequestKind::RequestHeaders(http_headers(&request_head(
                "charge",
                &format!("r{i}"),
            ))));
            let observed = ProcessingRequest { observability_mode: true, ..observed };
            filter.messages.send(observed).await.expect("the stream is open");
        }
        let mut client = connect_client(proxy.external_processor).await;
        for i in 0..2 {
            expect_send(send_decide(&mut client, decide("charge", &format!("r{i}"))).await);
        }
    });
}

/// Response headers of this status, with Envoy's details of where the response comes from.
fn response_headers(status: u16, details: &str) -> ProcessingRequest {
    let kind = Some(value::Kind::StringValue(details.into()));
    let fields = [("response.code_details".to_owned(), Value { kind })].into_iter().collect();
    let response = http_headers(&[header_value(":status", status.to_string().as_bytes())]);
    ProcessingRequest {
        attributes: [("envoy.filters.http.ext_proc".to_owned(), Struct { fields })].into_iter().collect(),
        ..processing_request(RequestKind::ResponseHeaders(response))
    }
}

/// Guards against a duplicate execution: the 503 that Envoy words for a connection that broke after the request ran
/// told its client that a retry is safe.
#[test]
fn request_that_may_have_run_is_not_rejected_whoever_worded_the_response() {
    const RESET: &str = "upstream_reset_before_response_started{connection_termination}";
    const REFUSED: &str = "upstream_reset_before_response_started{connection_failure}";
    let cases = [
        ("charge", 503, RESET, Some(502)),
        ("submit", 503, RESET, Some(502)),
        ("charge", 503, "via_upstream", Some(502)),
        ("charge", 429, "via_upstream", Some(502)),
        ("charge", 503, REFUSED, Some(503)),
        // A failure promises nothing, and a request of this class may run twice.
        ("charge", 504, "response_timeout", None),
        ("read", 503, RESET, None),
    ];
    for (number, (class, status, details, expected)) in cases.into_iter().enumerate() {
        let proxy = start_proxy(&format!("ep-may-have-run-{number}"), "", &backend_entries(4));
        run(async {
            let head = request_head(class, "a");
            let mut filter = EnvoyFilter::open(proxy.external_processor).await;
            filter.exchange(processing_request(RequestKind::RequestHeaders(http_headers(&head)))).await;
            let response = filter.exchange(response_headers(status, details)).await;
            let replaced = match &response.response {
                Some(ResponseKind::ImmediateResponse(_)) => Some(immediate_response(response).0),
                _ => None,
            };
            assert_eq!(replaced, expected, "{class}, {status}, {details}");
        });
    }
}
