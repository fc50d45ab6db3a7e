//! Conversion of complete configurations.

use std::{collections::BTreeMap, sync::Arc};

use super::{generated, unique_map::UniqueMap};
use crate::{
    caller_limits::CallerLimits,
    config::Config,
    error::{Kind, NoteError},
    named::Named,
    rule::Rule,
    sequence::Sequence,
};

impl TryFrom<generated::Base> for Config {
    type Error = NoteError;

    fn try_from(base: generated::Base) -> Result<Self, NoteError> {
        Ok(Self {
            sequence: Sequence(base.sequence),
            services: convert(base.services)?,
            routes: convert(base.routes)?,
            upstreams: convert(base.upstreams)?,
            organisations: base.organisations.map(convert).transpose()?,
            caller_limits: base.caller_limits.map(CallerLimits::from),
        })
    }
}

fn convert<B, S>(resources: UniqueMap<String, B>) -> Result<BTreeMap<S::Name, Arc<S>>, NoteError>
where
    S: Named + TryFrom<B, Error = NoteError>,
{
    let mut converted = BTreeMap::new();
    for (key, resource) in resources.0 {
        let resource = S::try_from(resource)?;
        check_key(&key, resource.name().as_ref(), S::KIND)?;
        converted.insert(resource.name().clone(), Arc::new(resource));
    }
    Ok(converted)
}

fn check_key(key: &str, name: &str, kind: Kind) -> Result<(), NoteError> {
    if key == name {
        return Ok(());
    }
    let kind = kind.as_str();
    let reason = format!("{kind} {name} is stored under the key {key:?}");
    Err(NoteError::new(Rule::Name, reason))
}
