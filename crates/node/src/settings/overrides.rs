//! Settings given on the command line.

use std::str::FromStr;

use serde_yaml_ng::{Mapping, Value};

/// Setting that replaces the value in the settings file.
///
/// An empty value changes nothing, so that a template can name a setting for which the deployment
/// has no value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingOverride {
    name: String,
    value: String,
}

impl SettingOverride {
    /// Returns the path of the setting, such as `limits.cold_slack`.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Replaces the value in the settings.
    ///
    /// # Errors
    ///
    /// Returns a message if the value is not valid YAML or the path leads through a value that has
    /// no fields.
    pub(super) fn apply(&self, settings: &mut Value) -> Result<(), String> {
        if self.value.is_empty() {
            return Ok(());
        }
        let value = serde_yaml_ng::from_str(&self.value).map_err(|err| err.to_string())?;
        let mut field = settings;
        for part in self.name.split('.') {
            if field.is_null() {
                *field = Value::Mapping(Mapping::new());
            }
            let fields = field
                .as_mapping_mut()
                .ok_or_else(|| format!("{part} is not a field of a section"))?;
            field = fields.entry(part.into()).or_insert(Value::Null);
        }
        *field = value;
        Ok(())
    }
}

impl FromStr for SettingOverride {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, value) = text
            .split_once('=')
            .filter(|(name, _)| !name.is_empty())
            .ok_or("expected NAME=VALUE")?;
        Ok(Self {
            name: name.into(),
            value: value.into(),
        })
    }
}
