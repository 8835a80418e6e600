use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn allows_the_promised_rate_and_times_out_slower_uploads(second in 0_u64..600, chunk in 1_u64..65_536) {
        let sent = second * 64_000 / chunk * chunk;
        prop_assert!(timeout_after(sent) > Duration::from_secs(second));
        prop_assert!(timeout_after(second * 1_000) < Duration::from_millis(2_501 + second * 32));
    }
}
