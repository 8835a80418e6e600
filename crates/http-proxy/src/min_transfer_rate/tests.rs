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
