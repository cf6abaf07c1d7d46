//! Load reports attached to answers in the field `endpoint-load-metrics` (Open Request Cost Aggregation; gRFC
//! A51 and Envoy's reading of it): `TEXT name=value,...` or `JSON {...}`. The binary form is not read.
use serde_json::Value;

pub const FIELD: &str = "endpoint-load-metrics";
/// Bytes of a report that are read at most, and figures kept of it.
const MAX_TEXT: usize = 8 << 10;
const MAX_FIGURES: usize = 64;

/// Figures by name; nested ones as `named_metrics.NAME`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report(Vec<(String, f64)>);

impl Report {
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
    }

    pub fn push(&mut self, name: &str, value: f64) {
        self.0.push((name.to_owned(), value));
    }

    /// In the text form, as the field's value.
    pub fn text(&self) -> String {
        let parts: Vec<String> = self
            .0
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!("TEXT {}", parts.join(","))
    }

    /// What can be read of a field's value; unreadable parts are left out, as a report is only a hint.
    pub fn read(value: &str) -> Report {
        let mut report = Report::default();
        if value.len() > MAX_TEXT {
            return report;
        }
        let (form, rest) = value.trim().split_once(' ').unwrap_or((value, ""));
        match form {
            "TEXT" => {
                for (name, told) in rest.split(',').filter_map(|part| part.split_once(['=', ':'])) {
                    if let Ok(number) = told.trim().parse::<f64>() {
                        report.keep(name.trim(), number);
                    }
                }
            }
            "JSON" => {
                if let Ok(Value::Object(all)) = serde_json::from_str::<Value>(rest) {
                    for (name, value) in &all {
                        match value {
                            Value::Number(n) => report.keep(name, n.as_f64().unwrap_or(f64::NAN)),
                            Value::Object(inner) => {
                                for (sub, value) in inner {
                                    report.keep(&format!("{name}.{sub}"), value.as_f64().unwrap_or(f64::NAN));
                                }
                            }
                            Value::Null | Value::Bool(_) | Value::String(_) | Value::Array(_) => {}
                        }
                    }
                }
            }
            _ => {}
        }
        report
    }

    fn keep(&mut self, name: &str, value: f64) {
        if value.is_finite() && self.0.len() < MAX_FIGURES && self.get(name).is_none() {
            self.push(name, value);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_are_read() {
        let text = Report::read("TEXT cpu_utilization=0.3, named_metrics.queue=4,bad,nan=NaN");
        assert_eq!(
            (text.get("cpu_utilization"), text.get("named_metrics.queue")),
            (Some(0.3), Some(4.0))
        );
        assert_eq!(text.get("nan"), None);
        let json = Report::read(r#"JSON {"cpu_utilization": 0.3, "named_metrics": {"queue": 4}}"#);
        assert_eq!(json.get("named_metrics.queue"), Some(4.0));
        assert_eq!(Report::read(&text.text()), text);
        assert_eq!(Report::read("BIN AAAA"), Report::default());
    }

    proptest::proptest! {
        #[test]
        fn any_value_is_read_within_bounds(value: String) {
            proptest::prop_assert!(Report::read(&["TEXT ", &value].concat()).0.len() <= MAX_FIGURES);
            Report::read(&["JSON ", &value].concat());
        }
    }
}
