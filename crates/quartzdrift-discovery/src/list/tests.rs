use super::{parse_address, read, write};
use crate::endpoint::ConfiguredNames;
use quartzdrift_scheduler::interface::EndpointState;
use std::time::Duration;

fn configured_names() -> ConfiguredNames {
    ConfiguredNames {
        zones: vec!["east".into(), "west".into()],
        kinds: vec!["small".into()],
    }
}

#[test]
fn a_list_is_parsed_and_its_invalid_targets_are_reported() {
    let text = br#"[{"targets": ["127.0.0.1:1", "localhost:2"], "labels": {"zone": "west", "x": "y"}},
        {"targets": ["127.0.0.1:3"], "labels": {"state": "draining", "started": "12.5"}},
        {"targets": ["127.0.0.1:3", "name:4"]},
        {"targets": ["127.0.0.1:5"], "labels": {"zone": "north"}},
        {"targets": ["127.0.0.1:6"], "labels": {"state": "sleeping"}}]"#;
    let list = read(text, &configured_names()).unwrap();
    let names: Vec<&str> = list
        .workers
        .iter()
        .map(|endpoint| endpoint.worker.as_str())
        .collect();
    assert_eq!(names, ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]);
    assert_eq!(
        (list.workers[0].zone, list.workers[2].state),
        (1, EndpointState::Draining)
    );
    assert_eq!(list.workers[2].started, Some(Duration::from_millis(12_500)));
    assert_eq!(list.rejected.len(), 4);
    let reread = read(&write(&list.workers, &configured_names()), &configured_names()).unwrap();
    assert_eq!(reread.workers, list.workers);
    assert!(read(b"{}", &configured_names()).is_err() && read(b"[", &configured_names()).is_err());
}

proptest::proptest! {
    #[test]
    fn any_text_is_parsed_or_rejected(text: String) {
        let _ = read(text.as_bytes(), &ConfiguredNames::default());
        let _ = parse_address(&text);
    }
}
