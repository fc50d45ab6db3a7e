//! Records what an upstream states of itself in its answers, in log and metrics.

use std::{
    cell::{Cell, RefCell},
    time::Instant,
};

use awc::http::header::HeaderMap;
use log::{info, warn};
use wagtaillever_coordination::{Dialect, RequestRate, Statement, UpstreamName};

use crate::logging::LineBudget;

/// What this process believes of an upstream by its statements, and since when.
pub(super) struct Statements {
    belief: Cell<Belief>,
    changed_at: Cell<Instant>,
    log_budget: RefCell<LineBudget>,
}

/// What this process believes of an upstream by its statements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Belief {
    /// Limit in force.
    pub(super) limit: Option<RequestRate>,
    /// Whether the upstream is leaving.
    pub(super) is_leaving: bool,
}

impl Belief {
    /// Returns the limit in force in requests per second.
    pub(super) fn limit_per_second(self) -> Option<f64> {
        self.limit.map(RequestRate::per_second)
    }
}

/// Answer in which an upstream states something of itself.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source<'a> {
    /// Answer to a call.
    Call(&'a str),
    /// Answer to a health check.
    HealthCheck,
}

impl<'a> Source<'a> {
    fn call(self) -> Option<&'a str> {
        match self {
            Self::Call(call) => Some(call),
            Self::HealthCheck => None,
        }
    }
}

impl Statements {
    /// Returns the record of an upstream that has stated nothing.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            belief: Cell::default(),
            changed_at: Cell::new(now),
            log_budget: RefCell::new(LineBudget::new(now)),
        }
    }

    /// Reads the statement in the headers of an answer.
    pub(super) fn read(headers: &HeaderMap, dialect: &Dialect) -> Statement {
        Statement::read(dialect, |name| {
            headers.get_all(name).map(|value| value.as_bytes())
        })
    }

    /// Returns the belief and since when it has been the same.
    pub(super) fn belief(&self) -> (Belief, Instant) {
        (self.belief.get(), self.changed_at.get())
    }

    /// Records the belief after an answer.
    pub(super) fn record(&self, upstream: &UpstreamName, belief: Belief, source: Source<'_>) {
        let old = self.belief.replace(belief);
        if old == belief {
            return;
        }
        let now = Instant::now();
        let age = now.saturating_duration_since(self.changed_at.replace(now));
        let limit = belief.limit_per_second();
        metrics::gauge!("upstream_stated_limit", "upstream" => upstream.to_string())
            .set(limit.unwrap_or(f64::INFINITY));
        metrics::counter!("upstream_statement_changes_total").increment(1);
        let Some(left_out) = self.log_budget.borrow_mut().take(now) else {
            return;
        };
        info!(
            upstream:% = upstream, call = source.call(), stated_limit = limit,
            old_limit = old.limit_per_second(), is_leaving = belief.is_leaving,
            age_ms = age.as_millis() as u64, left_out;
            "upstream changed what it states of itself"
        );
    }

    /// Reports a stated limit that is no rate.
    pub(super) fn report_unusable(&self, upstream: &UpstreamName, source: Source<'_>) {
        metrics::counter!("upstream_statements_unusable_total").increment(1);
        if let Some(left_out) = self.log_budget.borrow_mut().take(Instant::now()) {
            warn!(
                upstream:% = upstream, call = source.call(), left_out;
                "upstream stated a limit that is no rate; the last one stays in force"
            );
        }
    }
}
