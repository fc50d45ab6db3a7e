//! Errors in release notes and other published values.

use snafu::Snafu;

use crate::{locator, rule::Rule, sequence::Sequence};

/// Reason why a release note or another published value is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}{reason} (rule {rule})", line_prefix(*line)))]
pub struct NoteError {
    rule: Rule,
    line: Option<usize>,
    reason: String,
    subjects: Vec<Subject>,
}

/// A resource that an error refers to; its name is used to find the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subject {
    pub(crate) kind: Kind,
    pub(crate) name: String,
}

/// Kind of resource that an error can refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A service.
    Service,
    /// A route.
    Route,
    /// An upstream.
    Upstream,
    /// An organisation.
    Organisation,
    /// The note itself.
    Note,
}

impl Kind {
    /// Returns the singular noun used in error messages.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Route => "route",
            Self::Upstream => "upstream",
            Self::Organisation => "organisation",
            Self::Note => "note",
        }
    }

    /// Returns the top-level key of a note that holds this kind of resource.
    pub(crate) fn section(self) -> &'static str {
        match self {
            Self::Service => "services",
            Self::Route => "routes",
            Self::Upstream => "upstreams",
            Self::Organisation => "organisations",
            Self::Note => "note",
        }
    }
}

impl NoteError {
    /// Returns the broken rule.
    #[must_use]
    pub fn rule(&self) -> Rule {
        self.rule
    }

    /// Returns the 1-based line number of the error, if known.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.line
    }

    /// Returns the message without the line and the rule.
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
        let reason = format!("the value names sequence {named} but is published under {published}");
        Self::new(Rule::Sequence, reason).with_subject(Kind::Note, "")
    }

    /// Adds a resource that the error refers to; the line is searched in the order of addition.
    pub(crate) fn with_subject(mut self, kind: Kind, name: impl Into<String>) -> Self {
        let name = name.into();
        self.subjects.push(Subject { kind, name });
        self
    }

    pub(crate) fn with_line(mut self, line: usize) -> Self {
        self.line = (line > 0).then_some(line);
        self
    }

    /// Sets the line, if unknown, by searching the text of the note for the error's subjects.
    pub(crate) fn with_location(mut self, text: &str) -> Self {
        if self.line.is_none() {
            self.line = locator::find_line(text, &self.subjects);
        }
        self
    }
}

fn line_prefix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!("line {line}: "))
}
