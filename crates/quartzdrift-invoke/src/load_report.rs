//! Load reports that workers attach to responses in the header `endpoint-load-metrics` (Open Request Cost Aggregation;
//! gRFC A51 and Envoy): `TEXT name=value,...` or `JSON {...}`. The binary form is not supported.
use serde_json::Value;

#[cfg(test)]
mod tests;

/// The name of the header.
pub const HEADER_NAME: &str = "endpoint-load-metrics";
/// Maximum bytes of a header value that is read.
const MAX_VALUE_LENGTH: usize = 8 << 10;
/// Maximum metrics that are taken from a report.
const MAX_METRICS: usize = 64;

/// Metrics by name; nested ones as `named_metrics.NAME`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(Vec<(String, f64)>);

impl LoadReport {
    /// Reads a header's value. Parts that cannot be read are left out: a report is only a hint.
    pub fn parse(value: &str) -> LoadReport {
        let mut report = LoadReport::default();
        if value.len() > MAX_VALUE_LENGTH {
            return report;
        }
        let (format, rest) = value.trim().split_once(' ').unwrap_or((value, ""));
        match format {
            "TEXT" => report.read_text(rest),
            "JSON" => report.read_json(rest),
            _ => {}
        }
        report
    }

    /// The value of a metric.
    pub fn get(&self, name: &str) -> Option<f64> {
        let metric = self.0.iter().find(|(metric, _)| metric == name);
        metric.map(|(_, value)| *value)
    }

    /// Adds a metric.
    pub fn push(&mut self, name: &str, value: f64) {
        self.0.push((name.to_owned(), value));
    }

    /// The header's value in the text form.
    pub fn to_header_value(&self) -> String {
        let metrics: Vec<String> = self
            .0
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!("TEXT {}", metrics.join(","))
    }

    fn read_text(&mut self, text: &str) {
        for (name, value) in text.split(',').filter_map(|metric| metric.split_once(['=', ':'])) {
            if let Ok(value) = value.trim().parse::<f64>() {
                self.add_valid(name.trim(), value);
            }
        }
    }

    fn read_json(&mut self, text: &str) {
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

    /// Adds a metric unless it is not finite, over the limit, or there already.
    fn add_valid(&mut self, name: &str, value: f64) {
        if value.is_finite() && self.0.len() < MAX_METRICS && self.get(name).is_none() {
            self.push(name, value);
        }
    }
}
