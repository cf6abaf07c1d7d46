//! A client's fields, read and checked at the door: workers close a whole connection, with all that is open on it,
//! on what they cannot read, so nothing doubtful may reach one.
use quartzdrift_scheduler::interface::{Idempotency, Settings};
use std::time::Duration;

/// Largest figure of a request that is believed: more memory, lanes or load time than any machine has.
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
pub struct Fields<'a> {
    /// Path under which the program was called: `/do/CLASS`.
    pub path: Option<&'a str>,
    pub id: Option<&'a str>,
    pub time: Option<&'a str>,
    pub function: Option<&'a str>,
    /// By which workers know a repeat of a request with an idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    pub figures: Option<&'a str>,
    /// The body's length as told, and as it came.
    pub length: Option<&'a str>,
    pub body: usize,
}

/// What is asked, checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked<'a> {
    pub id: u64,
    pub request_class: u32,
    /// Place among the settings' tenants; one that is not told or not among them has the place after the last.
    pub tenant: u32,
    pub function: &'a str,
    /// To be passed on unchanged; always there where the request class is fingerprinted.
    pub idempotency_key: Option<&'a str>,
    pub left: Duration,
    pub memory_mb: Option<f64>,
    pub concurrency_slots: Option<f64>,
    pub load: Option<Duration>,
    pub work: Option<Duration>,
}

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    Path,
    RequestClass,
    Id,
    Function,
    IdempotencyKey,
    Tenant,
    Time,
    Figures,
    Length,
}

impl Wrong {
    pub fn status(self) -> u16 {
        match self {
            Wrong::Path | Wrong::RequestClass => 404,
            Wrong::Id
            | Wrong::Function
            | Wrong::IdempotencyKey
            | Wrong::Tenant
            | Wrong::Time
            | Wrong::Figures
            | Wrong::Length => 400,
        }
    }

    pub fn text(self) -> &'static str {
        match self {
            Wrong::Path => "no such path",
            Wrong::RequestClass => "no such class",
            Wrong::Id => "the id is not 16 hex digits",
            Wrong::Function => "the function is not 16 hex digits",
            Wrong::IdempotencyKey => {
                "the idempotency key is missing, or no word of letters, digits, '-' and '_'"
            }
            Wrong::Tenant => "the tenant is given twice, or is no text",
            Wrong::Time => "the time is no number of milliseconds in range",
            Wrong::Figures => "a figure is no number in range",
            Wrong::Length => "the length told is not the body's",
        }
    }
}

fn hex(text: Option<&str>) -> Option<&str> {
    text.filter(|text| text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit()))
}

fn figure(text: &str, least: f64, most: f64) -> Result<f64, Wrong> {
    let plain = |b: u8| b.is_ascii_digit() || b == b'.';
    let value = text
        .parse::<f64>()
        .ok()
        .filter(|_| text.bytes().all(plain))
        .ok_or(Wrong::Figures)?;
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(Wrong::Figures)
    }
}

pub fn read<'a>(fields: &Fields<'a>, settings: &Settings) -> Result<Asked<'a>, Wrong> {
    let class = fields
        .path
        .and_then(|path| path.strip_prefix("/do/"))
        .ok_or(Wrong::Path)?;
    let request_class = settings
        .request_classes
        .iter()
        .position(|w| w.name == class)
        .ok_or(Wrong::RequestClass)?;
    let id = hex(fields.id)
        .and_then(|id| u64::from_str_radix(id, 16).ok())
        .ok_or(Wrong::Id)?;
    let function = hex(fields.function).ok_or(Wrong::Function)?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let word = |text: &&str| (1..=MAX_IDEMPOTENCY_KEY).contains(&text.len()) && text.bytes().all(plain);
    let idempotency_key = fields.idempotency_key.filter(|text| !text.is_empty());
    let keyed = settings.request_classes[request_class].idempotency == Idempotency::IdempotentWithKey;
    // Without it workers could not tell a repeat, and its effect would happen twice.
    if idempotency_key.is_none() && keyed || idempotency_key.is_some_and(|text| !word(&text)) {
        return Err(Wrong::IdempotencyKey);
    }
    let digits = |text: &&str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let ms = fields
        .time
        .filter(digits)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or(Wrong::Time)?;
    let left = Duration::from_millis(ms);
    let limit = settings.request_classes[request_class]
        .timeout
        .unwrap_or(Duration::MAX);
    if left.is_zero() || left > limit.saturating_add(TIME_ROUNDING) {
        return Err(Wrong::Time);
    }
    if let Some(length) = fields.length.filter(|text| !text.is_empty()) {
        let told = Some(length)
            .filter(digits)
            .and_then(|text| text.parse::<usize>().ok());
        if told != Some(fields.body) {
            return Err(Wrong::Length);
        }
    }
    let tenants = &settings.tenants;
    let tenant = tenants
        .iter()
        .position(|one| Some(&one.name[..]) == fields.tenant);
    let mut asked = Asked {
        id,
        request_class: request_class as u32,
        tenant: tenant.unwrap_or(tenants.len()) as u32,
        function,
        idempotency_key,
        left,
        memory_mb: None,
        concurrency_slots: None,
        load: None,
        work: None,
    };
    for one in fields
        .figures
        .unwrap_or("")
        .split(';')
        .filter(|one| !one.is_empty())
    {
        let (name, value) = one.split_once(':').ok_or(Wrong::Figures)?;
        let millis = |value| figure(value, 0.0, MAX_LOAD_MS).map(|ms| Duration::from_secs_f64(ms / 1e3));
        match name {
            "memory_mb" => asked.memory_mb = Some(figure(value, f64::MIN_POSITIVE, MAX_MEMORY_MB)?),
            "lanes" => asked.concurrency_slots = Some(figure(value, 1.0, MAX_LANES)?),
            "load_ms" => asked.load = Some(millis(value)?),
            "hint" => asked.work = Some(millis(value)?),
            // A figure that we have no use for may have any form.
            _ => {}
        }
    }
    Ok(asked)
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

    fn good<'a>() -> Fields<'a> {
        Fields {
            path: Some("/do/map"),
            id: Some("9b1f03aa5c7e2d41"),
            time: Some("1500"),
            function: Some("7f3a9c21e0b4d655"),
            idempotency_key: None,
            tenant: None,
            figures: Some("memory_mb:512;lanes:2;load_ms:640"),
            length: Some("3"),
            body: 3,
        }
    }

    #[test]
    fn a_good_one_is_read_as_it_came() {
        let asked = read(&good(), &settings()).unwrap();
        assert_eq!(asked.tenant, 0, "no customers are told, and none is named");
        assert_eq!(
            (asked.id, asked.function),
            (0x9b1f_03aa_5c7e_2d41, "7f3a9c21e0b4d655")
        );
        assert_eq!(
            (asked.left, asked.memory_mb),
            (Duration::from_millis(1500), Some(512.0))
        );
        assert_eq!(
            (asked.concurrency_slots, asked.load),
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
        let of = |tenant| read(&Fields { tenant, ..good() }, &settings).unwrap().tenant;
        assert_eq!(
            [Some("a"), Some("b"), Some("c"), Some(""), None].map(of),
            [0, 1, 2, 2, 2]
        );
    }

    #[test]
    fn each_field_that_is_out_of_range_is_named() {
        let wrong = |change: &dyn Fn(&mut Fields)| {
            let mut fields = good();
            change(&mut fields);
            read(&fields, &settings()).unwrap_err()
        };
        assert_eq!(wrong(&|f| f.path = Some("/other")), Wrong::Path);
        assert_eq!(wrong(&|f| f.path = Some("/do/map,x=1")), Wrong::RequestClass);
        for id in [
            None,
            Some(""),
            Some("9b1f03aa5c7e2d4"),
            Some("9b1f03aa5c7e2d41a"),
            Some("+b1f03aa5c7e2d41"),
        ] {
            assert_eq!(wrong(&|f| f.id = id), Wrong::Id);
        }
        assert_eq!(wrong(&|f| f.function = Some("7f3a9c21,x=4d655")), Wrong::Function);
        for time in [
            None,
            Some("0"),
            Some("-5"),
            Some("+5"),
            Some("1e3"),
            Some("4006"),
            Some("99999999999999999999"),
        ] {
            assert_eq!(wrong(&|f| f.time = time), Wrong::Time);
        }
        for figures in [
            "lanes:-1",
            "lanes:0",
            "memory_mb:nan",
            "memory_mb:1e400",
            "load_ms:x",
            "lanes",
        ] {
            assert_eq!(wrong(&|f| f.figures = Some(figures)), Wrong::Figures);
        }
        for idempotency_key in ["a,b", "a=b", "a b", "\u{e9}", LONG] {
            assert_eq!(
                wrong(&|f| f.idempotency_key = Some(idempotency_key)),
                Wrong::IdempotencyKey
            );
        }
        for length in ["4", "-1", "99999999999999999999", "x"] {
            assert_eq!(wrong(&|f| f.length = Some(length)), Wrong::Length);
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
                    &Fields {
                        idempotency_key: missing,
                        ..fields
                    },
                    &settings
                ),
                Err(Wrong::IdempotencyKey)
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
        fn nothing_that_passes_can_break_a_frames_fields(function in ".{0,20}", figures in ".{0,40}") {
            let fields = Fields { function: Some(&function), figures: Some(&figures), ..good() };
            if let Ok(asked) = read(&fields, &settings()) {
                prop_assert!(asked.function.bytes().all(|b| b.is_ascii_alphanumeric()));
            }
        }
    }
}
