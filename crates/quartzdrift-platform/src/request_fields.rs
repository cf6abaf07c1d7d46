//! A client's fields, read and checked at the door: workers close a whole connection, with all that is open on it,
//! on what they cannot read, so nothing doubtful may reach one.
use quartzdrift_scheduler::interface::{Idempotency, Settings};
use std::time::Duration;

/// Largest figure of a request that is believed: more memory, connections or load time than any machine has.
const MAX_MEMORY_MB: f64 = 1e7;
const MAX_LANES: f64 = 1e5;
const MAX_LOAD_MS: f64 = 3.6e6;
/// By how much a client's time may pass its request class's limit, for rounding on the way.
const TIME_ROUNDING: Duration = Duration::from_millis(5);
const DIGITS: usize = 16;
/// Characters of an idempotency key at most; a hash in hex has 64.
const MAX_IDEMPOTENCY_KEY: usize = 128;

/// The fields as they came, by their names in CGI; `None` where one is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFields<'a> {
    /// Path under which the program was called: `/do/CLASS`.
    pub path: Option<&'a str>,
    pub id: Option<&'a str>,
    pub time: Option<&'a str>,
    pub function: Option<&'a str>,
    /// By which workers know a repeat of a request with an idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    pub resource_hints: Option<&'a str>,
    /// The body's length as told, and as it came.
    pub length: Option<&'a str>,
    pub body: usize,
}

/// What is asked, checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRequest<'a> {
    pub id: u64,
    pub request_class: u32,
    /// Place among the settings' tenants; one that is not told or not among them has the place after the last.
    pub tenant: u32,
    pub function: &'a str,
    /// To be passed on unchanged; always there where the request class is fingerprinted.
    pub idempotency_key: Option<&'a str>,
    pub time_remaining: Duration,
    pub memory_mb: Option<f64>,
    pub concurrency_slots: Option<f64>,
    pub load: Option<Duration>,
    pub work: Option<Duration>,
}

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldError {
    Path,
    RequestClass,
    Id,
    Function,
    IdempotencyKey,
    Tenant,
    Time,
    ResourceHints,
    Length,
}

impl FieldError {
    pub fn status(self) -> u16 {
        match self {
            FieldError::Path | FieldError::RequestClass => 404,
            FieldError::Id
            | FieldError::Function
            | FieldError::IdempotencyKey
            | FieldError::Tenant
            | FieldError::Time
            | FieldError::ResourceHints
            | FieldError::Length => 400,
        }
    }

    pub fn text(self) -> &'static str {
        match self {
            FieldError::Path => "no such path",
            FieldError::RequestClass => "no such class",
            FieldError::Id => "the id is not 16 hex digits",
            FieldError::Function => "the function is not 16 hex digits",
            FieldError::IdempotencyKey => {
                "the idempotency key is missing, or no word of letters, digits, '-' and '_'"
            }
            FieldError::Tenant => "the tenant is given twice, or is no text",
            FieldError::Time => "the time is no number of milliseconds in range",
            FieldError::ResourceHints => "a figure is no number in range",
            FieldError::Length => "the length told is not the body's",
        }
    }
}

fn hex(text: Option<&str>) -> Option<&str> {
    text.filter(|text| text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit()))
}

fn resource_hint(text: &str, least: f64, most: f64) -> Result<f64, FieldError> {
    let plain = |b: u8| b.is_ascii_digit() || b == b'.';
    let value = text
        .parse::<f64>()
        .ok()
        .filter(|_| text.bytes().all(plain))
        .ok_or(FieldError::ResourceHints)?;
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(FieldError::ResourceHints)
    }
}

pub fn read<'a>(fields: &RequestFields<'a>, settings: &Settings) -> Result<PlatformRequest<'a>, FieldError> {
    let class = fields
        .path
        .and_then(|path| path.strip_prefix("/do/"))
        .ok_or(FieldError::Path)?;
    let request_class = settings
        .request_classes
        .iter()
        .position(|w| w.name == class)
        .ok_or(FieldError::RequestClass)?;
    let id = hex(fields.id)
        .and_then(|id| u64::from_str_radix(id, 16).ok())
        .ok_or(FieldError::Id)?;
    let function = hex(fields.function).ok_or(FieldError::Function)?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let word = |text: &&str| (1..=MAX_IDEMPOTENCY_KEY).contains(&text.len()) && text.bytes().all(plain);
    let idempotency_key = fields.idempotency_key.filter(|text| !text.is_empty());
    let keyed = settings.request_classes[request_class].idempotency == Idempotency::IdempotentWithKey;
    // Without it workers could not tell a repeat, and its effect would happen twice.
    if idempotency_key.is_none() && keyed || idempotency_key.is_some_and(|text| !word(&text)) {
        return Err(FieldError::IdempotencyKey);
    }
    let digits = |text: &&str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let ms = fields
        .time
        .filter(digits)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or(FieldError::Time)?;
    let time_remaining = Duration::from_millis(ms);
    let limit = settings.request_classes[request_class]
        .timeout
        .unwrap_or(Duration::MAX);
    if time_remaining.is_zero() || time_remaining > limit.saturating_add(TIME_ROUNDING) {
        return Err(FieldError::Time);
    }
    if let Some(length) = fields.length.filter(|text| !text.is_empty()) {
        let parsed = Some(length)
            .filter(digits)
            .and_then(|text| text.parse::<usize>().ok());
        if parsed != Some(fields.body) {
            return Err(FieldError::Length);
        }
    }
    let tenants = &settings.tenants;
    let tenant = tenants
        .iter()
        .position(|one| Some(&one.name[..]) == fields.tenant);
    let mut request = PlatformRequest {
        id,
        request_class: request_class as u32,
        tenant: tenant.unwrap_or(tenants.len()) as u32,
        function,
        idempotency_key,
        time_remaining,
        memory_mb: None,
        concurrency_slots: None,
        load: None,
        work: None,
    };
    for one in fields
        .resource_hints
        .unwrap_or("")
        .split(';')
        .filter(|one| !one.is_empty())
    {
        let (name, value) = one.split_once(':').ok_or(FieldError::ResourceHints)?;
        let millis =
            |value| resource_hint(value, 0.0, MAX_LOAD_MS).map(|ms| Duration::from_secs_f64(ms / 1e3));
        match name {
            "memory_mb" => request.memory_mb = Some(resource_hint(value, f64::MIN_POSITIVE, MAX_MEMORY_MB)?),
            "lanes" => request.concurrency_slots = Some(resource_hint(value, 1.0, MAX_LANES)?),
            "load_ms" => request.load = Some(millis(value)?),
            "hint" => request.work = Some(millis(value)?),
            // A figure that we have no use for may have any form.
            _ => {}
        }
    }
    Ok(request)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use quartzdrift_scheduler::interface::{RequestClass, Tenant};

    fn settings() -> Settings {
        let timeout = Some(Duration::from_secs(4));
        let map = RequestClass {
            name: "map".to_owned(),
            timeout,
            ..RequestClass::default()
        };
        Settings {
            request_classes: vec![map],
            ..Settings::default()
        }
    }

    /// One character more than an idempotency key may have.
    const LONG: &str = match str::from_utf8(&[b'f'; MAX_IDEMPOTENCY_KEY + 1]) {
        Ok(text) => text,
        Err(_) => panic!("it is ASCII"),
    };

    fn good<'a>() -> RequestFields<'a> {
        RequestFields {
            path: Some("/do/map"),
            id: Some("9b1f03aa5c7e2d41"),
            time: Some("1500"),
            function: Some("7f3a9c21e0b4d655"),
            idempotency_key: None,
            tenant: None,
            resource_hints: Some("memory_mb:512;lanes:2;load_ms:640"),
            length: Some("3"),
            body: 3,
        }
    }

    #[test]
    fn a_good_one_is_read_as_it_came() {
        let request = read(&good(), &settings()).unwrap();
        assert_eq!(request.tenant, 0, "no customers are told, and none is named");
        assert_eq!(
            (request.id, request.function),
            (0x9b1f_03aa_5c7e_2d41, "7f3a9c21e0b4d655")
        );
        assert_eq!(
            (request.time_remaining, request.memory_mb),
            (Duration::from_millis(1500), Some(512.0))
        );
        assert_eq!(
            (request.concurrency_slots, request.load),
            (Some(2.0), Some(Duration::from_millis(640)))
        );
    }

    #[test]
    fn tenants_are_those_of_the_settings_and_all_others_are_one_more() {
        let name = |name: &str| Tenant {
            name: name.to_owned(),
            ..Tenant::default()
        };
        let settings = Settings {
            tenants: vec![name("a"), name("b")],
            ..settings()
        };
        let of = |tenant| {
            read(&RequestFields { tenant, ..good() }, &settings)
                .unwrap()
                .tenant
        };
        assert_eq!(
            [Some("a"), Some("b"), Some("c"), Some(""), None].map(of),
            [0, 1, 2, 2, 2]
        );
    }

    #[test]
    fn each_field_that_is_out_of_range_is_named() {
        let wrong = |change: &dyn Fn(&mut RequestFields)| {
            let mut fields = good();
            change(&mut fields);
            read(&fields, &settings()).unwrap_err()
        };
        assert_eq!(wrong(&|f| f.path = Some("/other")), FieldError::Path);
        assert_eq!(wrong(&|f| f.path = Some("/do/map,x=1")), FieldError::RequestClass);
        for id in [
            None,
            Some(""),
            Some("9b1f03aa5c7e2d4"),
            Some("9b1f03aa5c7e2d41a"),
            Some("+b1f03aa5c7e2d41"),
        ] {
            assert_eq!(wrong(&|f| f.id = id), FieldError::Id);
        }
        assert_eq!(
            wrong(&|f| f.function = Some("7f3a9c21,x=4d655")),
            FieldError::Function
        );
        for time in [
            None,
            Some("0"),
            Some("-5"),
            Some("+5"),
            Some("1e3"),
            Some("4006"),
            Some("99999999999999999999"),
        ] {
            assert_eq!(wrong(&|f| f.time = time), FieldError::Time);
        }
        for resource_hints in [
            "lanes:-1",
            "lanes:0",
            "memory_mb:nan",
            "memory_mb:1e400",
            "load_ms:x",
            "lanes",
        ] {
            assert_eq!(
                wrong(&|f| f.resource_hints = Some(resource_hints)),
                FieldError::ResourceHints
            );
        }
        for idempotency_key in ["a,b", "a=b", "a b", "\u{e9}", LONG] {
            assert_eq!(
                wrong(&|f| f.idempotency_key = Some(idempotency_key)),
                FieldError::IdempotencyKey
            );
        }
        for length in ["4", "-1", "99999999999999999999", "x"] {
            assert_eq!(wrong(&|f| f.length = Some(length)), FieldError::Length);
        }
    }

    #[test]
    fn a_keyed_request_has_its_idempotency_key_and_others_may() {
        let (mut settings, mut fields) = (settings(), good());
        assert_eq!(read(&fields, &settings).unwrap().idempotency_key, None);
        settings.request_classes[0].idempotency = Idempotency::IdempotentWithKey;
        for missing in [None, Some("")] {
            assert_eq!(
                read(
                    &RequestFields {
                        idempotency_key: missing,
                        ..fields
                    },
                    &settings
                ),
                Err(FieldError::IdempotencyKey)
            );
        }
        fields.idempotency_key = Some("9f-03_Aa");
        assert_eq!(
            read(&fields, &settings).unwrap().idempotency_key,
            Some("9f-03_Aa")
        );
    }

    proptest! {
        #[test]
        fn nothing_that_passes_can_break_a_frames_fields(function in ".{0,20}", resource_hints in ".{0,40}") {
            let fields = RequestFields { function: Some(&function), resource_hints: Some(&resource_hints), ..good() };
            if let Ok(request) = read(&fields, &settings()) {
                prop_assert!(request.function.bytes().all(|b| b.is_ascii_alphanumeric()));
            }
        }
    }
}
