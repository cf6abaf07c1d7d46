//! Load reports of workers: `report=queue:7;x0:0.61` among the fields of an answer.
use crate::settings;
use quartzdrift_scheduler::interface::ReportField;

/// Names that reports give to values which the settings name otherwise.
const ALIASES: [(&str, &str); 6] = [
    ("inflight", "rif"),
    ("queue", "q"),
    ("util", "busy"),
    ("latency_ms", "lat_ms"),
    ("qps", "rate"),
    ("eps", "fail_rate"),
];

fn field(name: &str) -> ReportField {
    settings::field(
        ALIASES
            .iter()
            .find(|(alias, _)| *alias == name)
            .map_or(name, |a| a.1),
    )
}

/// The values in the order of the settings; empty where there is no report, `None` where one value is missing, no
/// number, or of a field that we do not know.
pub fn read(fields: &[u8], expected: &[ReportField]) -> Vec<Option<f64>> {
    let text = std::str::from_utf8(fields).unwrap_or("");
    let Some(report) = text.split(',').find_map(|field| field.strip_prefix("report=")) else {
        return Vec::new();
    };
    let value = |expected: &ReportField| {
        let mut reported = report.split(';').filter_map(|one| one.split_once(':'));
        let (_, value) =
            reported.find(|(name, _)| field(name) == *expected && *expected != ReportField::Unknown)?;
        value.parse::<f64>().ok().filter(|value| value.is_finite())
    };
    expected.iter().map(value).collect()
}

#[cfg(test)]
mod tests;
