//! The platform's `base` value: a whole configuration, or an index of its parts.

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

/// What the platform's `base` key holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Base {
    /// The configuration was split by service.
    Split(BaseIndex),
    /// The whole configuration.
    Whole(Config),
}

/// Index of a configuration that is published in parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BaseIndex {
    /// Sequence of the configuration and of each part.
    pub sequence: Sequence,
    /// Keys of the parts.
    pub parts: Vec<String>,
}

/// A value to publish under a key of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Publication {
    /// Key, such as `base`.
    pub key: String,
    /// Text of the value.
    pub text: String,
}

/// What tells an index from a whole configuration.
#[derive(Deserialize)]
struct Shape {
    parts: Option<IgnoredAny>,
}

impl Base {
    /// Parses the value of the `base` key.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line of the fault.
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
    /// Joins the parts of a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when a part is of another sequence, a thing is in two
    /// parts or the whole breaks a rule.
    pub fn join(&self, parts: impl IntoIterator<Item = Config>) -> Result<Config, NoteError> {
        let mut whole = Config {
            sequence: self.sequence,
            ..Config::default()
        };
        for part in parts {
            if part.sequence != self.sequence {
                return Err(NoteError::wrong_sequence(part.sequence, self.sequence));
            }
            merge(&mut whole.services, part.services)?;
            merge(&mut whole.routes, part.routes)?;
            merge(&mut whole.upstreams, part.upstreams)?;
        }
        whole.validate()?;
        Ok(whole)
    }
}

fn merge<S: Named>(
    whole: &mut BTreeMap<S::Name, Arc<S>>,
    part: BTreeMap<S::Name, Arc<S>>,
) -> Result<(), NoteError> {
    for (name, thing) in part {
        if whole.contains_key(&name) {
            let kind = S::KIND.as_str();
            let reason = format!("{kind} {} is in two parts", name.as_ref());
            return Err(NoteError::new(Rule::Unique, reason));
        }
        whole.insert(name, thing);
    }
    Ok(())
}

impl Config {
    /// Parses and checks the JSON of a whole configuration.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line of the fault or the rule that is broken.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        let config = Self::parse_part(text)?;
        config.validate()?;
        Ok(config)
    }

    /// Parses the JSON of one part of a configuration, which may refer to other parts.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line of the fault.
    pub fn parse_part(text: &[u8]) -> Result<Self, NoteError> {
        let base: border::Base = border::from_json(text)?;
        Self::try_from(base)
    }

    /// Returns the values to publish for this configuration, the `base` key last.
    ///
    /// # Panics
    ///
    /// Does not panic: a configuration always serialises.
    #[must_use]
    pub fn publications(&self) -> Vec<Publication> {
        self.publications_within(MAX_VALUE_BYTES)
    }

    pub(crate) fn publications_within(&self, limit: usize) -> Vec<Publication> {
        let whole = to_json(self);
        if whole.len() <= limit {
            return vec![Publication {
                key: "base".into(),
                text: whole,
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

    /// Returns the JSON of parts with as many services each as the limit allows, and at least one.
    fn split(&self, limit: usize) -> Vec<String> {
        let mut parts = Vec::new();
        let mut current = self.empty();
        let mut bytes = to_json(&current).len();
        for service in self.services.keys() {
            let share = self.share_of(service);
            let share_bytes = to_json(&share).len();
            if bytes + share_bytes > limit && !current.services.is_empty() {
                parts.push(to_json(&current));
                current = self.empty();
                bytes = to_json(&current).len();
            }
            current.services.extend(share.services);
            current.routes.extend(share.routes);
            current.upstreams.extend(share.upstreams);
            bytes += share_bytes;
        }
        parts.push(to_json(&current));
        parts
    }

    fn empty(&self) -> Self {
        Self {
            sequence: self.sequence,
            ..Self::default()
        }
    }

    fn share_of(&self, service: &ServiceName) -> Self {
        let mut share = self.empty();
        let services = self.services.get_key_value(service);
        share.services = services
            .map(|(name, spec)| (name.clone(), Arc::clone(spec)))
            .into_iter()
            .collect();
        let routes = self.routes.iter();
        share.routes = routes
            .filter(|(_, route)| route.service == *service)
            .map(|(name, route)| (name.clone(), Arc::clone(route)))
            .collect();
        share.upstreams = self
            .upstreams_of(service)
            .map(|upstream| (upstream.name.clone(), Arc::clone(upstream)))
            .collect();
        share
    }
}

/// # Panics
///
/// Does not panic: names serialise as keys and all values as text or numbers.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("a configuration serialises")
}
