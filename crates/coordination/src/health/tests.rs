use assert_matches::assert_matches;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;

struct Scene {
    health: Health,
    now: Instant,
    rng: SmallRng,
}

impl Scene {
    fn new(seed: u64) -> Self {
        Self {
            health: Health::default(),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn see(&mut self, epoch: u64, evidence: Evidence) -> Option<HealthChange> {
        self.health
            .observe(epoch, evidence, self.now, &mut self.rng)
    }

    fn see_now(&mut self, evidence: Evidence) -> Option<HealthChange> {
        self.see(self.health.epoch(), evidence)
    }

    fn wait(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn status(&self) -> HealthStatus {
        self.health.status(self.now)
    }
}

#[test]
fn three_failures_in_a_row_eject() {
    let mut scene = Scene::new(1);
    assert_eq!(scene.see_now(Evidence::Failed), None);
    assert_eq!(scene.status(), HealthStatus::Suspect);
    assert_eq!(scene.see_now(Evidence::Failed), None);
    assert_eq!(scene.see_now(Evidence::Answered), None);
    assert_eq!(scene.status(), HealthStatus::Healthy);
    for _ in 0..2 {
        assert_eq!(scene.see_now(Evidence::Failed), None);
    }
    assert_matches!(
        scene.see_now(Evidence::Failed),
        Some(HealthChange::Ejected(_))
    );
}

#[test]
fn an_upstream_out_of_reach_is_ejected_at_once_and_returns_by_one_probe() {
    let mut scene = Scene::new(1);
    assert_matches!(
        scene.see_now(Evidence::Unreachable),
        Some(HealthChange::Ejected(_))
    );
    assert_matches!(
        scene.status(),
        HealthStatus::Ejected {
            is_unreachable: true,
            ..
        }
    );
    scene.wait(200);
    assert_matches!(scene.status(), HealthStatus::Due { .. });
    scene.health.begin_probe(scene.now);
    assert_matches!(
        scene.status(),
        HealthStatus::Ejected { .. },
        "one probe at a time"
    );
    assert_eq!(
        scene.see_now(Evidence::Answered),
        Some(HealthChange::Returned)
    );
    assert_eq!(scene.status(), HealthStatus::Healthy);
}

#[test]
fn evidence_of_an_earlier_epoch_changes_nothing() {
    let mut scene = Scene::new(1);
    let old = scene.health.epoch();
    scene.see_now(Evidence::Unreachable);
    assert_eq!(
        scene.see(old, Evidence::Answered),
        None,
        "a late answer returns nobody"
    );
    assert_matches!(scene.status(), HealthStatus::Ejected { .. });
    scene.wait(200);
    scene.health.begin_probe(scene.now);
    scene.see_now(Evidence::Answered);
    assert_eq!(
        scene.see(old, Evidence::Unreachable),
        None,
        "a late failure ejects nobody"
    );
    assert_eq!(scene.status(), HealthStatus::Healthy);
}

#[test]
fn a_probe_without_evidence_lets_another_one_follow() {
    let mut scene = Scene::new(1);
    scene.see_now(Evidence::Unreachable);
    scene.wait(200);
    scene.health.begin_probe(scene.now);
    scene.health.abandon_probe(scene.health.epoch(), scene.now);
    assert_matches!(scene.status(), HealthStatus::Due { .. });
}

proptest! {
    #[test]
    fn ejections_end_and_are_bounded(
        steps in proptest::collection::vec((0u8..4, 0u64..3_000), 1..200),
        seed in any::<u64>(),
    ) {
        let mut scene = Scene::new(seed);
        for (step, wait_ms) in steps {
            scene.wait(wait_ms);
            match step {
                0 => drop(scene.see_now(Evidence::Answered)),
                1 => drop(scene.see_now(Evidence::Failed)),
                2 => drop(scene.see_now(Evidence::Unreachable)),
                _ => scene.health.begin_probe(scene.now),
            }
            if let HealthStatus::Ejected { left, .. } = scene.status() {
                prop_assert!(left <= MAX_EJECTION);
            }
        }
        scene.wait(5_000);
        let is_ejected = matches!(scene.status(), HealthStatus::Ejected { .. });
        prop_assert!(!is_ejected);
    }
}
