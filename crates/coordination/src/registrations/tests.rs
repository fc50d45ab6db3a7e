use super::*;

struct Case {
    registrations: Registrations,
    start: Instant,
    at: Duration,
    revision: u64,
}

fn case() -> Case {
    Case {
        registrations: Registrations::default(),
        start: Instant::now(),
        at: Duration::ZERO,
        revision: 10,
    }
}

fn registration(name: &str, vm: &str, started: u64) -> Registration {
    Registration {
        upstream: ListedUpstream {
            name: name.into(),
            service: "s".into(),
            address: format!("{vm}:80").parse().unwrap(),
            slots: 12,
            started,
            cold_ms: 0,
        },
        vm: vm.into(),
        domain: "d".into(),
        region: "r".into(),
        node: format!("{vm}:7600").parse().unwrap(),
        is_leaving: false,
    }
}

impl Case {
    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn after_ms(mut self, ms: u64) -> Self {
        self.at += Duration::from_millis(ms);
        self
    }

    fn heard(self) -> Self {
        self.heard_after_ms(0)
    }

    /// The platform answers a call that waited.
    fn heard_after_ms(mut self, waited: u64) -> Self {
        let asked = self.now();
        self.at += Duration::from_millis(waited);
        let now = self.now();
        self.registrations.record_answer(asked, now);
        self
    }

    fn put(mut self, registration: Registration) -> Self {
        self.revision += 1;
        let name = registration.upstream.name.clone();
        let now = self.now();
        self.registrations
            .apply(&name, Some(registration), self.revision, now);
        self
    }

    fn remove(mut self, name: &str) -> Self {
        self.revision += 1;
        let now = self.now();
        self.registrations
            .apply(&name.into(), None, self.revision, now);
        self
    }

    fn read(mut self, registrations: &[Registration]) -> Self {
        let now = self.now();
        self.registrations
            .replace(registrations.to_vec(), self.revision, now);
        self
    }

    #[track_caller]
    fn lists(mut self, expected: &[(&str, VmState, &[&str])]) -> Self {
        let now = self.now();
        self.registrations.changed_list(now);
        let listed: Vec<_> = self.registrations.published.vms.iter().collect();
        let listed: Vec<_> = listed
            .iter()
            .map(|entry| {
                let names = entry.upstreams.iter().map(|u| u.name.as_str());
                (entry.vm.as_str(), entry.state, names.collect::<Vec<_>>())
            })
            .collect();
        let expected: Vec<_> = expected
            .iter()
            .map(|(vm, state, names)| (*vm, *state, names.to_vec()))
            .collect();
        assert_eq!(listed, expected);
        self
    }
}

const A: &str = "10.0.0.1";
const B: &str = "10.0.0.2";

#[test]
fn an_upstream_that_goes_is_unlisted_at_once_and_dropped_later() {
    case()
        .heard()
        .put(registration("a", A, 1))
        .put(registration("b", B, 1))
        .lists(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(500)
        .heard()
        .remove("a")
        .lists(&[(A, VmState::Unlisted, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(14_000)
        .heard()
        .lists(&[(A, VmState::Unlisted, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(1_000)
        .heard()
        .lists(&[(B, VmState::Live, &["b"])]);
}

/// Load pattern: a VM is cut off from the platform alone, and comes back.
#[test]
fn an_unlisted_upstream_that_registers_again_is_live() {
    case()
        .heard()
        .put(registration("a", A, 1))
        .remove("a")
        .lists(&[(A, VmState::Unlisted, &["a"])])
        .put(registration("a", A, 1))
        .lists(&[(A, VmState::Live, &["a"])]);
}

/// Another upstream that has the address of one that went takes its place at once.
#[test]
fn an_unlisted_upstream_gives_way_to_a_later_one_at_its_address() {
    case()
        .heard()
        .put(registration("a", A, 1))
        .remove("a")
        .put(registration("c", A, 2))
        .lists(&[(A, VmState::Live, &["c"])]);
}

#[test]
fn registrations_that_lapsed_in_an_outage_are_kept_until_they_can_be_back() {
    case()
        .heard()
        .put(registration("a", A, 1))
        .put(registration("b", B, 1))
        .after_ms(5_000)
        .heard()
        .read(&[])
        .lists(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(900)
        .heard()
        .put(registration("a", A, 1))
        .after_ms(900)
        .heard()
        .after_ms(500)
        .heard()
        .lists(&[(A, VmState::Live, &["a"])]);
}

#[test]
fn an_upstream_that_was_leaving_does_not_come_back_through_an_outage() {
    let leaving = Registration {
        is_leaving: true,
        ..registration("a", A, 1)
    };
    case()
        .heard()
        .put(leaving)
        .lists(&[(A, VmState::Leaving, &["a"])])
        .after_ms(5_000)
        .heard()
        .read(&[])
        .lists(&[]);
}

#[test]
fn a_short_silence_is_no_outage() {
    case()
        .heard()
        .put(registration("a", A, 1))
        .after_ms(800)
        .heard()
        .read(&[])
        .lists(&[(A, VmState::Unlisted, &["a"])]);
}

#[test]
fn of_two_upstreams_at_one_address_the_last_started_one_counts() {
    case()
        .heard()
        .put(registration("old", A, 1))
        .put(registration("new", A, 2))
        .lists(&[(A, VmState::Live, &["new"])]);
}

#[test]
fn a_list_has_a_higher_number_with_each_change_and_none_without() {
    let mut case = case().heard().put(registration("a", A, 1));
    let now = case.now();
    let first = case.registrations.changed_list(now).unwrap();
    assert_eq!(case.registrations.changed_list(now), None);
    let mut case = case.put(registration("b", B, 1));
    let second = case.registrations.changed_list(now).unwrap();
    assert!(second.number > first.number);
}

#[test]
fn a_watch_that_waited_for_a_change_is_no_outage() {
    case()
        .heard()
        .put(registration("a", A, 1))
        .after_ms(10)
        .heard_after_ms(2_000)
        .remove("a")
        .lists(&[(A, VmState::Unlisted, &["a"])]);
}
