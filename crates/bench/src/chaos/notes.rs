//! Notes that a chaos run publishes and the configuration that they fold to.

use std::{collections::BTreeSet, sync::Arc};

use rand::{Rng, rngs::SmallRng};
use wagtaillever_coordination::{Changes, Config, Fold, ReleaseNote, Sequence, UpstreamSpec};

use crate::fleet::Fleet;

/// Publishes notes and folds them with the same code as the nodes.
pub(crate) struct Notes {
    fold: Fold,
    withdrawn: BTreeSet<usize>,
}

impl Notes {
    /// Returns the state of a run that starts from a base configuration.
    ///
    /// # Panics
    ///
    /// Does not panic: the published base is valid.
    pub(crate) fn new(base: Config) -> Self {
        let mut fold = Fold::default();
        fold.install(base).expect("the base configuration is valid");
        Self {
            fold,
            withdrawn: BTreeSet::new(),
        }
    }

    /// Returns the configuration that all nodes must converge to.
    pub(crate) fn expected(&self) -> &Config {
        self.fold.config()
    }

    /// Publishes a note that changes the slots of one upstream; an empty note if the upstream is
    /// withdrawn.
    pub(crate) fn publish_valid(&mut self, fleet: &Fleet, rng: &mut SmallRng) {
        let vm = rng.random_range(0..fleet.layout().vms.len());
        if self.withdrawn.contains(&vm) {
            return self.publish(fleet, &ReleaseNote::default());
        }
        let mut upstream = upstream_spec(fleet, vm);
        upstream.slots -= rng.random_range(0..2);
        let note = ReleaseNote {
            upstreams: Changes {
                change: vec![Arc::new(upstream)],
                ..Changes::default()
            },
            ..ReleaseNote::default()
        };
        self.publish(fleet, &note);
    }

    /// Publishes an invalid note whose first change is valid by itself, so that a node that
    /// applies notes partially is detected.
    pub(crate) fn publish_invalid(&mut self, fleet: &Fleet, kind: u8) {
        let next = self.fold.sequence().next();
        let services = &fleet.deployment().services;
        let service = &services[0].name;
        let valid_change = "routes: {add: [{name: left-over, path: /left-over, service: ";
        let valid_change = format!("{valid_change}{service}}}]}}");
        let text = match kind {
            0 => format!("note: {next}\n{valid_change}\nservices: {{withdraw: [{service}]}}\n"),
            1 => format!(
                "note: {next}\n{valid_change}\nupstreams: {{withdraw: [no-such-upstream]}}\n"
            ),
            2 => format!("note: {next}\n{valid_change}\nno_such_field: 1\n"),
            3 => format!("note: {}\n{valid_change}\n", next.next()),
            4 => format!("note: {next}\n{valid_change}\n{valid_change}\n"),
            _ => format!("note: {next}\n{valid_change}\nservices: [[[\n"),
        };
        self.publish_text(fleet, &text);
    }

    /// Publishes a note that withdraws the upstream of a VM; returns false if it is already
    /// withdrawn.
    pub(crate) fn publish_withdrawal(&mut self, fleet: &Fleet, vm: usize) -> bool {
        if !self.withdrawn.insert(vm) {
            return false;
        }
        let note = ReleaseNote {
            upstreams: Changes {
                withdraw: vec![fleet.layout().vms[vm].upstream.clone()],
                ..Changes::default()
            },
            ..ReleaseNote::default()
        };
        self.publish(fleet, &note);
        true
    }

    /// Publishes a note that adds back the upstream of a VM.
    pub(crate) fn publish_addition(&mut self, fleet: &Fleet, vm: usize) {
        self.withdrawn.remove(&vm);
        let note = ReleaseNote {
            upstreams: Changes {
                add: vec![Arc::new(upstream_spec(fleet, vm))],
                ..Changes::default()
            },
            ..ReleaseNote::default()
        };
        self.publish(fleet, &note);
    }

    fn publish(&mut self, fleet: &Fleet, note: &ReleaseNote) {
        let note = ReleaseNote {
            note: self.fold.sequence().next(),
            ..note.clone()
        };
        if let Ok(text) = serde_yaml_ng::to_string(&note) {
            self.publish_text(fleet, &text);
        }
    }

    fn publish_text(&mut self, fleet: &Fleet, text: &str) {
        let next: Sequence = self.fold.sequence().next();
        fleet.publish_text(next, text);
        let events = self.fold.insert(next, text.as_bytes().into());
        log::info!("note {next}: {events:?}");
    }
}

fn upstream_spec(fleet: &Fleet, vm: usize) -> UpstreamSpec {
    let vm = &fleet.layout().vms[vm];
    fleet.layout().upstream(fleet.deployment(), vm)
}
