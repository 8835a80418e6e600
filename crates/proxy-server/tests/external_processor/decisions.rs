//! The decision service: leases, reports of outcomes, and idempotency.

use crate::envoy::{envoy_decision, immediate_response, request_head};
use crate::support::*;
use crate::{
    Conversation, backend_address, backend_entries, connect_client, decide, decide_until_free, expect_final,
    expect_rejection, expect_send, report, run, send_decide, send_report, start_proxy,
};
use external_processor::generated as pb;
use external_processor::generated::answer::Answer;
use std::sync::mpsc::channel;
use tonic::Code;

#[test]
fn decision_grants_a_lease_and_its_final_outcome_is_remembered() {
    let proxy = start_proxy("ep-plain", "", &backend_entries(4));
    run(async {
        let mut client = connect_client(proxy.external_processor).await;
        let first = expect_send(send_decide(&mut client, decide("charge", "a")).await);
        assert_eq!((first.attempt, first.repeat), (0, pb::Repeat::IfNeverRan as i32));
        assert!(first.send_within_ms <= 250 && first.wait_ms > 0, "{first:?}");
        let second =
            expect_send(send_report(&mut client, report(&first.lease, pb::Outcome::CouldNotConnect)).await);
        assert_ne!(first.endpoint, second.endpoint);
        let wrong_endpoint =
            pb::ReportRequest { endpoint: first.endpoint, ..report(&second.lease, pb::Outcome::Served) };
        assert_eq!(expect_rejection(&send_report(&mut client, wrong_endpoint).await), pb::Reason::Endpoint);
        let served = send_report(&mut client, report(&second.lease, pb::Outcome::Served)).await;
        assert_eq!(expect_final(&served), (pb::End::Served, false));
        let repeated = send_report(&mut client, report(&second.lease, pb::Outcome::Served)).await;
        assert_eq!(expect_rejection(&repeated), pb::Reason::LeaseDoubled);
        assert_eq!(
            expect_final(&send_decide(&mut client, decide("charge", "a")).await),
            (pb::End::Served, true)
        );
        let invalid = send_decide(&mut client, decide("nothing", "b")).await;
        assert_eq!(expect_rejection(&invalid), pb::Reason::Invalid);
    });
}

#[test]
fn timed_out_queued_decision_leaves_no_state() {
    // Without backends, the decision is queued until the deadline of its client.
    let proxy = start_proxy("ep-timeout", "", &[]);
    run(async {
        let mut client = connect_client(proxy.external_processor).await;
        let mut short_call = tonic::Request::new(decide("charge", "a"));
        short_call.set_timeout(std::time::Duration::from_millis(50));
        let code = client.decide(short_call).await.expect_err("the call times out").code();
        assert!(matches!(code, Code::Cancelled | Code::DeadlineExceeded), "{code:?}");
        // The decision is requested until the request is no longer in flight: then it is queued for this
        // client, and only the report is answered.
        let mut conversation = Conversation::open(proxy.external_processor).await;
        let unknown_lease = "0000000000000000-0000000000000001";
        let mut tag = 1;
        loop {
            conversation.decide(tag, decide("charge", "a")).await;
            conversation.report(tag + 1, report(unknown_lease, pb::Outcome::Served)).await;
            match conversation.receive().await {
                (_, Answer::InFlight(_)) => assert_eq!(conversation.receive().await.0, tag + 1),
                (answered_tag, _) => break assert_eq!(answered_tag, tag + 1),
            }
            tag += 2;
        }
        proxy.discovery.publish_and_wait(true, &backend_entries(2));
        let (answered_tag, answer) = conversation.receive().await;
        assert_eq!(
            (answered_tag, expect_send(answer).attempt),
            (tag, 0),
            "a new decision, as no attempt had been made"
        );
    });
}

#[test]
fn lease_of_a_broken_stream_counts_as_possibly_sent() {
    let proxy = start_proxy("ep-broken", "", &backend_entries(4));
    run(async {
        let mut conversation = Conversation::open(proxy.external_processor).await;
        conversation.decide(1, decide("submit", "a")).await;
        let (tag, answer) = conversation.receive().await;
        let lease = expect_send(answer).lease;
        assert_eq!(tag, 1);
        drop(conversation);
        let mut other_client = connect_client(proxy.external_processor).await;
        let answer = decide_until_free(&mut other_client, &decide("submit", "a")).await;
        assert_eq!(expect_final(&answer), (pb::End::Unknown, true));
        let late = send_report(&mut other_client, report(&lease, pb::Outcome::Served)).await;
        assert_eq!(expect_rejection(&late), pb::Reason::LeaseDoubled);
    });
}

#[test]
fn lease_of_a_half_closed_stream_counts_as_possibly_sent() {
    let proxy = start_proxy("ep-half-closed", "", &backend_entries(4));
    run(async {
        let mut conversation = Conversation::open(proxy.external_processor).await;
        conversation.decide(1, decide("charge", "a")).await;
        conversation.receive().await;
        conversation.questions = None;
        assert!(
            conversation.answers.message().await.expect("the stream ends without an error").is_none(),
            "the proxy did not close its side of the stream"
        );
        let mut other_client = connect_client(proxy.external_processor).await;
        assert_eq!(
            expect_final(&send_decide(&mut other_client, decide("charge", "a")).await),
            (pb::End::Unknown, true)
        );
    });
}

#[test]
fn keyed_request_has_one_attempt_across_all_front_ends() {
    let (release, released) = channel();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("first"))),
        None => ok_response("later"),
    });
    let proxy = start_proxy("ep-front-ends", "", &[backend_entry("b0", backend.address, "active", 0)]);
    let mut http_client = proxy.process.client();
    http_client.send(&request("submit", "k1", "x"));
    backend.next_request();
    run(async {
        // The request with this key is in flight from the HTTP front end.
        let mut client = connect_client(proxy.external_processor).await;
        let by_key = pb::DecideRequest { id: b"other".to_vec(), ..decide("submit", "k1") };
        match send_decide(&mut client, by_key).await {
            Answer::InFlight(in_flight) => assert!(in_flight.by_key && in_flight.ask_again_ms > 0),
            other => panic!("{other:?}"),
        }
        let (status, headers) =
            immediate_response(envoy_decision(proxy.external_processor, &request_head("submit", "k1")).await);
        assert_eq!(status, 503);
        assert!(headers.contains(&("retry-after".into(), "1".into())), "{headers:?}");
        release.send(()).expect("the backend waits");
        assert_eq!(http_client.receive().body, b"first");
        assert_eq!(
            expect_final(&send_decide(&mut client, decide("submit", "k1")).await),
            (pb::End::Served, true)
        );
        assert_eq!(
            immediate_response(envoy_decision(proxy.external_processor, &request_head("submit", "k1")).await)
                .0,
            409
        );

        // The request with this key is in flight from the decision service.
        let lease = expect_send(send_decide(&mut client, decide("submit", "k2")).await).lease;
        assert_eq!(proxy.process.client().exchange(&request("submit", "k2", "x")).status(), 503);
        assert_eq!(
            immediate_response(envoy_decision(proxy.external_processor, &request_head("submit", "k2")).await)
                .0,
            503
        );
        let served = send_report(&mut client, report(&lease, pb::Outcome::Served)).await;
        assert_eq!(expect_final(&served), (pb::End::Served, false));
        assert_eq!(proxy.process.client().exchange(&request("submit", "k2", "x")).status(), 409);
    });
    assert_eq!(backend.take_request_count(), 0, "the backend received more than one attempt");
}

#[test]
fn drain_revokes_the_lease_and_another_backend_is_granted() {
    let proxy = start_proxy("ep-drain", "", &backend_entries(2));
    run(async {
        let mut conversation = Conversation::open(proxy.external_processor).await;
        conversation.decide(1, decide("charge", "a")).await;
        let first = expect_send(conversation.receive().await.1);
        let index = u16::from(first.endpoint == backend_address(1).to_string());
        proxy.discovery.publish_and_wait(
            false,
            &[backend_entry(&format!("b{index}"), backend_address(index), "leaving", 0)],
        );
        match conversation.receive().await {
            (0, Answer::Revoked(revoked)) => assert_eq!(revoked.lease, first.lease),
            other => panic!("{other:?}"),
        }
        conversation.report(2, report(&first.lease, pb::Outcome::NotSent)).await;
        let second = expect_send(conversation.receive().await.1);
        assert_eq!(second.endpoint, backend_address(1 - index).to_string());
        // The draining backend gets no new lease.
        for tag in 3..13 {
            conversation.decide(tag, decide("read", &format!("r{tag}"))).await;
            if let Answer::Send(send) = conversation.receive().await.1 {
                assert_ne!(send.endpoint, first.endpoint);
                conversation.report(tag, report(&send.lease, pb::Outcome::Served)).await;
                conversation.receive().await;
            }
        }
    });
}
