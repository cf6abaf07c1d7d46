use super::{EventReader, EventTooLarge, ServerSentEvent, write_event};

proptest::proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(size in 1usize..20) {
        let mut reader = EventReader::default();
        let text = b": hello\r\nevent: full\r\ndata: [1,\r\ndata: 2]\r\n\r\ndata:x\n\nevent: none\n\n";
        let mut events = Vec::new();
        for part in text.chunks(size) {
            events.extend(reader.feed(part).unwrap());
        }
        let event = |name: &str, data: &str| ServerSentEvent { name: name.into(), data: data.into() };
        proptest::prop_assert_eq!(events, vec![event("full", "[1,\n2]"), event("message", "x")]);
    }

    #[test]
    fn a_written_event_is_parsed(data in "[a-z\\[\\]{}\" ]{1,40}") {
        let events = EventReader::default().feed(&write_event("changes", &data)).unwrap();
        proptest::prop_assert_eq!(events, vec![ServerSentEvent { name: "changes".into(), data }]);
    }
}

#[test]
fn a_line_beyond_the_maximum_size_is_an_error() {
    let mut reader = EventReader::default();
    let part = vec![b'x'; 1 << 20];
    assert!((0..6).any(|_| reader.feed(&part) == Err(EventTooLarge)));
}
