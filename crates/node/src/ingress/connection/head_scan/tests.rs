use super::{HeadError, HeadScan, MAX_EMPTY_LINES};

const MAX_BYTES: usize = 64;

fn scan(bytes: &[u8]) -> Result<Option<usize>, HeadError> {
    HeadScan::default().advance(bytes, MAX_BYTES)
}

/// Scans a head that arrives byte by byte.
fn scan_slowly(bytes: &[u8]) -> Result<Option<usize>, HeadError> {
    let mut scan = HeadScan::default();
    for end in 1..bytes.len() {
        if let Some(length) = scan.advance(&bytes[..end], MAX_BYTES)? {
            return Ok(Some(length));
        }
    }
    scan.advance(bytes, MAX_BYTES)
}

/// Guards against a result that depends on how the network splits a head.
#[test]
fn the_split_of_a_head_makes_no_difference() {
    let long = [b'x'; MAX_BYTES + 1];
    let cases: [(&[u8], _); 8] = [
        (b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", Ok(Some(27))),
        (b"GET / HTTP/1.1\r\nhost: a\r\n\r\nGET", Ok(Some(27))),
        (b"GET / HTTP/1.1\r\nhost: a\r\n\r", Ok(None)),
        (
            b"GET / HTTP/1.1\nhost: a\r\n\r\n",
            Err(HeadError::Malformed),
        ),
        (
            b"GET / HTTP/1.1\r\nhost: a\r\n\n",
            Err(HeadError::Malformed),
        ),
        (b"GET / HTTP/1.1\r\nx: a\rb", Err(HeadError::Malformed)),
        (
            b"GET / HTTP/1.1\r\nx: a\r\n b\r\n",
            Err(HeadError::Malformed),
        ),
        (&long, Err(HeadError::TooLarge)),
    ];
    for (bytes, result) in cases {
        assert_eq!(scan(bytes), result, "{}", bytes.escape_ascii());
        assert_eq!(scan_slowly(bytes), result, "{}", bytes.escape_ascii());
    }
}

/// Guards against an endless sequence of empty lines before a request.
#[test]
fn empty_lines_are_bounded() {
    let mut scan = HeadScan::default();
    for _ in 0..MAX_EMPTY_LINES {
        assert_eq!(scan.count_empty_line(), Ok(()));
    }
    assert_eq!(scan.count_empty_line(), Err(HeadError::TooManyEmptyLines));
}
