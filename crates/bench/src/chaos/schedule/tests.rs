use super::*;

const FLEET_SIZE: FleetSize = FleetSize {
    vms: 12,
    domains: 3,
};

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let duration = Duration::from_secs(60);
    assert_eq!(
        random_schedule(7, duration, FLEET_SIZE),
        random_schedule(7, duration, FLEET_SIZE)
    );
    assert_ne!(
        random_schedule(7, duration, FLEET_SIZE),
        random_schedule(8, duration, FLEET_SIZE)
    );
}

#[test]
fn every_step_ends_before_the_fault_free_end() {
    for seed in 0..50 {
        let duration = Duration::from_secs(30);
        for step in random_schedule(seed, duration, FLEET_SIZE) {
            assert!(step.begin <= step.end, "{step}");
            assert!(step.end <= duration - FAULT_FREE_END, "{step}");
        }
    }
}
