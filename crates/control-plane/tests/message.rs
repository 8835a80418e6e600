//! The encoding of messages.

mod strategies;

use control_plane::message::Message;
use proptest::prelude::*;
use strategies::message;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Encoded messages round-trip, and a truncated message never decodes to another one.
    #[test]
    fn decodes_encoded_messages_and_rejects_truncated_ones(message in message()) {
        let bytes = postcard::to_stdvec(&message).expect("encodable");
        prop_assert_eq!(postcard::from_bytes::<Message>(&bytes).expect("decodable"), message);
        for length in 0..bytes.len() {
            prop_assert!(postcard::from_bytes::<Message>(&bytes[..length]).is_err(), "truncated to {} bytes", length);
        }
    }

    /// Arbitrary bytes decode to an error, or to a message whose encoding is no longer than these bytes.
    #[test]
    fn decodes_arbitrary_bytes_within_their_size(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            let encoded = postcard::to_stdvec(&message).expect("encodable");
            prop_assert!(encoded.len() <= bytes.len(), "{:?}", message);
        }
    }
}
