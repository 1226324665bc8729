//! Reads fields of JSON objects as text; the stand-ins need no more of JSON than that.

/// Returns the text of a field of the object `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, skip_space(bytes, key_end) + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns the text of a string without its quotes; names here contain no escapes.
pub fn string(text: &str) -> Option<&str> {
    text.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0;
    let mut in_string = false;
    let mut i = at;
    while i < bytes.len() {
        match bytes[i] {
            b'\\' if in_string => i += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return Some(i + 1);
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(i),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(i + 1);
                }
            }
            b',' if depth == 0 => return Some(i),
            _ => {}
        }
        i += 1;
    }
    Some(i)
}
