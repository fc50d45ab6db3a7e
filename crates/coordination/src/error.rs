//! Errors of the decision layer.

use snafu::Snafu;

use crate::{locator, rule::Rule, sequence::Sequence};

/// Why a release note or another published value is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}{reason} (rule {rule})", prefix(*line)))]
pub struct NoteError {
    rule: Rule,
    line: Option<usize>,
    reason: String,
    subjects: Vec<Subject>,
}

/// A named thing that an error is about, by which its line is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subject {
    /// Kind of the thing.
    pub(crate) kind: Kind,
    /// Name of the thing.
    pub(crate) name: String,
}

/// Kind of a thing that notes name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A service.
    Service,
    /// A route.
    Route,
    /// An upstream.
    Upstream,
    /// The note itself.
    Note,
}

impl Kind {
    /// Returns the word for the kind.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Route => "route",
            Self::Upstream => "upstream",
            Self::Note => "note",
        }
    }

    /// Returns the key of a note under which things of the kind stand.
    pub(crate) fn section(self) -> &'static str {
        match self {
            Self::Service => "services",
            Self::Route => "routes",
            Self::Upstream => "upstreams",
            Self::Note => "note",
        }
    }
}

impl NoteError {
    /// Returns the rule that is broken.
    #[must_use]
    pub fn rule(&self) -> Rule {
        self.rule
    }

    /// Returns the line of the fault, counted from 1, if it is known.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.line
    }

    /// Returns what is wrong, without the line and the rule.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }

    pub(crate) fn new(rule: Rule, reason: impl Into<String>) -> Self {
        Self {
            rule,
            line: None,
            reason: reason.into(),
            subjects: Vec::new(),
        }
    }

    pub(crate) fn wrong_sequence(named: Sequence, published: Sequence) -> Self {
        let reason = format!("the value names sequence {named} but stands under {published}");
        Self::new(Rule::Sequence, reason).about(Kind::Note, "")
    }

    /// Names a thing that the error is about; those named first are looked for first.
    pub(crate) fn about(mut self, kind: Kind, name: impl Into<String>) -> Self {
        let name = name.into();
        self.subjects.push(Subject { kind, name });
        self
    }

    pub(crate) fn at_line(mut self, line: usize) -> Self {
        self.line = (line > 0).then_some(line);
        self
    }

    /// Adds the line on which the text of a note names what the error is about.
    pub(crate) fn located(mut self, text: &str) -> Self {
        if self.line.is_none() {
            self.line = locator::find_line(text, &self.subjects);
        }
        self
    }
}

fn prefix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!("line {line}: "))
}
