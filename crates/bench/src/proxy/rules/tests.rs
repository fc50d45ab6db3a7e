use super::*;

fn location(domain: usize, vm: usize) -> Location {
    Location { domain, vm }
}

#[test]
fn one_way_rule_does_not_affect_the_other_direction() {
    let mut rules = Rules::default();
    rules.set_one_way(0, 1, Rule::Hold);
    assert_eq!(rules.rule(location(0, 0), location(1, 5)), Rule::Hold);
    assert_eq!(rules.rule(location(1, 5), location(0, 0)), Rule::Pass);
}

#[test]
fn highest_rule_applies() {
    let mut rules = Rules::default();
    rules.set_cross_domain(Rule::Delay(500));
    rules.set_vm(3, Rule::Cut);
    assert_eq!(rules.rule(location(0, 0), location(1, 5)), Rule::Delay(500));
    assert_eq!(rules.rule(location(0, 0), location(0, 1)), Rule::Pass);
    assert_eq!(rules.rule(location(0, 3), location(1, 5)), Rule::Cut);
    rules.heal();
    assert_eq!(rules.rule(location(0, 3), location(1, 5)), Rule::Delay(500));
}
