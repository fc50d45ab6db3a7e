//! Merges the schemas of a directory into one set of definitions.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use schemars::schema::Schema;
use serde_json::Value;
use snafu::ResultExt;

use crate::error::{ReadSnafu, SchemaSnafu, TaskError};

/// Definitions of all schemas by name. The root of a schema is listed under its title.
#[derive(Debug, Default)]
pub(crate) struct Schemas {
    /// Definitions by name.
    pub(crate) definitions: BTreeMap<String, Schema>,
}

/// Keywords left out of the generated types. The conversion of the generated types checks them with
/// clearer error messages.
const OMITTED_KEYWORDS: [&str; 1] = ["pattern"];

impl Schemas {
    /// Reads all schemas of a directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, is not a valid schema or repeats a name.
    pub(crate) fn read(directory: &Path) -> Result<Self, TaskError> {
        let mut schemas = Self::default();
        for path in schema_files(directory)? {
            let text = fs::read(&path).context(ReadSnafu { path: &path })?;
            let value = serde_json::from_slice(&text).context(SchemaSnafu { path: &path })?;
            schemas.add_file(&path, value)?;
        }
        Ok(schemas)
    }

    fn add_file(&mut self, path: &Path, mut value: Value) -> Result<(), TaskError> {
        simplify(&mut value);
        let definitions = value
            .as_object_mut()
            .and_then(|object| object.remove("definitions"));
        if let Some(Value::Object(definitions)) = definitions {
            for (name, definition) in definitions {
                self.add(path, name, definition)?;
            }
        }
        let title = value.get("title").and_then(Value::as_str);
        let title = title.unwrap_or_default().to_string();
        self.add(path, title, value)
    }

    fn add(&mut self, path: &Path, name: String, value: Value) -> Result<(), TaskError> {
        let schema = serde_json::from_value(value).context(SchemaSnafu { path })?;
        if self.definitions.contains_key(&name) {
            return Err(TaskError::DuplicateName { name });
        }
        self.definitions.insert(name, schema);
        Ok(())
    }
}

fn schema_files(directory: &Path) -> Result<Vec<PathBuf>, TaskError> {
    let entries = fs::read_dir(directory).context(ReadSnafu { path: directory })?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.context(ReadSnafu { path: directory })?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Makes references to other files local and removes the keywords of `OMITTED_KEYWORDS`.
fn simplify(value: &mut Value) {
    match value {
        Value::Object(object) => {
            for keyword in OMITTED_KEYWORDS {
                if object.get(keyword).is_some_and(Value::is_string) {
                    object.remove(keyword);
                }
            }
            if let Some(Value::String(reference)) = object.get_mut("$ref") {
                let start = reference.find('#').unwrap_or(0);
                *reference = reference.split_off(start);
            }
            object.values_mut().for_each(simplify);
        }
        Value::Array(items) => items.iter_mut().for_each(simplify),
        _ => {}
    }
}
