use super::*;
use proptest::prelude::*;

#[test]
fn calls_are_read_with_any_end_and_any_blanks() {
    for line in ["readyz", "readyz\n", "readyz\r\n", "  readyz \t\n"] {
        assert_eq!(ConsoleCommand::parse(line.as_bytes()), Ok(ConsoleCommand::Ready), "{line:?}");
    }
    assert_eq!(
        ConsoleCommand::parse(b"exclude s-5be2a07c\r\n"),
        Ok(ConsoleCommand::Exclude("s-5be2a07c".into()))
    );
    assert_eq!(
        ConsoleCommand::parse(b"include\t s-5be2a07c"),
        Ok(ConsoleCommand::Include("s-5be2a07c".into()))
    );
}

#[test]
fn what_is_no_call_is_told_what_is_wrong() {
    let cases: [(&[u8], CommandError); 10] = [
        (b"", CommandError::Empty),
        (b" \r\n", CommandError::Empty),
        (b"READYZ\n", CommandError::Unknown),
        (b"GET / HTTP/1.1\r\n", CommandError::Unknown),
        (b"exclude\n", CommandError::NoId("exclude ID")),
        (b"include  \n", CommandError::NoId("include ID")),
        (b"exclude a b\n", CommandError::TooManyWords("exclude ID")),
        (b"readyz now\n", CommandError::TooManyWords("readyz")),
        (b"exclude \xff\n", CommandError::NoText),
        (b"exclude a\0b\n", CommandError::Control(0)),
    ];
    for (line, error) in cases {
        assert_eq!(ConsoleCommand::parse(line), Err(error), "{line:?}");
    }
    let long = format!("exclude {}\n", "x".repeat(ID_CAP + 1));
    assert_eq!(ConsoleCommand::parse(long.as_bytes()), Err(CommandError::LongId(ID_CAP + 1)));
    assert_eq!(ConsoleCommand::parse(&[b'x'; LINE_CAP + 1]), Err(CommandError::TooLong));
}

proptest! {
    #[test]
    fn any_bytes_give_a_call_or_one_line_of_failure(line in proptest::collection::vec(any::<u8>(), 0..600)) {
        match ConsoleCommand::parse(&line) {
            Ok(ConsoleCommand::Exclude(id) | ConsoleCommand::Include(id)) => {
                prop_assert!(!id.is_empty() && id.len() <= ID_CAP && !id.contains([' ', '\t', '\r', '\n']));
            }
            Ok(ConsoleCommand::Ready) => {}
            Err(error) => {
                let answer = ConsoleResponse::from(error).to_string();
                prop_assert!(answer.starts_with("FAILURE ") && !answer.contains(['\r', '\n']));
            }
        }
    }

    #[test]
    fn an_id_comes_through_as_it_was_said(id in "[!-~]{1,256}") {
        prop_assert_eq!(ConsoleCommand::parse(format!("exclude {id}\r\n").as_bytes()), Ok(ConsoleCommand::Exclude(id.clone())));
        prop_assert_eq!(ConsoleCommand::parse(format!("include {id}").as_bytes()), Ok(ConsoleCommand::Include(id)));
    }
}
