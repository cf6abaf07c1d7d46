//! Parses load reports of workers: `report=queue:7;x0:0.61` among the fields of an answer.
use crate::settings;
use quartzdrift_scheduler::interface::ReportField;

/// Pairs of a field's name in reports and its name in the settings, where the two differ.
const ALIASES: [(&str, &str); 6] = [
    ("inflight", "rif"),
    ("queue", "q"),
    ("util", "busy"),
    ("latency_ms", "lat_ms"),
    ("qps", "rate"),
    ("eps", "fail_rate"),
];

/// The field that a report calls `name`, by its own name or by that of the settings.
fn report_field(name: &str) -> ReportField {
    let alias = ALIASES.iter().find(|(alias, _)| *alias == name);
    settings::report_field(alias.map_or(name, |(_, settings_name)| settings_name))
}

/// Reads the values of the report in `fields`, in the order of `expected`.
///
/// The result is empty if there is no report. A value is `None` if it is missing, is not a finite number, or
/// belongs to [`ReportField::Unknown`].
pub fn read(fields: &[u8], expected: &[ReportField]) -> Vec<Option<f64>> {
    let text = std::str::from_utf8(fields).unwrap_or("");
    let Some(report) = text.split(',').find_map(|field| field.strip_prefix("report=")) else {
        return Vec::new();
    };
    let value_of = |expected: &ReportField| {
        let mut entries = report.split(';').filter_map(|entry| entry.split_once(':'));
        let (_, value) =
            entries.find(|(name, _)| report_field(name) == *expected && *expected != ReportField::Unknown)?;
        value.parse::<f64>().ok().filter(|value| value.is_finite())
    };
    expected.iter().map(value_of).collect()
}

#[cfg(test)]
mod tests;
