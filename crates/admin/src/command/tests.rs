use super::*;
use proptest::prelude::*;

#[test]
fn parses_commands_with_any_line_end_and_extra_blanks() {
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
fn reports_why_a_line_is_rejected() {
    let cases: [(&[u8], CommandError); 10] = [
        (b"", CommandError::Empty),
        (b" \r\n", CommandError::Empty),
        (b"READYZ\n", CommandError::UnknownCommand),
        (b"GET / HTTP/1.1\r\n", CommandError::UnknownCommand),
        (b"exclude\n", CommandError::MissingId("exclude ID")),
        (b"include  \n", CommandError::MissingId("include ID")),
        (b"exclude a b\n", CommandError::TooManyArguments("exclude ID")),
        (b"readyz now\n", CommandError::TooManyArguments("readyz")),
        (b"exclude \xff\n", CommandError::NotUtf8),
        (b"exclude a\0b\n", CommandError::ControlCharacter(0)),
    ];
    for (line, error) in cases {
        assert_eq!(ConsoleCommand::parse(line), Err(error), "{line:?}");
    }
    let long = format!("exclude {}\n", "x".repeat(MAX_BACKEND_ID_BYTES + 1));
    assert_eq!(
        ConsoleCommand::parse(long.as_bytes()),
        Err(CommandError::IdTooLong(MAX_BACKEND_ID_BYTES + 1))
    );
    assert_eq!(ConsoleCommand::parse(&[b'x'; MAX_LINE_BYTES + 1]), Err(CommandError::TooLong));
}

proptest! {
    #[test]
    fn arbitrary_bytes_yield_a_command_or_one_failure_line(line in proptest::collection::vec(any::<u8>(), 0..600)) {
        match ConsoleCommand::parse(&line) {
            Ok(ConsoleCommand::Exclude(id) | ConsoleCommand::Include(id)) => {
                prop_assert!(!id.is_empty() && id.len() <= MAX_BACKEND_ID_BYTES && !id.contains([' ', '\t', '\r', '\n']));
            }
            Ok(ConsoleCommand::Ready) => {}
            Err(error) => {
                let response = ConsoleResponse::from(error).to_string();
                prop_assert!(response.starts_with("FAILURE ") && !response.contains(['\r', '\n']));
            }
        }
    }

    #[test]
    fn ids_are_parsed_unchanged(id in "[!-~]{1,256}") {
        prop_assert_eq!(ConsoleCommand::parse(format!("exclude {id}\r\n").as_bytes()), Ok(ConsoleCommand::Exclude(id.clone())));
        prop_assert_eq!(ConsoleCommand::parse(format!("include {id}").as_bytes()), Ok(ConsoleCommand::Include(id)));
    }
}
