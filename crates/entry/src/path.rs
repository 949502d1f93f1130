//! Path normalization: percent escapes are decoded and separators are merged, as upstreams may do.

/// Normalizes a path. Fails with the reason if no normalization is safe.
///
/// An upstream that interprets a path differently from this system could serve another route than
/// the one that was checked. Path parameters after `;` are ignored when looking for dot segments.
pub(crate) fn normalize(path: &str) -> Result<String, &'static str> {
    let path = path.split('?').next().unwrap_or_default();
    let decoded = decode_escapes(path.as_bytes());
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

/// Decodes percent escapes once; malformed escapes are left unchanged.
fn decode_escapes(path: &[u8]) -> Vec<u8> {
    let mut res = Vec::with_capacity(path.len());
    let mut position = 0;
    while let Some(byte) = path.get(position) {
        let digits = path.get(position + 1..position + 3).filter(|_| *byte == b'%');
        let escaped = digits
            .and_then(|it| std::str::from_utf8(it).ok())
            .filter(|it| it.bytes().all(|it| it.is_ascii_hexdigit()))
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        res.push(escaped.unwrap_or(*byte));
        position += if escaped.is_some() { 3 } else { 1 };
    }
    res
}
