use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Case(Quality);

fn case() -> Case {
    Case(Quality::default())
}

impl Case {
    fn respond(mut self, count: u32, latency_ms: u64, target_ms: u64) -> Self {
        for _ in 0..count {
            self.0.record_response(ms(latency_ms), ms(target_ms), true);
        }
        self
    }

    fn fail(mut self, count: u32) -> Self {
        for _ in 0..count {
            self.0.record_failure();
        }
        self
    }

    #[track_caller]
    fn assert_cost(self, expected: std::ops::RangeInclusive<u32>) -> Self {
        let cost = self.0.cost();
        assert!(expected.contains(&cost), "{cost}");
        self
    }
}

#[test]
fn cost_is_zero_before_the_first_response() {
    case().assert_cost(0..=0).fail(3).assert_cost(0..=0);
}

#[test]
fn cost_is_relative_to_the_target_latency() {
    case().respond(50, 90, 300).assert_cost(295..=305);
    case().respond(50, 30, 100).assert_cost(295..=305);
}

/// Load pattern: an upstream becomes four times as slow.
#[test]
fn cost_rises_within_a_few_slow_responses() {
    case()
        .respond(50, 90, 300)
        .respond(10, 390, 300)
        .assert_cost(800..=1_100);
}

/// Load pattern: an upstream refuses half of its requests but passes its health check.
#[test]
fn cost_includes_the_attempts_wasted_on_failures() {
    let mut failing = case().respond(20, 90, 300);
    for _ in 0..30 {
        failing = failing.fail(1).respond(1, 90, 300);
    }
    failing.assert_cost(500..=700);
}
