use super::*;
use quartzdrift_scheduler::interface::ReportField;

const VALID: &str = r#"{"name":"n3","listen":"127.0.0.4:8443","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"coordinator":"127.2.0.1:2379",
    "known":{"index":1,"updates":[{"index":1,"endpoints":{"rev":1,"all":true,"targets":[]}}]},
    "settings":{"classes":[{"name":"map","deadline-ns":3000000000}],"stats":{"fields":["q"]}}}"#;

#[test]
fn a_configuration_with_an_invalid_value_or_cut_short_is_rejected() {
    let config = parse(VALID.as_bytes()).unwrap();
    assert_eq!(
        (config.seed, config.max_descriptors),
        (0x8c1f_30d2_7a5b_e964, 256)
    );
    assert_eq!(config.settings.request_classes[0].name, "map");
    assert_eq!(config.settings.report_fields, [ReportField::Queued]);
    for (valid, invalid) in [
        ("127.0.0.4:8443", "nowhere"),
        ("\"map\"", "7,"),
        ("\"classes\"", "\"other\""),
    ] {
        assert!(
            parse(VALID.replace(valid, invalid).as_bytes()).is_err(),
            "{invalid}"
        );
    }
    assert!(parse(&VALID.as_bytes()[..200]).is_err());
}

#[test]
fn the_size_of_a_configuration_is_limited_and_its_known_events_are_optional() {
    assert!(read_bytes(std::io::repeat(b' ')).is_err_and(|error| error.contains("bytes")));
    assert_eq!(read_bytes(VALID.as_bytes()).unwrap(), VALID.as_bytes());
    let start = VALID.find("\"known\"").unwrap();
    let end = VALID.find("\"settings\"").unwrap();
    let without = format!("{}{}", &VALID[..start], &VALID[end..]);
    assert!(parse(without.as_bytes()).is_ok_and(|config| config.known_events.index.is_none()));
}
