use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Case(Quality);

fn case() -> Case {
    Case(Quality::default())
}

impl Case {
    fn answers(mut self, count: u32, latency_ms: u64, target_ms: u64) -> Self {
        for _ in 0..count {
            self.0.record_response(ms(latency_ms), ms(target_ms), true);
        }
        self
    }

    fn fails(mut self, count: u32) -> Self {
        for _ in 0..count {
            self.0.record_failure();
        }
        self
    }

    #[track_caller]
    fn costs(self, expected: std::ops::RangeInclusive<u32>) -> Self {
        let cost = self.0.cost();
        assert!(expected.contains(&cost), "{cost}");
        self
    }
}

#[test]
fn nothing_is_known_before_the_first_answer() {
    case().costs(0..=0).fails(3).costs(0..=0);
}

#[test]
fn routes_with_other_targets_compare() {
    case().answers(50, 90, 300).costs(295..=305);
    case().answers(50, 30, 100).costs(295..=305);
}

/// Load pattern: an upstream turns four times as slow.
#[test]
fn a_slow_upstream_shows_within_a_few_answers() {
    case()
        .answers(50, 90, 300)
        .answers(10, 390, 300)
        .costs(800..=1_100);
}

/// Load pattern: a grey upstream refuses half of its requests and answers its health check.
#[test]
fn a_grey_upstream_costs_the_attempts_that_it_wastes() {
    let mut grey = case().answers(20, 90, 300);
    for _ in 0..30 {
        grey = grey.fails(1).answers(1, 90, 300);
    }
    grey.costs(500..=700);
}
