//! The encoding of messages.

mod strategies;

use control_plane::message::Message;
use proptest::prelude::*;
use strategies::message;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Encoded messages round-trip; a truncated one is an error and never another message.
    #[test]
    fn decodes_encoded_messages_and_rejects_truncated_ones(message in message()) {
        let bytes = postcard::to_stdvec(&message).expect("encodable");
        prop_assert_eq!(postcard::from_bytes::<Message>(&bytes).expect("decodable"), message);
        for cut in 0..bytes.len() {
            prop_assert!(postcard::from_bytes::<Message>(&bytes[..cut]).is_err(), "cut at {}", cut);
        }
    }

    /// Arbitrary bytes are an error or a message no longer than the bytes.
    #[test]
    fn decodes_arbitrary_bytes_within_their_size(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            let encoded = postcard::to_stdvec(&message).expect("encodable");
            prop_assert!(encoded.len() <= bytes.len(), "{:?}", message);
        }
    }
}
