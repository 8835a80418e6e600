//! How fast a client has to send a body. Pure: no I/O, no clock.

use std::time::Duration;

/// What a client has for a body however small, from its head on.
const LEAST: Duration = Duration::from_millis(2_500);
/// Bytes a second that every client has to reach beyond that. Slow clients send 64 kB a second; half of it leaves room
/// for a pause, and still ends those that drip.
const BYTES_A_SECOND: u64 = 32_000;

/// By when, from its head on, a client of which so many bytes have come has to have sent the next.
#[must_use]
pub fn time_for(bytes: u64) -> Duration {
    LEAST + Duration::from_millis(bytes.saturating_mul(1_000) / BYTES_A_SECOND)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn a_client_at_the_promised_pace_is_never_cut_and_one_that_drips_is(second in 0_u64..600, piece in 1_u64..65_536) {
            let sent = second * 64_000 / piece * piece;
            prop_assert!(time_for(sent) > Duration::from_secs(second));
            prop_assert!(time_for(second * 1_000) < Duration::from_millis(2_501 + second * 32));
        }
    }
}
