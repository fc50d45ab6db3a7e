//! Text output of the demo.

use std::{collections::BTreeMap, time::Duration};

use crate::{checks::Checks, deployment::Deployment, layout::Layout};

/// Prints the title of a step.
pub(super) fn step(text: &str) {
    println!("\n== {text}");
}

/// Prints the size of the deployment.
pub(super) fn start(deployment: &Deployment) {
    let domains = deployment.domains.len();
    let nodes = deployment.upstreams();
    step(&format!("Start {nodes} nodes in {domains} failure domains"));
}

/// Prints the delays until a note was in force, by failure domain.
pub(super) fn delays(layout: &Layout, after_ms: &[Option<u64>]) {
    for (domain, name) in layout.domains.iter().enumerate() {
        let nodes = layout.vms_of(domain).into_iter();
        let cell = |vm: usize| {
            let time = after_ms[vm].map_or("never".into(), |ms| format!("{ms} ms"));
            format!("{} {time}", layout.vms[vm].vm)
        };
        let cells: Vec<String> = nodes.map(cell).collect();
        println!("  {name:<12} {}", cells.join(", "));
    }
}

/// Prints the outcomes of the calls to each service.
pub(super) fn answers(answers: &BTreeMap<String, Vec<(String, Duration)>>) {
    for (service, answers) in answers {
        let mut sums: BTreeMap<&str, (usize, Duration)> = BTreeMap::new();
        for (answer, took) in answers {
            let sum = sums.entry(answer).or_default();
            sum.0 += 1;
            sum.1 = sum.1.max(*took);
        }
        for (answer, (count, longest)) in sums {
            let ms = longest.as_secs_f64() * 1e3;
            println!("  {service:<16} {count:>3} x {answer}, longest {ms:.0} ms");
        }
    }
}

/// Prints the results of the checks.
pub(super) fn summary(checks: &Checks) {
    step("Checks");
    println!("  {} checks held", checks.held());
    for violation in checks.broken() {
        println!("  BROKEN {}: {}", violation.name, violation.seen);
    }
}
