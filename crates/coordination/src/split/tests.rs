use rand::{SeedableRng, rngs::SmallRng};

use super::*;

struct Case {
    splitter: Splitter,
    rng: SmallRng,
    route: Route,
}

fn case(parts: &[(&str, u32)]) -> Case {
    let mut route = Route::for_service("r".into(), "/", "whole".into(), 1_000);
    let part = |&(service, weight): &(&str, u32)| SplitPart {
        service: service.into(),
        weight,
    };
    route.split = parts.iter().map(part).collect();
    Case {
        splitter: Splitter::default(),
        rng: SmallRng::seed_from_u64(7),
        route,
    }
}

impl Case {
    fn assert_counts(&mut self, calls: u32, expected: &[(&str, std::ops::RangeInclusive<u32>)]) {
        let mut counts = HashMap::new();
        for _ in 0..calls {
            let service = self.splitter.next_service(&self.route, &mut self.rng);
            *counts.entry(service).or_insert(0) += 1;
        }
        for (service, range) in expected {
            let count = counts.remove(*service).unwrap_or(0);
            assert!(range.contains(&count), "{service}: {count}");
        }
        assert!(counts.is_empty(), "{counts:?}");
    }
}

#[test]
fn a_route_without_a_split_uses_its_service() {
    case(&[]).assert_counts(10, &[("whole", 10..=10)]);
}

#[test]
fn short_series_of_calls_follow_the_weights() {
    case(&[("a", 90), ("b", 10)]).assert_counts(20, &[("a", 17..=19), ("b", 1..=3)]);
    case(&[("a", 1), ("b", 1), ("c", 2)])
        .assert_counts(40, &[("a", 9..=11), ("b", 9..=11), ("c", 19..=21)]);
}

#[test]
fn changed_weights_apply_to_the_next_call() {
    let mut case = case(&[("a", 1), ("b", 1)]);
    case.assert_counts(10, &[("a", 4..=6), ("b", 4..=6)]);
    case.route.split[0].weight = 9;
    case.assert_counts(100, &[("a", 88..=92), ("b", 8..=12)]);
}

/// Load pattern: frequent configuration changes replace the weights before a part with a small
/// weight is chosen. With fixed initial credits, that part would never be chosen.
#[test]
fn a_small_part_gets_its_share_while_weights_keep_changing() {
    let mut case = case(&[("a", 900), ("b", 100)]);
    let mut small = 0;
    for round in 0..500 {
        case.route.split[0].weight = 900 + round % 2;
        for _ in 0..4 {
            let service = case.splitter.next_service(&case.route, &mut case.rng);
            small += u32::from(service.as_str() == "b");
        }
    }
    assert!((120..=280).contains(&small), "{small} of 2000");
}
