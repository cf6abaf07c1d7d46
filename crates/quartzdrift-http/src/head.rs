//! Heads of requests and responses: parsing and writing, without I/O (RFC 9112 sections 2 to 6).
//!
//! Strict where framing is concerned: two lengths, a length beside chunks, or an unknown transfer coding are errors. Two
//! readers that disagree on where a body ends can be made to mix clients' bytes (request smuggling).

#[cfg(test)]
mod tests;

/// Maximum header fields in one head; more are an error.
const MAX_FIELDS: usize = 64;

/// Header fields in their order; names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// No fields.
    pub fn new() -> Headers {
        Headers::default()
    }

    /// The first value of a field. The name must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// All values of a field. The name must be in lower case.
    pub fn get_all(&self, name: &str) -> impl Iterator<Item = &str> {
        self.iter()
            .filter(move |(field, _)| *field == name)
            .map(|(_, value)| value)
    }

    /// All fields, names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Adds a field. Control characters in the value become spaces, so that no value can end its line.
    pub fn push(&mut self, name: &str, value: &str) {
        let replace_control = |c: char| if c.is_control() && c != '\t' { ' ' } else { c };
        let value = value.chars().map(replace_control).collect();
        self.0.push((name.to_ascii_lowercase(), value));
    }

    /// These fields and one more; see [`Headers::push`].
    pub fn with(mut self, name: &str, value: &str) -> Headers {
        self.push(name, value);
        self
    }
}

/// How the end of a body is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// After this many bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The request target as received.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// How the body ends.
    pub framing: Framing,
    /// HTTP/1.0: the response must not be chunked.
    pub is_http_1_0: bool,
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// How the body ends.
    pub framing: Framing,
}

impl ResponseHead {
    /// Whether the final response is still to come (1xx).
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Why bytes are no head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Too many header fields.
    TooLarge,
    /// It is not HTTP/1.1, or its framing is ambiguous.
    Malformed,
    /// A transfer coding other than chunked.
    UnsupportedTransferCoding,
}

/// The position after the empty line that ends a head. The search continues from `scanned`, so that a head received byte by
/// byte is searched once.
pub fn find_head_end(buffer: &[u8], scanned: &mut usize) -> Option<usize> {
    let from = scanned.saturating_sub(3);
    for (at, byte) in buffer.iter().enumerate().skip(from) {
        if *byte == b'\n' {
            let rest = &buffer[at + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(at + 3);
            }
        }
    }
    *scanned = buffer.len();
    None
}

fn to_headers(parsed: &[httparse::Header]) -> Headers {
    let fields = parsed.iter().map(|field| {
        // Bytes past ASCII are read as ISO 8859-1, as the first specification had it: no value is rejected for them.
        let value = field.value.iter().map(|&byte| char::from(byte)).collect();
        (field.name.to_ascii_lowercase(), value)
    });
    Headers(fields.collect())
}

/// The elements of a field that is a list.
fn list_elements<'a>(headers: &'a Headers, name: &str) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .flat_map(|value| value.split(','))
        .map(str::trim)
}

/// The framing that the fields state; `None` where they state none.
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

fn content_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut lengths = list_elements(headers, "content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    let is_number = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || lengths.any(|other| other != first) {
        return Err(HeadError::Malformed);
    }
    let length = first.parse().map_err(|_| HeadError::Malformed)?;
    Ok(Some(length))
}

fn keep_alive(headers: &Headers, is_http_1_0: bool) -> bool {
    let has_option =
        |option: &str| list_elements(headers, "connection").any(|other| other.eq_ignore_ascii_case(option));
    if is_http_1_0 {
        has_option("keep-alive")
    } else {
        !has_option("close")
    }
}

/// Checks that a head was parsed to its end.
fn check_complete(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

/// Parses a request's complete head, which ends at [`find_head_end`].
///
/// # Errors
/// [`HeadError`] says why it is none.
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

/// Parses a response's complete head, which ends at [`find_head_end`].
///
/// # Errors
/// [`HeadError`] says why it is none.
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

/// The reason phrase of a status that is sent here.
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
        // The inverse of reading: one byte for each character.
        out.extend(value.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')));
        out.extend_from_slice(b"\r\n");
    }
}

/// Writes a response's head.
pub fn write_response(out: &mut Vec<u8>, status: u16, headers: &Headers, framing: Framing, keep_alive: bool) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    write_fields(out, headers);
    finish_head(out, framing, keep_alive);
}

/// Writes a request's head.
pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, headers: &Headers, framing: Framing) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    write_fields(out, headers);
    finish_head(out, framing, true);
}

fn finish_head(out: &mut Vec<u8>, framing: Framing, keep_alive: bool) {
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
