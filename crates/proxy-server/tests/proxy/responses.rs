//! Valid and invalid responses of backends.

use crate::support::*;

/// Successive large responses are forwarded within a memory limit of 8 MB.
#[test]
fn forwards_large_responses_within_the_memory_limit() {
    let discovery = Discovery::start();
    let body = "z".repeat(400_000);
    let response_body = body.clone();
    let backend = Backend::start(move |_| ok_response(&response_body));
    let mut config = proxy_config("large", &discovery);
    config["limits"]["memory_mb"] = 8.into();
    let proxy = Proxy::start_with_config("large", &config);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    for id in 0..20 {
        let response = proxy.client().exchange(&request("charge", &id.to_string(), "x"));
        assert_eq!((response.status(), response.body.len()), (200, body.len()));
    }
}

#[test]
fn incomplete_response_gives_502_and_no_retry_of_a_non_idempotent_request() {
    let incomplete_responses: [&[u8]; 3] =
        [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", b"garbage\r\n\r\n"];
    for (i, bytes) in incomplete_responses.into_iter().enumerate() {
        let discovery = Discovery::start();
        let first_backend = Backend::start(move |_| BackendAction::WriteAndClose(bytes.to_vec()));
        let second_backend = Backend::start(move |_| BackendAction::WriteAndClose(bytes.to_vec()));
        let members = [
            backend_entry("s-1", first_backend.address, "active", 0),
            backend_entry("s-2", second_backend.address, "active", 0),
        ];
        let proxy = Proxy::start(&format!("broken-{i}"), &discovery, &members);
        let response = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(response.status(), 502, "the request may have run, so it must fail without a retry");
        // The test backend reports a request only after it has closed the connection.
        let mut received = 0;
        while received == 0 {
            received = first_backend.take_request_count() + second_backend.take_request_count();
        }
        (0..10).for_each(|_| assert_eq!(proxy.client().exchange(HEALTH_REQUEST).status(), 200));
        assert_eq!(received + first_backend.take_request_count() + second_backend.take_request_count(), 1);
    }
}

/// Guards against waiting for more bytes on an open connection whose response is already invalid: no time
/// would remain for a retry.
#[test]
fn invalid_response_fails_at_once_and_only_an_idempotent_request_is_retried() {
    let endless_head = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(20_000));
    let invalid_responses: [&[u8]; 10] = [
        b"\x00\xfe\x17 noise \x9c\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nCont\x00ent: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        endless_head.as_bytes(),
    ];
    for (i, bytes) in invalid_responses.into_iter().enumerate() {
        let discovery = Discovery::start();
        let is_first_request = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let start = |bytes: Vec<u8>| {
            let is_first = std::sync::Arc::clone(&is_first_request);
            Backend::start(move |_| {
                if is_first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                    BackendAction::Write(bytes.clone())
                } else {
                    ok_response("good")
                }
            })
        };
        let (first_backend, second_backend) = (start(bytes.to_vec()), start(bytes.to_vec()));
        let members = [
            backend_entry("s-1", first_backend.address, "active", 0),
            backend_entry("s-2", second_backend.address, "active", 0),
        ];
        let proxy = Proxy::start(&format!("spoilt-{i}"), &discovery, &members);
        let response = proxy.client().exchange(&request("read", "1", ""));
        assert_eq!((response.status(), response.body.as_slice()), (200, b"good".as_slice()), "case {i}");
        is_first_request.store(true, std::sync::atomic::Ordering::SeqCst);
        let response = proxy.client().exchange(&request("charge", "2", "x"));
        assert_eq!(response.status(), 502, "case {i}: the request may have run");
        assert_eq!(first_backend.take_request_count() + second_backend.take_request_count(), 3, "case {i}");
    }
}

/// A valid response with trailing bytes is forwarded without them, and its connection is not reused.
#[test]
fn bytes_after_a_response_are_discarded() {
    let trailing: [&[u8]; 3] = [b"\x00noise", b"\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"];
    for (i, trailing_bytes) in trailing.into_iter().enumerate() {
        let discovery = Discovery::start();
        let backend = Backend::start(move |received| {
            let id = received.header("x-correlation-id").expect("a correlation id").as_bytes();
            BackendAction::Write([response_bytes("200 OK", "", id), trailing_bytes.to_vec()].concat())
        });
        let members = [backend_entry("s-1", backend.address, "active", 0)];
        let proxy = Proxy::start(&format!("behind-{i}"), &discovery, &members);
        let mut client = proxy.client();
        for id in ["one", "two", "three", "four"] {
            let response = client.exchange(&request("charge", id, "x"));
            assert_eq!((response.status(), response.body.as_slice()), (200, id.as_bytes()), "case {i}");
        }
        let connections: Vec<_> = (0..4).map(|_| backend.next_request().connection).collect();
        assert_eq!(connections, [0, 1, 2, 3], "case {i}");
    }
}

/// Interim 1xx responses before the final response are skipped, and a malformed load report is ignored.
#[test]
fn ignores_1xx_responses_and_malformed_load_reports() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        let interim_responses = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let load_report = "X-Backend-Load: inflight=é,,=;util=NaN,queue\r\n";
        BackendAction::Write(
            [interim_responses.to_vec(), response_bytes("200 OK", load_report, b"good")].concat(),
        )
    });
    let proxy = Proxy::start("early", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    for id in ["1", "2"] {
        let response = proxy.client().exchange(&request("charge", id, "x"));
        assert_eq!((response.status(), response.body.as_slice()), (200, b"good".as_slice()));
    }
}

#[test]
fn only_the_unprocessed_header_allows_a_retry_after_503() {
    for (headers, status, attempts) in
        [("X-Unprocessed: 1\r\n", 503, 2), ("", 502, 1), ("X-Unprocessed: 0\r\n", 502, 1)]
    {
        let discovery = Discovery::start();
        let reject_unprocessed = move |_: &HttpMessage| {
            BackendAction::Write(response_bytes("503 Service Unavailable", headers, b""))
        };
        let (first_backend, second_backend) =
            (Backend::start(reject_unprocessed), Backend::start(reject_unprocessed));
        let members = [
            backend_entry("s-1", first_backend.address, "active", 0),
            backend_entry("s-2", second_backend.address, "active", 0),
        ];
        let proxy = Proxy::start(&format!("mark-{status}-{}", headers.len()), &discovery, &members);
        let response = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(
            (response.status(), first_backend.take_request_count() + second_backend.take_request_count()),
            (status, attempts),
            "with header `{headers}`"
        );
    }
}

#[test]
fn unreachable_backend_allows_a_retry_of_a_non_idempotent_request() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("there"));
    let unreachable_address = std::net::TcpListener::bind("127.77.0.2:0")
        .expect("bind to a free port")
        .local_addr()
        .expect("local address");
    let members = [
        backend_entry("s-1", unreachable_address, "active", 0),
        backend_entry("s-2", backend.address, "active", 0),
    ];
    let proxy = Proxy::start("unreachable", &discovery, &members);
    for id in ["1", "2", "3"] {
        assert_eq!(proxy.client().exchange(&request("charge", id, "x")).status(), 200);
    }
}

#[test]
fn does_not_reuse_a_connection_closed_by_its_backend() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::WriteAndClose(response_bytes("200 OK", "", b"last")));
    let proxy = Proxy::start("closed", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    for id in ["1", "2", "3", "4"] {
        assert_eq!(client.exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request();
    }
}

#[test]
fn request_without_a_response_fails_by_its_deadline() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let proxy = Proxy::start("hang", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    let response = client.exchange(&request("charge", "1", "x").replace("15000", "300"));
    assert_eq!(response.status(), 502);
    assert_eq!(
        client.exchange(HEALTH_REQUEST).status(),
        200,
        "the client must get exactly one response, and the connection must stay usable"
    );
}
