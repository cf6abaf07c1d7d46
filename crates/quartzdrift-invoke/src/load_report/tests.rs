use super::*;

#[test]
fn text_and_json_reports_are_parsed() {
    let text = LoadReport::parse("TEXT cpu_utilization=0.3, named_metrics.queue=4,bad,nan=NaN");
    assert_eq!(
        (text.get("cpu_utilization"), text.get("named_metrics.queue")),
        (Some(0.3), Some(4.0))
    );
    assert_eq!(text.get("nan"), None);
    let json = LoadReport::parse(r#"JSON {"cpu_utilization": 0.3, "named_metrics": {"queue": 4}}"#);
    assert_eq!(json.get("named_metrics.queue"), Some(4.0));
    assert_eq!(LoadReport::parse(&text.to_header_value()), text);
    assert_eq!(LoadReport::parse("BIN AAAA"), LoadReport::default());
}

proptest::proptest! {
    #[test]
    fn any_header_value_stays_within_the_metric_limit(value: String) {
        proptest::prop_assert!(LoadReport::parse(&["TEXT ", &value].concat()).0.len() <= MAX_METRICS);
        LoadReport::parse(&["JSON ", &value].concat());
    }
}
