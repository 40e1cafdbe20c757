//! Ends of request heads in a stream of bytes.

use intake::HeadScanner;
use rstest::rstest;

/// Guards against short pipelined requests that are parsed all at once, and against turns that end within ordinary ones.
#[rstest]
#[case::one_head("GET / HTTP/1.1\r\n\r\n", 18)]
#[case::head_and_body("POST / HTTP/1.1\r\n\r\n{}", 21)]
#[case::third_head("a\r\n\r\nb\r\n\r\nc\r\n\r\n", 10)]
#[case::line_feeds_alone("a\n\nb\n\nc\n\n", 6)]
#[case::mixed_line_ends("a\n\r\nb\r\n\nc", 8)]
#[case::headers("a\r\nb: c\r\nd: e\r\n", 15)]
fn turn_ends_after_two_heads(#[case] text: &str, #[case] expected: usize) {
    assert_eq!(HeadScanner::new().split(text.as_bytes(), 2), expected);
}

/// Guards against an end of a head that is missed because it arrives in two reads.
#[test]
fn end_of_a_head_may_be_split() {
    let mut scanner = HeadScanner::new();
    assert_eq!(scanner.split(b"a\r\n\r", 1), 4);
    assert_eq!(scanner.split(b"\nb", 1), 1);
}
