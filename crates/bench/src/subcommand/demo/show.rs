//! Output of the demo for people.

use std::{collections::BTreeMap, time::Duration};

use crate::{checks::Checks, deployment::Deployment, layout::Layout};

/// Prints the title of a step.
pub(super) fn step(text: &str) {
    println!("\n== {text}");
}

/// Prints what is started.
pub(super) fn start(deployment: &Deployment) {
    let domains = deployment.domains.len();
    let nodes = deployment.upstreams();
    step(&format!("Start {nodes} nodes in {domains} failure domains"));
}

/// Prints for each failure domain when its nodes had a note in force.
pub(super) fn spread(layout: &Layout, after_ms: &[Option<u64>]) {
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

/// Prints how the calls to each service were answered.
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

/// Prints what held and what did not.
pub(super) fn summary(checks: &Checks) {
    step("What must always hold");
    println!("  {} checks held", checks.held());
    for breach in checks.broken() {
        println!("  BROKEN {}: {}", breach.name, breach.seen);
    }
}
