use super::*;
use quartzdrift_scheduler::interface::ReportField;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.4:8443","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"coordinator":"127.2.0.1:2379",
    "known":{"index":1,"updates":[{"index":1,"endpoints":{"rev":1,"all":true,"targets":[]}}]},
    "settings":{"classes":[{"name":"map","deadline-ns":3000000000}],"stats":{"fields":["q"]}}}"#;

#[test]
fn a_configuration_is_read_whole_or_not_at_all() {
    let config = parse(GOOD.as_bytes()).unwrap();
    assert_eq!(
        (config.seed, config.max_descriptors),
        (0x8c1f_30d2_7a5b_e964, 256)
    );
    assert_eq!(config.settings.request_classes[0].name, "map");
    assert_eq!(config.settings.report_fields, [ReportField::Queued]);
    for (good, bad) in [
        ("127.0.0.4:8443", "nowhere"),
        ("\"map\"", "7,"),
        ("\"classes\"", "\"other\""),
    ] {
        assert!(parse(GOOD.replace(good, bad).as_bytes()).is_err(), "{bad}");
    }
    assert!(parse(&GOOD.as_bytes()[..200]).is_err());
}

#[test]
fn a_configuration_has_a_bound_and_the_worker_list_may_be_missing() {
    assert!(read_bytes(std::io::repeat(b' ')).is_err_and(|why| why.contains("bytes")));
    assert_eq!(read_bytes(GOOD.as_bytes()).unwrap(), GOOD.as_bytes());
    let start = GOOD.find("\"known\"").unwrap();
    let end = GOOD.find("\"settings\"").unwrap();
    let without = format!("{}{}", &GOOD[..start], &GOOD[end..]);
    assert!(parse(without.as_bytes()).is_ok_and(|config| config.known_events.index.is_none()));
}
