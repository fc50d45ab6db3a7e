use super::{ChunkScan, InvalidChunk, Place};

/// Checks a body in parts of a size and returns whether its end was seen.
fn check(body: &[u8], part: usize) -> Result<bool, InvalidChunk> {
    let mut scan = ChunkScan::new();
    for bytes in body.chunks(part) {
        scan.check(bytes)?;
    }
    Ok(scan.place == Place::End)
}

/// Guards against a check that refuses what callers may send, and against one that depends on how the network
/// splits a body.
#[test]
fn the_split_of_a_body_makes_no_difference() {
    let long = format!("1;{}\r\n", "x".repeat(2_000));
    let trailers = format!("0\r\n{}\r\n", "x: y\r\n".repeat(2_000));
    let cases: [(&str, _); 14] = [
        ("0\r\n\r\n", Ok(true)),
        ("4\r\nbody\r\n0\r\n\r\n", Ok(true)),
        ("4;a=\"b\"\r\nbody\r\n0;c\r\n\r\n", Ok(true)),
        ("4 \r\n\r\n\r\n\r\n000\r\n\r\n", Ok(true)),
        ("0\r\nx: y\r\nz: 1\r\n\r\n", Ok(true)),
        ("0\r\n\r\nGET / HTTP/1.1\n", Ok(true)),
        ("4\r\nbody\r\n0\r\n\r", Ok(false)),
        ("0\r\n\n", Err(InvalidChunk)),
        ("0\r\nx: y\n\r\n", Err(InvalidChunk)),
        ("0\r\nx: y\r\n z\r\n\r\n", Err(InvalidChunk)),
        ("4\r\nbody\n", Err(InvalidChunk)),
        ("1000000000000000\r\n", Err(InvalidChunk)),
        (&long, Err(InvalidChunk)),
        (&trailers, Err(InvalidChunk)),
    ];
    for (body, result) in cases {
        for part in [1, 2, 3, 7, body.len()] {
            assert_eq!(check(body.as_bytes(), part), result, "{body:?} in {part}");
        }
    }
}
