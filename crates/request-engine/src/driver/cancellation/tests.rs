use super::*;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn is_ready(waits: impl Future<Output = ()>) -> bool {
    pin!(waits).poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

#[test]
fn a_word_is_heard_also_later_and_never_becomes_weaker() {
    let recall = CancellationSignal::default();
    assert!(
        !is_ready(recall.start_cancelled()) && !is_ready(recall.cancelled()) && !recall.is_start_cancelled()
    );
    recall.cancel_unless_sent();
    assert!(
        is_ready(recall.start_cancelled()) && !is_ready(recall.cancelled()) && recall.is_start_cancelled()
    );
    recall.cancel();
    recall.cancel_unless_sent();
    assert!(is_ready(recall.start_cancelled()) && is_ready(recall.cancelled()));
}
