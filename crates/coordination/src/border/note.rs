//! Conversion of release notes.

use std::{
    num::{NonZeroU32, NonZeroU64},
    sync::Arc,
};

use super::{MAX_PATH_BYTES, about, generated, name};
use crate::{
    error::{Kind, NoteError},
    note::{Changes, Method, ReleaseNote, RouteSpec, ServiceSpec, SplitPart, UpstreamSpec},
    rule::Rule,
    sequence::Sequence,
};

impl TryFrom<generated::ReleaseNote> for ReleaseNote {
    type Error = NoteError;

    fn try_from(note: generated::ReleaseNote) -> Result<Self, NoteError> {
        let services = note.services.unwrap_or_default();
        let routes = note.routes.unwrap_or_default();
        let upstreams = note.upstreams.unwrap_or_default();
        Ok(Self {
            note: Sequence(note.note),
            summary: note.summary,
            services: Changes {
                add: convert_all(services.add)?,
                change: convert_all(services.change)?,
                withdraw: convert_names(Kind::Service, &services.withdraw)?,
            },
            routes: Changes {
                add: convert_all(routes.add)?,
                change: convert_all(routes.change)?,
                withdraw: convert_names(Kind::Route, &routes.withdraw)?,
            },
            upstreams: Changes {
                add: convert_all(upstreams.add)?,
                change: convert_all(upstreams.change)?,
                withdraw: convert_names(Kind::Upstream, &upstreams.withdraw)?,
            },
        })
    }
}

impl TryFrom<generated::Service> for ServiceSpec {
    type Error = NoteError;

    fn try_from(service: generated::Service) -> Result<Self, NoteError> {
        let blame = about(Kind::Service, &service.name);
        Ok(Self {
            name: name("service", &service.name).map_err(blame)?,
            health: service.health,
            cold_per_second: service.cold_per_second.map(NonZeroU32::get),
            cold_ms: service.cold_ms,
        })
    }
}

impl TryFrom<generated::Route> for RouteSpec {
    type Error = NoteError;

    fn try_from(route: generated::Route) -> Result<Self, NoteError> {
        let blame = about(Kind::Route, &route.name);
        check_path(&route.path).map_err(&blame)?;
        Ok(Self {
            name: name("route", &route.name).map_err(&blame)?,
            service: name("service", &route.service).map_err(&blame)?,
            path: route.path,
            methods: route.methods.into_iter().map(Method::from).collect(),
            idempotent: route.idempotent,
            timeout_ms: route.timeout_ms.get(),
            host: route.host.map(|host| host.to_ascii_lowercase().into()),
            split: convert_split(&route.split).map_err(&blame)?,
            attempts: route.attempts.map(NonZeroU32::get),
            target_ms: route.target_ms.map(NonZeroU64::get),
            priority: route.priority,
        })
    }
}

fn convert_split(parts: &[generated::SplitPart]) -> Result<Vec<SplitPart>, NoteError> {
    let converted = parts.iter().map(|part| {
        Ok(SplitPart {
            service: name("service", &part.service)?,
            weight: part.weight.get(),
        })
    });
    converted.collect()
}

impl TryFrom<generated::Upstream> for UpstreamSpec {
    type Error = NoteError;

    fn try_from(upstream: generated::Upstream) -> Result<Self, NoteError> {
        let blame = about(Kind::Upstream, &upstream.name);
        Ok(Self {
            name: name("upstream", &upstream.name).map_err(&blame)?,
            service: name("service", &upstream.service).map_err(&blame)?,
            vm: name("VM", &upstream.vm).map_err(&blame)?,
            domain: name("failure domain", &upstream.domain).map_err(&blame)?,
            address: upstream.address,
            slots: upstream.slots.get(),
            connections: upstream.connections.get(),
            start: None,
        })
    }
}

impl From<generated::Method> for Method {
    fn from(method: generated::Method) -> Self {
        match method {
            generated::Method::Get => Self::Get,
            generated::Method::Head => Self::Head,
            generated::Method::Post => Self::Post,
            generated::Method::Put => Self::Put,
            generated::Method::Patch => Self::Patch,
            generated::Method::Delete => Self::Delete,
            generated::Method::Options => Self::Options,
        }
    }
}

fn convert_all<B, S>(things: Vec<B>) -> Result<Vec<Arc<S>>, NoteError>
where
    S: TryFrom<B, Error = NoteError>,
{
    let converted = things
        .into_iter()
        .map(|thing| S::try_from(thing).map(Arc::new));
    converted.collect()
}

fn convert_names<N: for<'a> From<&'a str>>(
    kind: Kind,
    names: &[generated::Name],
) -> Result<Vec<N>, NoteError> {
    let converted = names
        .iter()
        .map(|withdrawn| name(kind.as_str(), withdrawn).map_err(about(kind, withdrawn)));
    converted.collect()
}

fn check_path(path: &str) -> Result<(), NoteError> {
    let invalid = |reason: String| Err(NoteError::new(Rule::Path, reason));
    if !path.starts_with('/') {
        return invalid(format!("the path {path:?} must start with a slash"));
    }
    if path.len() > MAX_PATH_BYTES {
        return invalid(format!("a path has at most {MAX_PATH_BYTES} bytes"));
    }
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if !path.chars().all(is_plain) {
        return invalid(format!(
            "the path {path:?} must be plain ASCII without spaces, `?` and `#`"
        ));
    }
    Ok(())
}
