use assert_matches::assert_matches;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;

struct Fixture {
    health: Health,
    now: Instant,
    rng: SmallRng,
}

impl Fixture {
    fn new(seed: u64) -> Self {
        Self {
            health: Health::default(),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn observe(&mut self, epoch: u64, evidence: Evidence) -> Option<HealthChange> {
        self.health
            .observe(epoch, evidence, self.now, &mut self.rng)
    }

    fn observe_now(&mut self, evidence: Evidence) -> Option<HealthChange> {
        self.observe(self.health.epoch(), evidence)
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn status(&self) -> HealthStatus {
        self.health.status(self.now)
    }
}

#[test]
fn three_consecutive_failures_eject() {
    let mut fixture = Fixture::new(1);
    assert_eq!(fixture.observe_now(Evidence::Failed), None);
    assert_eq!(fixture.status(), HealthStatus::Suspect);
    assert_eq!(fixture.observe_now(Evidence::Failed), None);
    assert_eq!(fixture.observe_now(Evidence::Answered), None);
    assert_eq!(fixture.status(), HealthStatus::Healthy);
    for _ in 0..2 {
        assert_eq!(fixture.observe_now(Evidence::Failed), None);
    }
    assert_matches!(
        fixture.observe_now(Evidence::Failed),
        Some(HealthChange::Ejected(_))
    );
}

#[test]
fn unreachable_upstream_is_ejected_immediately_and_returns_after_one_probe() {
    let mut fixture = Fixture::new(1);
    assert_matches!(
        fixture.observe_now(Evidence::Unreachable),
        Some(HealthChange::Ejected(_))
    );
    assert_matches!(
        fixture.status(),
        HealthStatus::Ejected {
            is_unreachable: true,
            ..
        }
    );
    fixture.advance(200);
    assert_matches!(fixture.status(), HealthStatus::ProbeDue { .. });
    fixture.health.begin_probe(fixture.now);
    assert_matches!(
        fixture.status(),
        HealthStatus::Ejected { .. },
        "only one probe at a time"
    );
    assert_eq!(
        fixture.observe_now(Evidence::Answered),
        Some(HealthChange::Returned)
    );
    assert_eq!(fixture.status(), HealthStatus::Healthy);
}

#[test]
fn evidence_from_an_earlier_epoch_is_ignored() {
    let mut fixture = Fixture::new(1);
    let old = fixture.health.epoch();
    fixture.observe_now(Evidence::Unreachable);
    assert_eq!(
        fixture.observe(old, Evidence::Answered),
        None,
        "a late answer does not end the ejection"
    );
    assert_matches!(fixture.status(), HealthStatus::Ejected { .. });
    fixture.advance(200);
    fixture.health.begin_probe(fixture.now);
    fixture.observe_now(Evidence::Answered);
    assert_eq!(
        fixture.observe(old, Evidence::Unreachable),
        None,
        "a late failure does not eject the upstream"
    );
    assert_eq!(fixture.status(), HealthStatus::Healthy);
}

#[test]
fn next_probe_may_follow_a_probe_without_evidence() {
    let mut fixture = Fixture::new(1);
    fixture.observe_now(Evidence::Unreachable);
    fixture.advance(200);
    fixture.health.begin_probe(fixture.now);
    fixture
        .health
        .abandon_probe(fixture.health.epoch(), fixture.now);
    assert_matches!(fixture.status(), HealthStatus::ProbeDue { .. });
}

proptest! {
    #[test]
    fn ejections_are_bounded_and_end(
        steps in proptest::collection::vec((0u8..4, 0u64..3_000), 1..200),
        seed in any::<u64>(),
    ) {
        let mut fixture = Fixture::new(seed);
        for (step, wait_ms) in steps {
            fixture.advance(wait_ms);
            match step {
                0 => drop(fixture.observe_now(Evidence::Answered)),
                1 => drop(fixture.observe_now(Evidence::Failed)),
                2 => drop(fixture.observe_now(Evidence::Unreachable)),
                _ => fixture.health.begin_probe(fixture.now),
            }
            if let HealthStatus::Ejected { remaining, .. } = fixture.status() {
                prop_assert!(remaining <= MAX_EJECTION);
            }
        }
        fixture.advance(5_000);
        let is_ejected = matches!(fixture.status(), HealthStatus::Ejected { .. });
        prop_assert!(!is_ejected);
    }
}
