use super::*;

fn at_ms(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn calls_over_the_rate_are_refused_until_the_window_moves() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(2);
    assert_eq!(limiter.count(start), Ok(()));
    assert_eq!(limiter.count(at_ms(start, 400)), Ok(()));
    let refused = limiter.count(at_ms(start, 500));
    assert_eq!(refused, Err(Duration::from_millis(500)));
    assert_eq!(limiter.count(at_ms(start, 1000)), Ok(()));
    assert_eq!(limiter.refused(), 1);
}

#[test]
fn peak_includes_refused_calls() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(1);
    for ms in [0, 10, 20, 1500, 1510] {
        let _ = limiter.count(at_ms(start, ms));
    }
    assert_eq!(limiter.peak(), 3);
    assert_eq!(limiter.total(), 5);
}
