//! Immutable configuration that results from folding release notes.

mod changes;
mod check;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    border,
    caller_limits::CallerLimits,
    config::changes::apply_changes,
    error::NoteError,
    name::{OrganisationName, RouteName, ServiceName, UpstreamName},
    note::{Changes, ReleaseNote, RouteSpec, ServiceSpec, UpstreamSpec},
    organisation::Organisation,
    sequence::Sequence,
};

/// A service in force.
pub type Service = ServiceSpec;
/// A route in force.
pub type Route = RouteSpec;
/// An upstream in force.
pub type Upstream = UpstreamSpec;

/// The complete configuration at one sequence number; never modified in place.
///
/// Its serialised form is the platform's `base` value and the snapshot that peers exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "border::Base")]
pub struct Config {
    /// Sequence of the last folded note.
    pub sequence: Sequence,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Arc<Upstream>>,
    /// Organisations by name; `None` if the deployment has none and requests need no API key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisations: Option<BTreeMap<OrganisationName, Arc<Organisation>>>,
    /// Limits on callers; `None` if the built-in ones apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

impl Config {
    /// Returns the configuration with one note applied, completely or not at all.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the note breaks.
    pub fn apply(&self, note: &ReleaseNote) -> Result<Self, NoteError> {
        let mut next = self.clone();
        next.sequence = note.note;
        apply_changes(&mut next.services, &note.services)?;
        apply_changes(&mut next.routes, &note.routes)?;
        apply_changes(&mut next.upstreams, &note.upstreams)?;
        if note.organisations != Changes::default() {
            let organisations = next.organisations.get_or_insert_default();
            apply_changes(organisations, &note.organisations)?;
        }
        next.caller_limits = note.caller_limits.or(next.caller_limits);
        next.check(note)?;
        Ok(next)
    }

    /// Parses a note published under a sequence and returns the configuration with it applied.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the note breaks, with the line if it is known.
    pub fn apply_text(&self, published: Sequence, text: &[u8]) -> Result<Self, NoteError> {
        let note = ReleaseNote::parse(text)?;
        let applied = if note.note == published {
            self.apply(&note)
        } else {
            Err(NoteError::wrong_sequence(note.note, published))
        };
        applied.map_err(|err| err.with_location(&String::from_utf8_lossy(text)))
    }

    /// Checks the rules for a complete configuration.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn validate(&self) -> Result<(), NoteError> {
        self.check(&ReleaseNote::default())
    }

    /// Iterates over the upstreams of a service, ordered by name.
    pub fn upstreams_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + 'a {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.service == *service)
    }

    /// Returns a hash of the serialised configuration, equal on all nodes that have the same one.
    ///
    /// # Panics
    ///
    /// Does not panic: serialising a configuration cannot fail.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("serialising a configuration cannot fail");
        xxh3_64(&text)
    }
}
