//! Heads of requests and answers: bytes in, fields out (RFC 9112 sections 2 to 6). No I/O.
//!
//! Strict where framing is concerned: two lengths, a length beside chunks, or an unknown transfer coding are
//! errors, since two readers that disagree on where a body ends can be made to mix clients' bytes.

/// Fields in one head at most; more is an error.
const MAX_FIELDS: usize = 64;

/// Fields of a head in their order; names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    pub fn new() -> Headers {
        Headers::default()
    }

    /// The first value under this name, which must be given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    /// Adds a field. Control characters in the value become spaces, so that no value can end its line.
    pub fn push(&mut self, name: &str, value: &str) {
        let clean = |c: char| if c.is_control() && c != '\t' { ' ' } else { c };
        self.0
            .push((name.to_ascii_lowercase(), value.chars().map(clean).collect()));
    }

    pub fn with(mut self, name: &str, value: &str) -> Headers {
        self.push(name, value);
        self
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    None,
    Length(u64),
    Chunked,
    UntilClose,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub keep_alive: bool,
    pub expects_continue: bool,
    pub framing: Framing,
    /// HTTP/1.0: no chunked answer may be sent.
    pub old: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
    pub keep_alive: bool,
    pub framing: Framing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    TooLarge,
    Malformed,
    /// A transfer coding other than chunked.
    Coding,
}

/// Finds the empty line that ends a head, looking on from `scanned`; a head that comes byte by byte is so
/// looked at once, not once for each byte.
pub fn head_end(buffer: &[u8], scanned: &mut usize) -> Option<usize> {
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

fn fields(parsed: &[httparse::Header]) -> Headers {
    // Bytes past ASCII are kept as ISO 8859-1, as the oldest reading has it: no value is refused for them.
    let text = |bytes: &[u8]| bytes.iter().map(|&b| b as char).collect::<String>();
    Headers(
        parsed
            .iter()
            .map(|h| (h.name.to_ascii_lowercase(), text(h.value)))
            .collect(),
    )
}

/// Body length as told; `None` where nothing is.
fn framing(headers: &Headers) -> Result<Option<Framing>, HeadError> {
    let mut lengths = headers
        .all("content-length")
        .flat_map(|v| v.split(','))
        .map(str::trim);
    let length = match lengths.next() {
        None => None,
        Some(first) => {
            if first.is_empty() || !first.bytes().all(|b| b.is_ascii_digit()) || lengths.any(|l| l != first) {
                return Err(HeadError::Malformed);
            }
            Some(first.parse::<u64>().map_err(|_| HeadError::Malformed)?)
        }
    };
    let mut codings = headers
        .all("transfer-encoding")
        .flat_map(|v| v.split(','))
        .map(str::trim);
    match (codings.next(), codings.next(), length) {
        (None, _, None) => Ok(None),
        (None, _, Some(length)) => Ok(Some(Framing::Length(length))),
        (Some(_), _, Some(_)) => Err(HeadError::Malformed),
        (Some(coding), None, None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        (Some(_), _, None) => Err(HeadError::Coding),
    }
}

fn keep_alive(headers: &Headers, version: Option<u8>) -> bool {
    let says = |word: &str| {
        let mut tokens = headers.all("connection").flat_map(|v| v.split(','));
        tokens.any(|t| t.trim().eq_ignore_ascii_case(word))
    };
    if version == Some(1) {
        !says("close")
    } else {
        says("keep-alive")
    }
}

/// Reads a whole head, as [`head_end`] delimits it.
pub fn request(bytes: &[u8]) -> Result<RequestHead, HeadError> {
    let mut raw = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut raw);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => return Err(HeadError::Malformed),
    }
    let headers = fields(parsed.headers);
    let framing = framing(&headers)?.unwrap_or(Framing::None);
    let old = parsed.version != Some(1);
    if old && framing == Framing::Chunked {
        return Err(HeadError::Malformed);
    }
    let expects = headers
        .get("expect")
        .is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    Ok(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        keep_alive: keep_alive(&headers, parsed.version),
        expects_continue: expects && !old,
        headers,
        framing,
        old,
    })
}

/// Reads a whole head of an answer.
pub fn response(bytes: &[u8]) -> Result<ResponseHead, HeadError> {
    let mut raw = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut raw);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) | Err(_) => return Err(HeadError::Malformed),
    }
    let (headers, status) = (fields(parsed.headers), parsed.code.unwrap_or(0));
    let framing = match status {
        100..200 | 204 | 304 => Framing::None,
        _ => framing(&headers)?.unwrap_or(Framing::UntilClose),
    };
    let keep_alive = keep_alive(&headers, parsed.version) && framing != Framing::UntilClose;
    Ok(ResponseHead {
        status,
        headers,
        keep_alive,
        framing,
    })
}

/// Reason phrase of the statuses that we send.
fn reason(status: u16) -> &'static str {
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
        // Back to the one byte for each character that it was read as.
        out.extend(value.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')));
        out.extend_from_slice(b"\r\n");
    }
}

pub fn write_response(out: &mut Vec<u8>, status: u16, headers: &Headers, framing: Framing, keep_alive: bool) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    write_fields(out, headers);
    finish_head(out, framing, keep_alive);
}

pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, headers: &Headers, framing: Framing) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    write_fields(out, headers);
    finish_head(out, framing, true);
}

fn finish_head(out: &mut Vec<u8>, framing: Framing, keep_alive: bool) {
    match framing {
        Framing::Length(n) => out.extend_from_slice(format!("content-length: {n}\r\n").as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Framing::None | Framing::UntilClose => {}
    }
    if !keep_alive {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lengths_that_disagree_are_refused() {
        let bad = [
            "content-length: 3\r\ncontent-length: 4",
            "content-length: 3\r\ntransfer-encoding: chunked",
            "content-length: +3",
            "content-length: 99999999999999999999",
        ];
        for fields in bad {
            let head = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
            assert_eq!(
                request(head.as_bytes()).unwrap_err(),
                HeadError::Malformed,
                "{fields}"
            );
        }
        let gzip = b"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n";
        assert_eq!(request(gzip).unwrap_err(), HeadError::Coding);
        let twice = b"POST / HTTP/1.1\r\ncontent-length: 3, 3\r\n\r\n";
        assert_eq!(request(twice).unwrap().framing, Framing::Length(3));
    }

    #[test]
    fn a_head_is_found_however_it_is_cut() {
        let whole = b"GET / HTTP/1.1\r\nhost: a\r\n\r\nrest";
        let mut scanned = 0;
        let found = (0..=whole.len()).find_map(|end| head_end(&whole[..end], &mut scanned));
        assert_eq!(found, Some(whole.len() - 4));
    }

    #[test]
    fn values_cannot_end_their_line() {
        let mut out = Vec::new();
        let headers = Headers::new().with("X-A", "1\r\nx-b: 2");
        write_response(&mut out, 200, &headers, Framing::Length(0), true);
        assert!(response(&out).unwrap().headers.get("x-b").is_none());
    }

    proptest::proptest! {
        #[test]
        fn any_bytes_are_read_without_panic(bytes: Vec<u8>) {
            let _ = request(&bytes);
            let _ = response(&bytes);
        }

        #[test]
        fn what_is_written_is_read_back(value in "[ -~]{0,40}", target in "/[a-z0-9/]{0,20}", n: u32) {
            let headers = Headers::new().with("x-a", value.trim());
            let mut out = Vec::new();
            write_request(&mut out, "POST", &target, &headers, Framing::Length(n.into()));
            let head = request(&out).unwrap();
            proptest::prop_assert_eq!(head.headers.get("x-a"), Some(value.trim()));
            proptest::prop_assert_eq!(&head.target, &target);
            proptest::prop_assert_eq!(head.framing, Framing::Length(n.into()));
        }
    }
}
