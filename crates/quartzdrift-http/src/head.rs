//! Parsing and serialization of request and response heads, without I/O (RFC 9112 sections 2 to 6).
//!
//! Framing is checked strictly: conflicting lengths, a `content-length` beside chunks, and unknown transfer
//! codings are errors. If two servers on a request's path disagreed on where its body ends, an attacker could
//! hide a second request in the body (request smuggling).

#[cfg(test)]
mod tests;

/// Maximum header fields in one head.
const MAX_FIELDS: usize = 64;

/// Header fields in the order in which they were received or added; names are in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Creates an empty list of fields.
    pub fn new() -> Headers {
        Headers::default()
    }

    /// Returns the first value of a field. `name` must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Returns all values of a field. `name` must be in lower case.
    pub fn get_all(&self, name: &str) -> impl Iterator<Item = &str> {
        self.iter()
            .filter(move |(field, _)| *field == name)
            .map(|(_, value)| value)
    }

    /// Iterates over the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Adds a field. Control characters except tab in the value become spaces, so that a value with a line
    /// break cannot add another field.
    pub fn push(&mut self, name: &str, value: &str) {
        let replace_control = |c: char| if c.is_control() && c != '\t' { ' ' } else { c };
        let value = value.chars().map(replace_control).collect();
        self.0.push((name.to_ascii_lowercase(), value));
    }

    /// Adds a field and returns the headers; see [`Headers::push`].
    pub fn with(mut self, name: &str, value: &str) -> Headers {
        self.push(name, value);
        self
    }
}

/// Rule that determines where a message body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes (`content-length`).
    Length(u64),
    /// The body ends with an empty chunk (`transfer-encoding: chunked`).
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// Head of a request: request line and header fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// HTTP method as received; methods are case-sensitive.
    pub method: String,
    /// The request target as received.
    pub target: String,
    /// Header fields, including those of the framing.
    pub headers: Headers,
    /// Whether the client keeps the connection open for another request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Framing of the request's body.
    pub framing: Framing,
    /// Whether the request is HTTP/1.0; its response must not be chunked.
    pub is_http_1_0: bool,
}

/// Head of a response: status line and header fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, including those of the framing.
    pub headers: Headers,
    /// Whether the connection can carry another request after the response.
    pub keep_alive: bool,
    /// Framing of the response's body.
    pub framing: Framing,
}

impl ResponseHead {
    /// Whether this is an interim response (status 1xx), which precedes the final one.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Reason for rejecting a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head has more than `MAX_FIELDS` header fields.
    TooLarge,
    /// The bytes are not an HTTP/1.0 or HTTP/1.1 head, or the framing is ambiguous.
    Malformed,
    /// The message has a transfer coding other than chunked.
    UnsupportedTransferCoding,
}

/// Returns the position after the empty line that ends a head, or `None` if the head is not complete.
///
/// `scanned` is the number of bytes searched by earlier calls for the same head, so that a head that arrives
/// byte by byte is searched only once. It is updated if the head is not complete.
pub fn find_head_end(buffer: &[u8], scanned: &mut usize) -> Option<usize> {
    let start = scanned.saturating_sub(3);
    for (index, byte) in buffer.iter().enumerate().skip(start) {
        if *byte == b'\n' {
            let rest = &buffer[index + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(index + 3);
            }
        }
    }
    *scanned = buffer.len();
    None
}

fn to_headers(parsed: &[httparse::Header]) -> Headers {
    let fields = parsed.iter().map(|field| {
        // Non-ASCII bytes are decoded as ISO 8859-1, the charset of RFC 2616, so that every value can be
        // decoded.
        let value = field.value.iter().map(|&byte| char::from(byte)).collect();
        (field.name.to_ascii_lowercase(), value)
    });
    Headers(fields.collect())
}

/// Returns the comma-separated elements of all values of a field.
fn list_elements<'a>(headers: &'a Headers, name: &str) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .flat_map(|value| value.split(','))
        .map(str::trim)
}

/// Returns the framing that the header fields specify, or `None` if they specify none.
fn framing(headers: &Headers) -> Result<Option<Framing>, HeadError> {
    let length = content_length(headers)?;
    let mut codings = list_elements(headers, "transfer-encoding");
    match (codings.next(), codings.next(), length) {
        (None, _, None) => Ok(None),
        (None, _, Some(length)) => Ok(Some(Framing::Length(length))),
        (Some(_), _, Some(_)) => Err(HeadError::Malformed),
        (Some(coding), None, None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        (Some(_), _, None) => Err(HeadError::UnsupportedTransferCoding),
    }
}

/// Returns the body length that `content-length` specifies; repeated equal values are allowed.
fn content_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut values = list_elements(headers, "content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let is_number = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || values.any(|other| other != first) {
        return Err(HeadError::Malformed);
    }
    let length = first.parse().map_err(|_| HeadError::Malformed)?;
    Ok(Some(length))
}

/// Returns whether the sender keeps the connection open, which is the default from HTTP/1.1 on.
fn keep_alive(headers: &Headers, is_http_1_0: bool) -> bool {
    let has_option =
        |option: &str| list_elements(headers, "connection").any(|other| other.eq_ignore_ascii_case(option));
    if is_http_1_0 {
        has_option("keep-alive")
    } else {
        !has_option("close")
    }
}

/// Converts httparse's result to an error unless the whole head was parsed.
fn check_complete(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

/// Parses a complete request head, up to the position from [`find_head_end`].
///
/// # Errors
/// Returns [`HeadError`] if the head is not a valid request head.
pub fn parse_request(bytes: &[u8]) -> Result<RequestHead, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    check_complete(parsed.parse(bytes))?;
    let headers = to_headers(parsed.headers);
    let framing = framing(&headers)?.unwrap_or(Framing::None);
    let is_http_1_0 = parsed.version != Some(1);
    if is_http_1_0 && framing == Framing::Chunked {
        return Err(HeadError::Malformed);
    }
    let expects_continue = headers
        .get("expect")
        .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    Ok(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        keep_alive: keep_alive(&headers, is_http_1_0),
        expects_continue: expects_continue && !is_http_1_0,
        headers,
        framing,
        is_http_1_0,
    })
}

/// Parses a complete response head, up to the position from [`find_head_end`].
///
/// # Errors
/// Returns [`HeadError`] if the head is not a valid response head.
pub fn parse_response(bytes: &[u8]) -> Result<ResponseHead, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    check_complete(parsed.parse(bytes))?;
    let headers = to_headers(parsed.headers);
    let status = parsed.code.unwrap_or(0);
    let framing = match status {
        100..200 | 204 | 304 => Framing::None,
        _ => framing(&headers)?.unwrap_or(Framing::UntilClose),
    };
    let is_http_1_0 = parsed.version != Some(1);
    let keep_alive = keep_alive(&headers, is_http_1_0) && framing != Framing::UntilClose;
    Ok(ResponseHead {
        status,
        headers,
        keep_alive,
        framing,
    })
}

/// Returns the reason phrase of a status code that this project sends, and `-` for other codes.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "-",
    }
}

fn write_fields(out: &mut Vec<u8>, headers: &Headers) {
    for (name, value) in headers.iter() {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        // Encoded as ISO 8859-1, as `to_headers` decodes it.
        out.extend(value.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')));
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends a response head with the fields for its framing. Without `keep_alive` it has `connection: close`.
pub fn write_response(out: &mut Vec<u8>, status: u16, headers: &Headers, framing: Framing, keep_alive: bool) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    write_fields(out, headers);
    write_framing(out, framing, keep_alive);
}

/// Appends a request head with the fields for its framing.
pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, headers: &Headers, framing: Framing) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    write_fields(out, headers);
    write_framing(out, framing, true);
}

/// Appends the framing fields and the empty line that ends the head.
fn write_framing(out: &mut Vec<u8>, framing: Framing, keep_alive: bool) {
    match framing {
        Framing::Length(length) => out.extend_from_slice(format!("content-length: {length}\r\n").as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Framing::None | Framing::UntilClose => {}
    }
    if !keep_alive {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}
