use super::*;
use std::time::Duration;

#[test]
fn retains_the_arrival_time_of_each_read() {
    let first = Instant::now();
    let second = first + Duration::from_secs(1);
    let read = |bytes: &[u8], arrived_at| Some(ReadAheadBytes { bytes: bytes.to_vec(), arrived_at });
    let mut buffer = ReadAheadBuffer::default();
    buffer.push(b"abc", first);
    buffer.push(b"", second);
    buffer.push(b"de", second);
    assert_eq!(buffer.len(), 5);
    assert_eq!(buffer.take(2), read(b"ab", first));
    assert_eq!(buffer.take(9), read(b"c", first));
    assert_eq!(buffer.take(9), read(b"de", second));
    assert!(buffer.is_empty() && buffer.take(9).is_none());
}
