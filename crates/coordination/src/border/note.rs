//! Conversion of release notes.

use std::{
    num::{NonZeroU32, NonZeroU64},
    sync::Arc,
};

use super::{MAX_PATH_BYTES, convert_label, convert_name, generated, with_subject};
use crate::{
    caller_limits::CallerLimits,
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
        let organisations = note.organisations.unwrap_or_default();
        let withdrawn = organisations.withdraw.iter();
        let withdrawn = withdrawn.map(|name| convert_label(Kind::Organisation, name));
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
            organisations: Changes {
                add: convert_all(organisations.add)?,
                change: convert_all(organisations.change)?,
                withdraw: withdrawn.collect::<Result<_, _>>()?,
            },
            caller_limits: note.caller_limits.map(CallerLimits::from),
        })
    }
}

impl TryFrom<generated::Service> for ServiceSpec {
    type Error = NoteError;

    fn try_from(service: generated::Service) -> Result<Self, NoteError> {
        let add_subject = with_subject(Kind::Service, &service.name);
        Ok(Self {
            name: convert_name("service", &service.name).map_err(add_subject)?,
            health: service.health,
            cold_per_second: service.cold_per_second.map(NonZeroU32::get),
            cold_ms: service.cold_ms,
        })
    }
}

impl TryFrom<generated::Route> for RouteSpec {
    type Error = NoteError;

    fn try_from(route: generated::Route) -> Result<Self, NoteError> {
        let add_subject = with_subject(Kind::Route, &route.name);
        check_path(&route.path).map_err(&add_subject)?;
        Ok(Self {
            name: convert_name("route", &route.name).map_err(&add_subject)?,
            service: convert_name("service", &route.service).map_err(&add_subject)?,
            path: route.path,
            methods: route.methods.into_iter().map(Method::from).collect(),
            idempotent: route.idempotent,
            timeout_ms: route.timeout_ms.get(),
            host: route.host.map(|host| host.to_ascii_lowercase().into()),
            split: convert_split(&route.split).map_err(&add_subject)?,
            attempts: route.attempts.map(NonZeroU32::get),
            target_ms: route.target_ms.map(NonZeroU64::get),
            priority: route.priority,
            public: route.public,
        })
    }
}

fn convert_split(parts: &[generated::SplitPart]) -> Result<Vec<SplitPart>, NoteError> {
    let converted = parts.iter().map(|part| {
        Ok(SplitPart {
            service: convert_name("service", &part.service)?,
            weight: part.weight.get(),
        })
    });
    converted.collect()
}

impl TryFrom<generated::Upstream> for UpstreamSpec {
    type Error = NoteError;

    fn try_from(upstream: generated::Upstream) -> Result<Self, NoteError> {
        let add_subject = with_subject(Kind::Upstream, &upstream.name);
        Ok(Self {
            name: convert_name("upstream", &upstream.name).map_err(&add_subject)?,
            service: convert_name("service", &upstream.service).map_err(&add_subject)?,
            vm: convert_name("VM", &upstream.vm).map_err(&add_subject)?,
            domain: convert_name("failure domain", &upstream.domain).map_err(&add_subject)?,
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

fn convert_all<B, S>(resources: Vec<B>) -> Result<Vec<Arc<S>>, NoteError>
where
    S: TryFrom<B, Error = NoteError>,
{
    let converted = resources
        .into_iter()
        .map(|resource| S::try_from(resource).map(Arc::new));
    converted.collect()
}

fn convert_names<N: for<'a> From<&'a str>>(
    kind: Kind,
    names: &[generated::Name],
) -> Result<Vec<N>, NoteError> {
    let converted = names.iter().map(|withdrawn| {
        convert_name(kind.as_str(), withdrawn).map_err(with_subject(kind, withdrawn))
    });
    converted.collect()
}

fn check_path(path: &str) -> Result<(), NoteError> {
    let invalid = |reason: String| Err(NoteError::new(Rule::Path, reason));
    if !path.starts_with('/') {
        return invalid(format!("the path {path:?} must start with a slash"));
    }
    if path.len() > MAX_PATH_BYTES {
        return invalid(format!("the path must have at most {MAX_PATH_BYTES} bytes"));
    }
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if !path.chars().all(is_plain) {
        return invalid(format!(
            "the path {path:?} must be plain ASCII without spaces, `?` and `#`"
        ));
    }
    Ok(())
}
