//! `wagtaillever timeline`

use std::{
    fmt::Write,
    time::{SystemTime, UNIX_EPOCH},
};

use clap::Args;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{error::CliError, nodes::Nodes, output, output::Exit};

/// Arguments of `timeline`.
#[derive(Debug, Args)]
pub(crate) struct Timeline {
    /// Show only events of this release note.
    #[arg(long)]
    note: Option<u64>,
    /// Show only events of this call.
    #[arg(long)]
    call: Option<String>,
    /// Show only events of this VM.
    #[arg(long)]
    vm: Option<String>,
    /// Show only events after this time stamp, given as <wall_ms>.<counter>.
    #[arg(long, default_value = "0.0", conflicts_with = "last")]
    after: String,
    /// Show only events of the last SECONDS seconds, by the local clock.
    #[arg(long, value_name = "SECONDS")]
    last: Option<u64>,
}

/// Time stamp of a hybrid logical clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Stamp {
    wall_ms: u64,
    counter: u32,
}

/// Event of one node process; `details` depends on the kind of event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Event {
    at: Stamp,
    vm: String,
    #[serde(default)]
    incarnation: u64,
    event: String,
    #[serde(flatten)]
    details: Map<String, Value>,
}

impl Timeline {
    pub(crate) async fn run(&self, json: bool, nodes: &Nodes) -> Result<Exit, CliError> {
        let path = format!("/timeline?after={}", self.start_stamp());
        let answers = nodes.get::<Vec<Event>>(&path).await?;
        let exit = answers.exit();
        let events = answers.succeeded.into_iter().flat_map(|(_, events)| events);
        let events = merge_events(events.filter(|event| self.matches(event)));
        output::print(json, &events, |events| render(events))?;
        Ok(exit)
    }

    fn start_stamp(&self) -> String {
        let Some(seconds) = self.last else {
            return self.after.clone();
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = now.unwrap_or_default().as_secs().saturating_sub(seconds);
        format!("{}.0", start * 1000)
    }

    fn matches(&self, event: &Event) -> bool {
        let is_note = |note: &u64| event.details.get("note").and_then(Value::as_u64) == Some(*note);
        let is_call = |call: &String| event.details.get("call").is_some_and(|value| value == call);
        self.note.as_ref().is_none_or(is_note)
            && self.call.as_ref().is_none_or(is_call)
            && self.vm.as_ref().is_none_or(|vm| event.vm == *vm)
    }
}

fn merge_events(events: impl Iterator<Item = Event>) -> Vec<Event> {
    let mut events: Vec<_> = events.collect();
    events.sort_by(|a, b| (a.at, &a.vm, a.incarnation).cmp(&(b.at, &b.vm, b.incarnation)));
    events.dedup();
    events
}

fn render(events: &[Event]) -> String {
    let width = events.iter().map(|event| event.vm.len()).max().unwrap_or(0);
    let mut text = String::new();
    for event in events {
        let time = format_time(event.at);
        let _ = write!(text, "{time} {:width$} {}", event.vm, event.event);
        for (key, value) in &event.details {
            let _ = write!(text, " {key}={value}");
        }
        text.push('\n');
    }
    text
}

/// Formats the time of day in UTC, with the counter that orders events within a millisecond.
fn format_time(at: Stamp) -> String {
    let (seconds, ms) = (at.wall_ms / 1000, at.wall_ms % 1000);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!(
        "{hour:02}:{minute:02}:{second:02}.{ms:03}+{:<2}",
        at.counter
    )
}
