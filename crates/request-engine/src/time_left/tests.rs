use super::*;

#[test]
fn accepts_digits_up_to_the_maximum_alone() {
    assert_eq!(parse_time_left("480"), Some(480_000));
    assert_eq!(parse_time_left("0"), Some(0));
    assert_eq!(parse_time_left("3600000"), Some(MAX_TIME_LEFT_MS * 1_000));
    for text in ["", "3600001", "+1", "-1", " 1", "1.5", "99999999999999999999", "soon"] {
        assert_eq!(parse_time_left(text), None, "{text:?}");
    }
}
