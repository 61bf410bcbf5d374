//! Finds status lines among bytes.

/// Length in bytes of a status line up to and including the byte behind the status code.
pub(super) const STATUS_LINE_LEN: usize = b"HTTP/1.1 200 ".len();
/// Length in bytes of the version and the space behind it.
const VERSION_LEN: usize = b"HTTP/1.1 ".len();
/// What status lines have in common; `0` stands for a digit.
const PATTERN: &[u8; STATUS_LINE_LEN] = b"HTTP/1.0 000 ";

/// Position of the first status line that begins at `from` or later, wherever it stands in a line.
pub(super) fn find_status_line(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let at = rest.windows(STATUS_LINE_LEN).position(begins_so)?;
    Some(from + at)
}

/// Position of the last status line that begins behind the first byte.
pub(super) fn last_status_line(bytes: &[u8]) -> Option<usize> {
    let rest = bytes.get(1..)?;
    let at = rest.windows(STATUS_LINE_LEN).rposition(begins_so)?;
    Some(at + 1)
}

/// Whether bytes end with the begin of a status line that may go on.
pub(super) fn begins_status_line(bytes: &[u8]) -> bool {
    open_status_line(bytes).is_some()
}

/// Position of the longest begin of a status line in which bytes end.
pub(super) fn open_status_line(bytes: &[u8]) -> Option<usize> {
    let from = (bytes.len() + 1).saturating_sub(STATUS_LINE_LEN);
    (from..bytes.len()).find(|at| begins_so(&bytes[*at..]))
}

/// Whether bytes are the begin of a status line.
fn begins_so(bytes: &[u8]) -> bool {
    let mut pairs = bytes.iter().zip(PATTERN).enumerate();
    pairs.all(|(at, (byte, expected))| match at {
        _ if at == STATUS_LINE_LEN - 1 => matches!(byte, b' ' | b'\r' | b'\n'),
        _ if *expected == b'0' => byte.is_ascii_digit(),
        _ => byte == expected,
    })
}

/// Status code and reason phrase of a status line; `None` if the bytes begin with none.
pub(super) fn split_status_line(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let (begin, reason) = line.split_at_checked(STATUS_LINE_LEN)?;
    let code = VERSION_LEN..STATUS_LINE_LEN - 1;
    begins_so(begin).then(|| (&begin[code], reason))
}
