//! Paths as upstreams may read them: with escapes decoded, slashes merged, parameters cut.

/// A path in its plainest form, or why no form is safe.
///
/// An upstream that reads a path in another way than this system would serve another route than
/// the one that was checked.
pub(crate) fn plain(path: &str) -> Result<String, &'static str> {
    let path = path.split('?').next().unwrap_or_default();
    let decoded = decode(path.as_bytes());
    if decoded.contains(&0) {
        return Err("the path has a zero byte");
    }
    let decoded = String::from_utf8_lossy(&decoded);
    let mut res = String::with_capacity(decoded.len() + 1);
    for segment in decoded.split(['/', '\\']) {
        let name = segment.split(';').next().unwrap_or_default();
        if name == "." || name == ".." {
            return Err("the path has a dot segment");
        }
        if !segment.is_empty() {
            res.push('/');
            res.push_str(segment);
        }
    }
    if res.is_empty() || decoded.ends_with('/') {
        res.push('/');
    }
    Ok(res)
}

/// Decodes escapes once; what is no escape stays as it is.
fn decode(path: &[u8]) -> Vec<u8> {
    let mut res = Vec::with_capacity(path.len());
    let mut at = 0;
    while let Some(byte) = path.get(at) {
        let digits = path.get(at + 1..at + 3).filter(|_| *byte == b'%');
        let escaped = digits
            .and_then(|it| std::str::from_utf8(it).ok())
            .filter(|it| it.bytes().all(|it| it.is_ascii_hexdigit()))
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        res.push(escaped.unwrap_or(*byte));
        at += if escaped.is_some() { 3 } else { 1 };
    }
    res
}
