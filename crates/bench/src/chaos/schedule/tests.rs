use super::*;

const EXTENT: Extent = Extent {
    vms: 12,
    domains: 3,
};

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let length = Duration::from_secs(60);
    assert_eq!(draw(7, length, EXTENT), draw(7, length, EXTENT));
    assert_ne!(draw(7, length, EXTENT), draw(8, length, EXTENT));
}

#[test]
fn every_step_ends_before_the_end() {
    for seed in 0..50 {
        let length = Duration::from_secs(30);
        for step in draw(seed, length, EXTENT) {
            assert!(step.begin <= step.end, "{step}");
            assert!(step.end <= length - LEAD_OUT, "{step}");
        }
    }
}
