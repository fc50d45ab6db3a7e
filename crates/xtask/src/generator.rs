//! Generates Rust types from the schemas.

use schemars::schema::{InstanceType, SchemaObject};
use snafu::ResultExt;
use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

use crate::{
    error::{CodeSnafu, GenerateSnafu, TaskError},
    schemas::Schemas,
};

/// Comment at the top of each generated file.
const FILE_HEADER: &str =
    "// Generated from `schema/` by `cargo run -p xtask -- generate`; do not edit.\n\n";

/// Formats of strings and the types that parse them. An API key becomes its digest, so that no
/// generated type can show it.
const FORMATS: [(&str, &str); 3] = [
    ("socket-address", "::std::net::SocketAddr"),
    ("key-digest", "crate::organisation::KeyDigest"),
    ("api-key", "crate::api_key::ApiKey"),
];

/// Returns the code of the types that the schemas define.
///
/// # Errors
///
/// Returns an error if a schema cannot be expressed as Rust types.
pub(crate) fn generate(schemas: &Schemas) -> Result<String, TaskError> {
    let mut space = TypeSpace::new(&settings());
    let definitions = schemas.definitions.clone();
    space.add_ref_types(definitions).context(GenerateSnafu)?;
    let file = syn::parse2(space.to_stream()).context(CodeSnafu)?;
    let code = strip_schemas(&prettyplease::unparse(&file));
    Ok(format!("{FILE_HEADER}{code}"))
}

/// Removes the copies of the schemas from the doc comments.
fn strip_schemas(code: &str) -> String {
    let mut is_schema = false;
    let mut lines = Vec::new();
    for line in code.lines() {
        is_schema |= line.trim() == "/// <details><summary>JSON schema</summary>";
        if !is_schema {
            lines.push(line);
        }
        is_schema &= line.trim() != "/// </details>";
    }
    lines.push("");
    lines.join("\n")
}

fn settings() -> TypeSpaceSettings {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    settings.with_map_type("crate::border::unique_map::UniqueMap".to_string());
    for (format, type_name) in FORMATS {
        let implemented = [TypeSpaceImpl::FromStr, TypeSpaceImpl::Display];
        settings.with_conversion(string_of(format), type_name, implemented.into_iter());
    }
    settings
}

/// Returns the schema of a string with a format.
fn string_of(format: &str) -> SchemaObject {
    SchemaObject {
        instance_type: Some(InstanceType::String.into()),
        format: Some(format.into()),
        ..SchemaObject::default()
    }
}
