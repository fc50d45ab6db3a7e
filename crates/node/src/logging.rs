//! Logging with the VM, the failure domain and the note in force as key-values of each line.

mod line_budget;
mod pipe;
#[cfg(test)]
mod tests;

pub(crate) use self::{line_budget::LineBudget, pipe::flush};

use std::io::{self, Write};

use env_logger::Target;
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::{logging::pipe::Pipe, settings::Settings, view::ViewCell};

/// Installs the logger of the process; a second call has no effect.
pub(crate) fn start(settings: &Settings, view: ViewCell) {
    let identity = format!("vm={} domain={}", settings.vm, settings.domain);
    let target = match Pipe::start() {
        Ok(pipe) => Target::Pipe(Box::new(pipe)),
        Err(err) => {
            eprintln!("log lines are written synchronously: can't start the log thread: {err}");
            Target::Stdout
        }
    };
    let logger = env_logger::Builder::new()
        .parse_filters(&settings.log)
        .target(target)
        .format(move |out, record| {
            let time = out.timestamp_millis();
            let note = view.sequence().0;
            write!(out, "{time} ")?;
            write_record(out, record, &identity, note)
        })
        .try_init();
    if let Err(err) = logger {
        eprintln!("can't install the logger: {err}");
    }
}

/// Writes one line; a `note` key-value of the record replaces the note in force.
fn write_record(
    out: &mut impl Write,
    record: &Record<'_>,
    identity: &str,
    note: u64,
) -> io::Result<()> {
    let (level, target) = (record.level(), record.target());
    write!(out, "{level:5} {identity}")?;
    let mut pairs = FormattedPairs::default();
    let _ = record.key_values().visit(&mut pairs);
    if !pairs.has_note {
        write!(out, " note={note}")?;
    }
    writeln!(out, "{} {target}: {}", pairs.text, record.args())
}

/// Formatted key-values of a record.
#[derive(Default)]
struct FormattedPairs {
    text: String,
    has_note: bool,
}

impl<'kvs> VisitSource<'kvs> for FormattedPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.has_note |= key.as_str() == "note";
        let value = value.to_string();
        let is_plain = !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && c != '"');
        let pair = if is_plain {
            format!(" {key}={value}")
        } else {
            format!(" {key}={value:?}")
        };
        self.text.push_str(&pair);
        Ok(())
    }
}
