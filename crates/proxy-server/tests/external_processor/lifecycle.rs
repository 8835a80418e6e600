//! Start, restart and shutdown of the external processor, its health and reflection services, and misbehaving
//! clients.

use crate::support::*;
use crate::{
    Conversation, backend_entries, channel_to, connect_client, decide, expect_final, expect_rejection,
    expect_send, report, run, send_decide, send_report, start_proxy,
};
use external_processor::generated as pb;
use external_processor::generated::answer::Answer;
use std::io::{Read, Write};
use std::net::TcpStream;
use tonic::Code;

#[test]
fn leases_from_before_a_restart_are_foreign_and_not_retried() {
    const LEASES: u64 = 600;
    let mut proxy = start_proxy("ep-restart", "", &backend_entries(600));
    let old_leases = run(async {
        let mut conversation = Conversation::open(proxy.external_processor).await;
        let mut leases = Vec::new();
        for tag in 1..=LEASES {
            conversation.decide(tag, decide("charge", &format!("r{tag}"))).await;
            let (_, answer) = conversation.receive().await;
            leases.push((tag, expect_send(answer).lease));
        }
        leases
    });
    proxy.process.child.kill().expect("the process is killed");
    proxy.process.wait_for_exit();
    let restarted = start_proxy("ep-restarted", "", &backend_entries(600));
    run(async {
        let mut client = connect_client(restarted.external_processor).await;
        for (tag, lease) in &old_leases {
            let response = send_report(&mut client, report(lease, pb::Outcome::Served)).await;
            assert_eq!(expect_rejection(&response), pb::Reason::LeaseForeign);
            let prior =
                pb::DecideRequest { prior_lease: lease.clone(), ..decide("charge", &format!("r{tag}")) };
            assert_eq!(
                expect_final(&send_decide(&mut client, prior).await).0,
                pb::End::Unknown,
                "a request with a foreign lease may have run"
            );
        }
    });
}

#[test]
fn sigterm_rejects_new_requests_and_completes_those_in_flight() {
    let mut proxy = start_proxy("ep-term", "", &backend_entries(4));
    run(async {
        let mut conversation = Conversation::open(proxy.external_processor).await;
        conversation.decide(1, decide("charge", "a")).await;
        let lease = expect_send(conversation.receive().await.1).lease;
        proxy.process.terminate();
        // The signal takes effect after some time; from then on, every new decision is rejected.
        for tag in 2.. {
            conversation.decide(tag, decide("read", &format!("r{tag}"))).await;
            match conversation.receive().await.1 {
                Answer::Send(send) => {
                    conversation.report(tag, report(&send.lease, pb::Outcome::Served)).await;
                    conversation.receive().await;
                }
                answer => {
                    assert_eq!(expect_rejection(&answer), pb::Reason::Draining);
                    break;
                }
            }
        }
        conversation.report(1, report(&lease, pb::Outcome::Served)).await;
        assert_eq!(expect_final(&conversation.receive().await.1), (pb::End::Served, false));
    });
    assert!(proxy.process.wait_for_exit().success());
}

#[test]
fn malformed_flooding_and_slow_clients_do_not_block_others() {
    let settings = "[bounds]\nconnections = 8\nper_caller = 64\nmessage_bytes = 4096\n";
    let proxy = start_proxy("ep-misbehaving", settings, &backend_entries(40));
    run(async {
        let mut healthy_client = connect_client(proxy.external_processor).await;
        // Bytes that are not HTTP/2.
        for seed in 0..20 {
            let mut rng = pseudorandom_bytes(seed);
            let mut stream = TcpStream::connect(proxy.external_processor).expect("the proxy accepts");
            let _ = stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
            let _ = stream.write_all(&rng.by_ref().take(300).collect::<Vec<u8>>());
        }
        // A message above the limit on message sizes.
        let oversized = pb::DecideRequest { id: vec![b'x'; 8_192], ..decide("read", "") };
        let code = healthy_client.decide(oversized).await.expect_err("the message is rejected").code();
        assert_eq!(code, Code::OutOfRange);
        // A client that never reads its answers: they fill its connection, which is then closed.
        let unread_stream = Conversation::open(proxy.external_processor).await;
        let flood = tokio::spawn(async move {
            for tag in 1.. {
                let question = pb::Question { tag, question: None };
                if unread_stream
                    .questions
                    .as_ref()
                    .expect("the request side is open")
                    .send(question)
                    .await
                    .is_err()
                {
                    break;
                }
            }
        });
        for i in 0..20 {
            let lease =
                expect_send(send_decide(&mut healthy_client, decide("read", &format!("r{i}"))).await).lease;
            let response = send_report(&mut healthy_client, report(&lease, pb::Outcome::Served)).await;
            assert_eq!(expect_final(&response), (pb::End::Served, false));
        }
        // Connections above the limit are closed; established ones remain open.
        let idle: Vec<TcpStream> = (0..16)
            .map(|_| TcpStream::connect(proxy.external_processor).expect("the proxy accepts"))
            .collect();
        for mut above_limit in &idle[8..] {
            above_limit.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout is set");
            let result = above_limit.read(&mut [0; 64]);
            assert!(
                !matches!(&result, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock),
                "connection above the limit: {result:?}"
            );
        }
        flood.abort();
        let lease = expect_send(send_decide(&mut healthy_client, decide("read", "last")).await).lease;
        send_report(&mut healthy_client, report(&lease, pb::Outcome::Served)).await;
    });
}

fn pseudorandom_bytes(seed: u64) -> impl Iterator<Item = u8> {
    // A linear congruential generator: the bytes need not be random, only the same in each run.
    let mut state = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    std::iter::repeat_with(move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    })
}

#[test]
fn invalid_settings_are_logged_and_prevent_the_start() {
    let discovery = Discovery::start();
    let process = spawn_with_external_processor(
        "ep-invalid",
        &proxy_config("ep-invalid", &discovery).to_string(),
        "[bounds]\nqueue = 0\n",
    );
    let output = process.wait_with_output().expect("the process ends");
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(log.contains("`bounds.queue` is 0"), "{log}");
}

#[test]
fn serves_health_always_and_reflection_only_if_enabled() {
    use tonic_health::pb::health_client::HealthClient;
    use tonic_health::pb::{HealthCheckRequest, health_check_response::ServingStatus};
    use tonic_reflection::pb::v1::server_reflection_client::ServerReflectionClient;
    use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
    use tonic_reflection::pb::v1::{ServerReflectionRequest, server_reflection_response::MessageResponse};
    for (name, settings, reflects) in [("ep-bare", "", false), ("ep-reflect", "reflection = true\n", true)] {
        let proxy = start_proxy(name, settings, &backend_entries(1));
        run(async {
            let channel = channel_to(proxy.external_processor).await;
            for service in
                ["haventrack.decisions.v1.Decisions", "envoy.service.ext_proc.v3.ExternalProcessor"]
            {
                let check = HealthCheckRequest { service: service.into() };
                let status = HealthClient::new(channel.clone())
                    .check(check)
                    .await
                    .expect("the health service responds");
                assert_eq!(status.into_inner().status(), ServingStatus::Serving, "{service}");
            }
            let list = ServerReflectionRequest {
                host: String::new(),
                message_request: Some(MessageRequest::ListServices(String::new())),
            };
            let requests = tokio_stream::iter([list]);
            match ServerReflectionClient::new(channel).server_reflection_info(requests).await {
                Err(status) => assert!(!reflects && status.code() == Code::Unimplemented, "{status}"),
                Ok(response) => {
                    let response = response
                        .into_inner()
                        .message()
                        .await
                        .expect("the stream is open")
                        .expect("the stream has a response");
                    let Some(MessageResponse::ListServicesResponse(response)) = response.message_response
                    else {
                        panic!("{response:?}")
                    };
                    assert!(
                        reflects
                            && response.service.iter().any(|s| s.name == "haventrack.decisions.v1.Decisions")
                    );
                }
            }
        });
    }
}
