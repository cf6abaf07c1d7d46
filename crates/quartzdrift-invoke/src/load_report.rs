//! Load reports that workers attach to responses in the header `endpoint-load-metrics` (Open Request Cost
//! Aggregation; gRFC A51 and Envoy): `TEXT name=value,...` or `JSON {...}`. The binary format is not
//! supported.
use serde_json::Value;

#[cfg(test)]
mod tests;

/// Name of the response header that contains a load report.
pub const HEADER_NAME: &str = "endpoint-load-metrics";
/// Maximum size of a header value; a longer one is ignored.
const MAX_VALUE_BYTES: usize = 8 << 10;
/// Maximum number of metrics in a parsed report; further ones are ignored.
const MAX_METRICS: usize = 64;

/// A load report: metrics by name. A metric within an object of the JSON format has the object's name as a
/// prefix, as in `named_metrics.NAME`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(Vec<(String, f64)>);

impl LoadReport {
    /// Parses a header value. Invalid parts are skipped and never cause an error, because a report is only a
    /// hint.
    pub fn parse(value: &str) -> LoadReport {
        let mut report = LoadReport::default();
        if value.len() > MAX_VALUE_BYTES {
            return report;
        }
        let (format, rest) = value.trim().split_once(' ').unwrap_or((value, ""));
        match format {
            "TEXT" => report.parse_text(rest),
            "JSON" => report.parse_json(rest),
            _ => {}
        }
        report
    }

    /// The value of the metric with this name.
    pub fn get(&self, name: &str) -> Option<f64> {
        let metric = self.0.iter().find(|(metric, _)| metric == name);
        metric.map(|(_, value)| *value)
    }

    /// Appends a metric without checks.
    pub fn push(&mut self, name: &str, value: f64) {
        self.0.push((name.to_owned(), value));
    }

    /// Formats the report as a header value in the text format.
    pub fn to_header_value(&self) -> String {
        let metrics: Vec<String> = self
            .0
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!("TEXT {}", metrics.join(","))
    }

    fn parse_text(&mut self, text: &str) {
        for (name, value) in text.split(',').filter_map(|metric| metric.split_once(['=', ':'])) {
            if let Ok(value) = value.trim().parse::<f64>() {
                self.add_valid(name.trim(), value);
            }
        }
    }

    fn parse_json(&mut self, text: &str) {
        let Ok(Value::Object(metrics)) = serde_json::from_str::<Value>(text) else {
            return;
        };
        for (name, value) in &metrics {
            match value {
                Value::Number(number) => self.add_valid(name, number.as_f64().unwrap_or(f64::NAN)),
                Value::Object(nested) => {
                    for (nested_name, value) in nested {
                        let name = format!("{name}.{nested_name}");
                        self.add_valid(&name, value.as_f64().unwrap_or(f64::NAN));
                    }
                }
                Value::Null | Value::Bool(_) | Value::String(_) | Value::Array(_) => {}
            }
        }
    }

    /// Adds a metric unless its value is not finite, the report is at [`MAX_METRICS`], or the name is present
    /// already.
    fn add_valid(&mut self, name: &str, value: f64) {
        if value.is_finite() && self.0.len() < MAX_METRICS && self.get(name).is_none() {
            self.push(name, value);
        }
    }
}
