use super::*;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn is_ready(future: impl Future<Output = ()>) -> bool {
    pin!(future).poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

#[test]
fn cancellation_is_seen_by_later_waiters_and_never_weakens() {
    let signal = CancellationSignal::default();
    assert!(
        !is_ready(signal.start_cancelled()) && !is_ready(signal.cancelled()) && !signal.is_start_cancelled()
    );
    signal.cancel_unless_sent();
    assert!(
        is_ready(signal.start_cancelled()) && !is_ready(signal.cancelled()) && signal.is_start_cancelled()
    );
    signal.cancel();
    signal.cancel_unless_sent();
    assert!(is_ready(signal.start_cancelled()) && is_ready(signal.cancelled()));
}
