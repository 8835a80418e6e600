use super::*;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn is_ready(waits: impl Future<Output = ()>) -> bool {
    pin!(waits).poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

#[test]
fn a_word_is_heard_also_later_and_never_becomes_weaker() {
    let recall = Recall::default();
    assert!(!is_ready(recall.unwanted()) && !is_ready(recall.withdrawn()) && !recall.is_unwanted());
    recall.unless_sent();
    assert!(is_ready(recall.unwanted()) && !is_ready(recall.withdrawn()) && recall.is_unwanted());
    recall.at_once();
    recall.unless_sent();
    assert!(is_ready(recall.unwanted()) && is_ready(recall.withdrawn()));
}
