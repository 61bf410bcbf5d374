//! Finds status lines among bytes.

/// Length in bytes of a status line up to and including the byte behind the status code.
const LEN: usize = b"HTTP/1.1 200 ".len();
const VERSION: &[u8] = b"HTTP/1.";

/// Position of the first status line that begins at `from` or later, wherever it stands in a line.
pub fn find_status_line(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let at = rest.windows(LEN).position(is_status_line)?;
    Some(from + at)
}

fn is_status_line(window: &[u8]) -> bool {
    let Some(rest) = window.strip_prefix(VERSION) else {
        return false;
    };
    matches!(rest, [b'0' | b'1', b' ', code @ .., end]
        if code.iter().all(u8::is_ascii_digit) && matches!(end, b' ' | b'\r' | b'\n'))
}
