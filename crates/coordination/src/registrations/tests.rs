use super::*;
use crate::era::ordered_revision;

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

    fn answered(self) -> Self {
        self.answered_after_ms(0)
    }

    /// Records the answer to a call that takes `waited_ms`.
    fn answered_after_ms(mut self, waited_ms: u64) -> Self {
        let asked = self.now();
        self.at += Duration::from_millis(waited_ms);
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

    /// Restores the platform from an older copy, whose next change gets a low revision again.
    fn restored(mut self) -> Self {
        self.revision = ordered_revision(era_of(self.revision) + 1, 5);
        self
    }

    /// Replaces the reader by another one that has only the last list and learned of a restoration
    /// `restored_ms` ago.
    fn taken_over(mut self, restored_ms: u64) -> Self {
        let restored = Some(Duration::from_millis(restored_ms));
        let list = self.registrations.published.clone();
        self.registrations =
            Registrations::resume(&list, Duration::ZERO, None, restored, self.now());
        self
    }

    /// Replaces the reader by another one, `silence_ms` after the last answer that it knows of and
    /// `own_ms` after the last one that it got itself.
    fn resumed(mut self, silence_ms: u64, own_ms: Option<u64>) -> Self {
        let list = self.registrations.published.clone();
        let silence = Duration::from_millis(silence_ms);
        let own_age = own_ms.map(Duration::from_millis);
        self.registrations = Registrations::resume(&list, silence, own_age, None, self.now());
        self
    }

    fn read(mut self, registrations: &[Registration]) -> Self {
        let now = self.now();
        self.registrations
            .replace(registrations.to_vec(), self.revision, now);
        self
    }

    #[track_caller]
    fn expect_list(mut self, expected: &[(&str, VmState, &[&str])]) -> Self {
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
fn an_upstream_without_registration_is_unlisted_at_once_and_dropped_later() {
    case()
        .answered()
        .put(registration("a", A, 1))
        .put(registration("b", B, 1))
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(500)
        .answered()
        .remove("a")
        .expect_list(&[(A, VmState::Unlisted, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(14_000)
        .answered()
        .expect_list(&[(A, VmState::Unlisted, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(1_000)
        .answered()
        .expect_list(&[(B, VmState::Live, &["b"])]);
}

/// A VM loses only its connection to the platform and regains it.
#[test]
fn an_unlisted_upstream_that_registers_again_is_live() {
    case()
        .answered()
        .put(registration("a", A, 1))
        .remove("a")
        .expect_list(&[(A, VmState::Unlisted, &["a"])])
        .put(registration("a", A, 1))
        .expect_list(&[(A, VmState::Live, &["a"])]);
}

/// Covers a restart under another name: the new upstream is listed at once, without waiting for the
/// unlisted one to be dropped.
#[test]
fn an_unlisted_upstream_is_replaced_by_a_later_one_at_its_address() {
    case()
        .answered()
        .put(registration("a", A, 1))
        .remove("a")
        .put(registration("c", A, 2))
        .expect_list(&[(A, VmState::Live, &["c"])]);
}

#[test]
fn registrations_that_expired_in_an_outage_are_kept_until_they_can_be_renewed() {
    case()
        .answered()
        .put(registration("a", A, 1))
        .put(registration("b", B, 1))
        .after_ms(5_000)
        .answered()
        .read(&[])
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(900)
        .answered()
        .put(registration("a", A, 1))
        .after_ms(900)
        .answered()
        .after_ms(500)
        .answered()
        .expect_list(&[(A, VmState::Live, &["a"])]);
}

#[test]
fn a_leaving_upstream_is_not_kept_after_an_outage() {
    let leaving = Registration {
        is_leaving: true,
        ..registration("a", A, 1)
    };
    case()
        .answered()
        .put(leaving)
        .expect_list(&[(A, VmState::Leaving, &["a"])])
        .after_ms(5_000)
        .answered()
        .read(&[])
        .expect_list(&[]);
}

#[test]
fn a_short_interval_without_answers_is_no_outage() {
    case()
        .answered()
        .put(registration("a", A, 1))
        .after_ms(800)
        .answered()
        .read(&[])
        .expect_list(&[(A, VmState::Unlisted, &["a"])]);
}

/// Guards against new work for an upstream that left: sttcs-mesh mix, seed 379389389712, where a new
/// reader took the age of the reports of others for an outage and kept the upstream in its lists.
#[test]
fn late_reports_of_other_readers_are_no_outage() {
    let listed = || {
        let a = registration("a", A, 1);
        case()
            .answered()
            .put(a)
            .expect_list(&[(A, VmState::Live, &["a"])])
    };
    let unlisted: &[(&str, VmState, &[&str])] = &[(A, VmState::Unlisted, &["a"])];
    for own_ms in [None, Some(60_000)] {
        let resumed = listed().resumed(2_100, own_ms);
        resumed.answered().remove("a").expect_list(unlisted);
    }
}

/// The platform is away for more than a second, and a reader had to start from the beginning.
#[test]
fn a_reader_that_resumes_after_an_outage_keeps_what_expired() {
    let kept: &[(&str, VmState, &[&str])] = &[(A, VmState::Live, &["a"])];
    for (silence_ms, own_ms) in [(1_300, Some(1_300)), (1_300, Some(2_000)), (4_000, None)] {
        let a = registration("a", A, 1);
        let case = case().answered().put(a).expect_list(kept);
        let resumed = case.resumed(silence_ms, own_ms);
        resumed.answered().remove("a").expect_list(kept);
    }
}

#[test]
fn of_two_upstreams_at_one_address_the_last_started_one_is_listed() {
    case()
        .answered()
        .put(registration("old", A, 1))
        .put(registration("new", A, 2))
        .expect_list(&[(A, VmState::Live, &["new"])]);
}

#[test]
fn only_a_change_produces_a_new_list_and_its_number_is_higher() {
    let mut case = case().answered().put(registration("a", A, 1));
    let now = case.now();
    let first = case.registrations.changed_list(now).unwrap();
    assert_eq!(case.registrations.changed_list(now), None);
    let mut case = case.put(registration("b", B, 1));
    let second = case.registrations.changed_list(now).unwrap();
    assert!(second.number > first.number);
}

#[test]
fn the_time_that_a_watch_waits_is_no_outage() {
    case()
        .answered()
        .put(registration("a", A, 1))
        .after_ms(10)
        .answered_after_ms(2_000)
        .remove("a")
        .expect_list(&[(A, VmState::Unlisted, &["a"])]);
}

fn leaving(registration: Registration) -> Registration {
    Registration {
        is_leaving: true,
        ..registration
    }
}

#[test]
fn a_restored_platform_may_forget_an_upstream_until_it_registers_again() {
    let a = registration("a", A, 1);
    let b = registration("b", B, 1);
    case()
        .answered()
        .put(a.clone())
        .put(b.clone())
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .restored()
        .read(std::slice::from_ref(&a))
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .after_ms(1_500)
        .put(b)
        .after_ms(1_000)
        .answered()
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])]);
}

#[test]
fn an_upstream_that_stays_forgotten_is_unlisted_when_everything_is_read_again() {
    let a = registration("a", A, 1);
    let case = case()
        .answered()
        .put(a.clone())
        .put(registration("b", B, 1))
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])])
        .restored()
        .read(std::slice::from_ref(&a))
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Live, &["b"])]);
    let until = case.registrations.restored_until();
    assert_eq!(until, Some(case.now() + RENEWAL_HOLD));
    case.after_ms(2_200)
        .taken_over(2_200)
        .read(&[a])
        .expect_list(&[(A, VmState::Live, &["a"]), (B, VmState::Unlisted, &["b"])]);
}

#[test]
fn an_upstream_that_was_leaving_stays_so_in_a_restored_platform() {
    let a = registration("a", A, 1);
    case()
        .answered()
        .put(a.clone())
        .put(leaving(a.clone()))
        .expect_list(&[(A, VmState::Leaving, &["a"])])
        .restored()
        .read(std::slice::from_ref(&a))
        .expect_list(&[(A, VmState::Leaving, &["a"])])
        .read(&[])
        .expect_list(&[(A, VmState::Leaving, &["a"])])
        .read(&[registration("a", A, 2)])
        .expect_list(&[(A, VmState::Live, &["a"])]);
}

#[test]
fn a_reader_that_takes_over_after_a_restoration_keeps_what_was_forgotten() {
    let a = registration("a", A, 1);
    case()
        .answered()
        .put(a)
        .expect_list(&[(A, VmState::Live, &["a"])])
        .restored()
        .read(&[])
        .expect_list(&[(A, VmState::Live, &["a"])])
        .taken_over(700)
        .read(&[])
        .expect_list(&[(A, VmState::Live, &["a"])])
        .after_ms(1_500)
        .read(&[])
        .expect_list(&[]);
}

/// Other nodes take only lists with a higher number, and revisions start again at a low one.
#[test]
fn the_first_list_of_a_new_era_has_a_higher_number_even_without_a_change() {
    let a = registration("a", A, 1);
    let mut case = case().answered().put(a.clone());
    let before = case.registrations.changed_list(case.now()).unwrap();
    let mut case = case.restored().read(&[a]);
    let after = case.registrations.changed_list(case.now()).unwrap();
    assert!(after.number > before.number);
    assert_eq!((before.era(), after.era()), (0, 1));
    assert_eq!(case.registrations.changed_list(case.now()), None);
}

/// Failure: two starting nodes read different contents at the lowest revision. A reader whose full read
/// equals its own list published nothing, and the other node kept an old list of the same number.
#[test]
fn the_first_full_read_numbers_a_list_of_the_lowest_revision_anew() {
    let now = Instant::now();
    let lowest = ordered_revision(1, 0);
    let entry = || vec![registration("i-1", "10.1.0.41", 1)];
    let mut starting = Registrations::default();
    starting.replace(entry(), lowest, now);
    let old = starting.changed_list(now).unwrap();
    let mut reader = Registrations::resume(&old, Duration::ZERO, None, None, now);
    reader.replace(entry(), ordered_revision(1, 80), now);
    let list = reader.changed_list(now).unwrap();
    assert!(list.number > old.number);
    assert_eq!(list.vms, old.vms);
    assert_eq!(reader.changed_list(now), None);
}
