//! `wagtaillever note diff`

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    sync::Arc,
};

use clap::Args;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;
use wagtaillever_coordination::{CallerLimits, Config, Sequence};

use super::input;
use crate::{
    error::{CliError, NoteSnafu},
    output,
    output::Exit,
};

/// Arguments of `note diff`.
#[derive(Debug, Args)]
pub(crate) struct Diff {
    /// Base to compare against.
    old: PathBuf,
    /// Note that applies to the base (`.yaml`), or a newer base (`.json`).
    new: PathBuf,
}

#[derive(Serialize)]
struct Difference {
    from: Sequence,
    to: Sequence,
    services: Changes,
    routes: Changes,
    upstreams: Changes,
    organisations: Changes,
    limits: Changes,
}

#[derive(Default, Serialize)]
struct Changes {
    added: BTreeMap<String, Value>,
    changed: BTreeMap<String, Change>,
    withdrawn: BTreeMap<String, Value>,
}

#[derive(Serialize)]
struct Change {
    from: Value,
    to: Value,
}

impl Diff {
    pub(crate) fn run(&self, json: bool) -> Result<Exit, CliError> {
        let old = input::read_base(Some(&self.old))?;
        let new = read_target(&old, &self.new)?;
        let difference = Difference {
            from: old.sequence,
            to: new.sequence,
            services: compare(&old.services, &new.services)?,
            routes: compare(&old.routes, &new.routes)?,
            upstreams: compare(&old.upstreams, &new.upstreams)?,
            organisations: compare(
                &old.organisations.clone().unwrap_or_default(),
                &new.organisations.clone().unwrap_or_default(),
            )?,
            limits: compare(&limits(&old), &limits(&new))?,
        };
        output::print(json, &difference, render)?;
        Ok(Exit::Success)
    }
}

fn read_target(old: &Config, path: &Path) -> Result<Config, CliError> {
    if path
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        return input::read_base(Some(path));
    }
    let (sequence, text) = input::read_numbered(path)?;
    old.apply_text(sequence, &text).context(NoteSnafu { path })
}

/// Returns the limits on callers under the name that the difference shows.
fn limits(config: &Config) -> BTreeMap<&'static str, Arc<CallerLimits>> {
    let limits = config.caller_limits.map(Arc::new);
    limits
        .map(|limits| ("callers", limits))
        .into_iter()
        .collect()
}

fn compare<N, T>(old: &BTreeMap<N, Arc<T>>, new: &BTreeMap<N, Arc<T>>) -> Result<Changes, CliError>
where
    N: Ord + ToString,
    T: PartialEq + Serialize,
{
    let mut changes = Changes::default();
    for (name, item) in new {
        let value = serde_json::to_value(item)?;
        match old.get(name) {
            None => {
                changes.added.insert(name.to_string(), value);
            }
            Some(previous) if previous != item => {
                let from = serde_json::to_value(previous)?;
                let change = Change { from, to: value };
                changes.changed.insert(name.to_string(), change);
            }
            Some(_) => {}
        }
    }
    for (name, item) in old.iter().filter(|(name, _)| !new.contains_key(*name)) {
        let value = serde_json::to_value(item)?;
        changes.withdrawn.insert(name.to_string(), value);
    }
    Ok(changes)
}

fn render(difference: &Difference) -> String {
    let kinds = [
        ("service", &difference.services),
        ("route", &difference.routes),
        ("upstream", &difference.upstreams),
        ("organisation", &difference.organisations),
        ("limits", &difference.limits),
    ];
    let heading = format!("from note {} to note {}\n", difference.from, difference.to);
    let lines = kinds
        .iter()
        .map(|(kind, changes)| render_changes(kind, changes));
    [heading].into_iter().chain(lines).collect()
}

fn render_changes(kind: &str, changes: &Changes) -> String {
    let added = changes.added.iter();
    let added = added.map(|(name, value)| format!("+ {kind} {name} {value}\n"));
    let modified = changes.changed.iter();
    let modified =
        modified.map(|(name, change)| format!("~ {kind} {name}{}\n", changed_fields(change)));
    let withdrawn = changes.withdrawn.keys();
    let withdrawn = withdrawn.map(|name| format!("- {kind} {name}\n"));
    added.chain(modified).chain(withdrawn).collect()
}

/// Returns the fields that differ, with their old and new values.
fn changed_fields(change: &Change) -> String {
    let (Value::Object(from), Value::Object(to)) = (&change.from, &change.to) else {
        return String::new();
    };
    let mut names: Vec<_> = from.keys().chain(to.keys()).collect();
    names.sort();
    names.dedup();
    let differing = names
        .into_iter()
        .filter(|name| from.get(*name) != to.get(*name));
    let value = |value: Option<&Value>| value.map_or("none".to_string(), Value::to_string);
    differing
        .map(|name| {
            format!(
                " {name}: {} -> {}",
                value(from.get(name)),
                value(to.get(name))
            )
        })
        .collect()
}
