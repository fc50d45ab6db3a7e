//! Results of experiments, read from JSON files.

use std::{collections::BTreeMap, fs, path::Path};

use serde::Deserialize;
use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::error::{BenchError, IoSnafu, ResultSnafu};

/// Result of one run as a JSON object.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct Record {
    fields: Map<String, Value>,
}

impl Record {
    /// Reads all results of a file with one JSON object per line; empty lines are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or a line is not a valid result.
    pub(crate) fn read(path: &Path) -> Result<Vec<Self>, BenchError> {
        let text = fs::read_to_string(path).with_context(|_| IoSnafu {
            what: path.display().to_string(),
        })?;
        let lines = text.lines().enumerate();
        let non_empty = lines.filter(|(_, line)| !line.trim().is_empty());
        non_empty
            .map(|(index, line)| {
                serde_json::from_str(line).with_context(|_| ResultSnafu {
                    path,
                    line: index + 1,
                })
            })
            .collect()
    }

    /// Returns a field as a number, or `None` if it is absent or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name)?.as_f64()
    }

    /// Returns a field as text, or an empty string if it is absent or not a string.
    pub(crate) fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the record is a result of the convergence experiment.
    pub(crate) fn is_converge(&self) -> bool {
        self.fields.contains_key("bytes_per_node_note")
    }

    /// Returns whether the record is a result of the call experiment.
    pub(crate) fn is_service(&self) -> bool {
        self.fields.contains_key("goodput_ratio")
    }

    /// Returns the name of the measured baseline, or `wagtaillever` for the system itself.
    pub(crate) fn variant(&self) -> &str {
        match self.text("baseline") {
            "" | "none" => "wagtaillever",
            baseline => baseline,
        }
    }

    /// Returns the time buckets of a run.
    pub(crate) fn series(&self) -> Vec<Record> {
        let series = self.fields.get("series").cloned();
        series
            .and_then(|value| serde_json::from_value(value).ok())
            .unwrap_or_default()
    }

    /// Returns the formatted scalar fields by name.
    pub(crate) fn scalars(&self) -> BTreeMap<&str, String> {
        let plain = self.fields.iter().filter(|(_, value)| !value.is_array());
        plain
            .filter(|(_, value)| !value.is_object())
            .map(|(name, value)| (name.as_str(), format_value(value)))
            .collect()
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
