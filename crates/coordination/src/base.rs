//! The platform's `base` value: a complete configuration, or an index of its parts.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize, de::IgnoredAny};

use crate::{
    border::{self, MAX_VALUE_BYTES},
    config::Config,
    error::NoteError,
    name::ServiceName,
    named::Named,
    rule::Rule,
    sequence::Sequence,
};

/// Value of the platform's `base` key.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Base {
    /// The index of a configuration that is split by service.
    Split(BaseIndex),
    /// The complete configuration.
    Whole(Config),
}

/// Index of a configuration that is published in several parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BaseIndex {
    /// Sequence of the configuration and of each part.
    pub sequence: Sequence,
    /// Platform keys of the parts.
    pub parts: Vec<String>,
}

/// A value to publish under a platform key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Publication {
    /// Key, such as `base`.
    pub key: String,
    /// Text of the value.
    pub text: String,
}

/// Partial view of a `base` value; only an index has `parts`.
#[derive(Deserialize)]
struct Shape {
    parts: Option<IgnoredAny>,
}

impl Base {
    /// Parses the value of the `base` key.
    ///
    /// # Errors
    ///
    /// Returns the rule that the text breaks, with the line if it is known.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        let shape: Shape = border::from_json(text)?;
        if shape.parts.is_some() {
            let index: border::BaseIndex = border::from_json(text)?;
            return Ok(Self::Split(BaseIndex {
                sequence: Sequence(index.sequence),
                parts: index.parts,
            }));
        }
        Config::parse(text).map(Self::Whole)
    }
}

impl BaseIndex {
    /// Joins the parts into the complete configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a part has another sequence, a resource is in two parts, or the joined
    /// configuration breaks a rule.
    pub fn join(&self, parts: impl IntoIterator<Item = Config>) -> Result<Config, NoteError> {
        let mut joined = Config {
            sequence: self.sequence,
            ..Config::default()
        };
        for part in parts {
            if part.sequence != self.sequence {
                return Err(NoteError::wrong_sequence(part.sequence, self.sequence));
            }
            merge(&mut joined.services, part.services)?;
            merge(&mut joined.routes, part.routes)?;
            merge(&mut joined.upstreams, part.upstreams)?;
            if let Some(organisations) = part.organisations {
                let joined = joined.organisations.get_or_insert_default();
                merge(joined, organisations)?;
            }
            if joined.caller_limits.is_some() && part.caller_limits.is_some() {
                let reason = "the caller limits are in two parts";
                return Err(NoteError::new(Rule::Unique, reason));
            }
            joined.caller_limits = joined.caller_limits.or(part.caller_limits);
        }
        joined.validate()?;
        Ok(joined)
    }
}

fn merge<S: Named>(
    joined: &mut BTreeMap<S::Name, Arc<S>>,
    part: BTreeMap<S::Name, Arc<S>>,
) -> Result<(), NoteError> {
    for (name, resource) in part {
        if joined.contains_key(&name) {
            let kind = S::KIND.as_str();
            let reason = format!("{kind} {} is in two parts", name.as_ref());
            return Err(NoteError::new(Rule::Unique, reason));
        }
        joined.insert(name, resource);
    }
    Ok(())
}

impl Config {
    /// Parses and validates the JSON of a complete configuration.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the text or the configuration breaks, with the line if it is known.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        let config = Self::parse_part(text)?;
        config.validate()?;
        Ok(config)
    }

    /// Parses the JSON of one part of a configuration without validating references to other parts.
    ///
    /// # Errors
    ///
    /// Returns the rule that the text breaks, with the line if it is known.
    pub fn parse_part(text: &[u8]) -> Result<Self, NoteError> {
        let base: border::Base = border::from_json(text)?;
        Self::try_from(base)
    }

    /// Returns the values to publish for this configuration, with the `base` key last.
    ///
    /// # Panics
    ///
    /// Does not panic: serialising a configuration cannot fail.
    #[must_use]
    pub fn publications(&self) -> Vec<Publication> {
        self.publications_within(MAX_VALUE_BYTES)
    }

    pub(crate) fn publications_within(&self, limit: usize) -> Vec<Publication> {
        let json = to_json(self);
        if json.len() <= limit {
            return vec![Publication {
                key: "base".into(),
                text: json,
            }];
        }
        let mut published = Vec::new();
        for (number, part) in self.split(limit).into_iter().enumerate() {
            published.push(Publication {
                key: format!("base/{number}"),
                text: part,
            });
        }
        let index = BaseIndex {
            sequence: self.sequence,
            parts: published.iter().map(|part| part.key.clone()).collect(),
        };
        published.push(Publication {
            key: "base".into(),
            text: to_json(&index),
        });
        published
    }

    /// Returns the JSON of the parts, each filled with services up to `limit` bytes. The first one
    /// also holds the organisations and the caller limits.
    ///
    /// A part holds at least one service with its routes and upstreams, even if that alone exceeds
    /// the limit.
    fn split(&self, limit: usize) -> Vec<String> {
        let mut parts = Vec::new();
        let mut current = self.empty_part();
        current.organisations = self.organisations.clone();
        current.caller_limits = self.caller_limits;
        let mut bytes = to_json(&current).len();
        for service in self.services.keys() {
            let subset = self.service_subset(service);
            let subset_bytes = to_json(&subset).len();
            let is_empty = current.services.is_empty() && current.organisations.is_none();
            if bytes + subset_bytes > limit && !is_empty {
                parts.push(to_json(&current));
                current = self.empty_part();
                bytes = to_json(&current).len();
            }
            current.services.extend(subset.services);
            current.routes.extend(subset.routes);
            current.upstreams.extend(subset.upstreams);
            bytes += subset_bytes;
        }
        parts.push(to_json(&current));
        parts
    }

    fn empty_part(&self) -> Self {
        Self {
            sequence: self.sequence,
            ..Self::default()
        }
    }

    fn service_subset(&self, service: &ServiceName) -> Self {
        let mut subset = self.empty_part();
        let services = self.services.get_key_value(service);
        subset.services = services
            .map(|(name, spec)| (name.clone(), Arc::clone(spec)))
            .into_iter()
            .collect();
        let routes = self.routes.iter();
        subset.routes = routes
            .filter(|(_, route)| route.service == *service)
            .map(|(name, route)| (name.clone(), Arc::clone(route)))
            .collect();
        subset.upstreams = self
            .upstreams_of(service)
            .map(|upstream| (upstream.name.clone(), Arc::clone(upstream)))
            .collect();
        subset
    }
}

/// # Panics
///
/// Does not panic: map keys serialise as strings, and no value can fail to serialise.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("serialising a configuration cannot fail")
}
