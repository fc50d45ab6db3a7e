use std::path::PathBuf;

use super::*;

fn example(name: &str) -> Deployment {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("../../examples").join(name);
    Deployment::load(&path).unwrap()
}

#[test]
fn examples_have_the_expected_number_of_upstreams() {
    assert_eq!(example("ragusa.yaml").upstreams(), 12);
    assert_eq!(example("saurashtra.yaml").upstreams(), 11);
}

#[test]
fn synthetic_deployments_have_the_requested_sizes() {
    for (upstreams, services) in [(200, 30), (25, 300), (7, 7)] {
        let deployment = Deployment::synthetic(upstreams, 6, services);
        assert_eq!(deployment.upstreams(), upstreams);
        assert_eq!(deployment.services.len(), services);
    }
}
