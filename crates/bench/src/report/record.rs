//! Results of experiments as they are read back.

use std::{collections::BTreeMap, fs, path::Path};

use serde::Deserialize;
use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::error::{BenchError, IoSnafu, ResultSnafu};

/// Result of one run: an object of measured fields.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct Record {
    fields: Map<String, Value>,
}

impl Record {
    /// Reads all results of a file, which holds one JSON object a line.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or a line is no result.
    pub(crate) fn read(path: &Path) -> Result<Vec<Self>, BenchError> {
        let text = fs::read_to_string(path).with_context(|_| IoSnafu {
            what: path.display().to_string(),
        })?;
        let lines = text.lines().enumerate();
        let filled = lines.filter(|(_, line)| !line.trim().is_empty());
        filled
            .map(|(at, line)| {
                serde_json::from_str(line).with_context(|_| ResultSnafu { path, line: at + 1 })
            })
            .collect()
    }

    /// Returns a field as a number, if it is one.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name)?.as_f64()
    }

    /// Returns a field as text; an absent one is empty.
    pub(crate) fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the result is of the experiment on convergence.
    pub(crate) fn is_converge(&self) -> bool {
        self.fields.contains_key("bytes_per_node_note")
    }

    /// Returns whether the result is of the experiment on calls.
    pub(crate) fn is_service(&self) -> bool {
        self.fields.contains_key("goodput_ratio")
    }

    /// Returns what was measured: the system or a baseline.
    pub(crate) fn variant(&self) -> &str {
        match self.text("baseline") {
            "" | "none" => "wagtaillever",
            baseline => baseline,
        }
    }

    /// Returns the slices of time of a run.
    pub(crate) fn series(&self) -> Vec<Record> {
        let series = self.fields.get("series").cloned();
        series
            .and_then(|value| serde_json::from_value(value).ok())
            .unwrap_or_default()
    }

    /// Returns the fields that tables show, in order.
    pub(crate) fn shown(&self) -> BTreeMap<&str, String> {
        let plain = self.fields.iter().filter(|(_, value)| !value.is_array());
        plain
            .filter(|(_, value)| !value.is_object())
            .map(|(name, value)| (name.as_str(), show(value)))
            .collect()
    }
}

fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
