use super::*;

fn place(domain: usize, vm: usize) -> Place {
    Place { domain, vm }
}

#[test]
fn one_way_rules_leave_the_other_way_open() {
    let mut rules = Rules::default();
    rules.set_one_way(0, 1, Rule::Hold);
    assert_eq!(rules.rule(place(0, 0), place(1, 5)), Rule::Hold);
    assert_eq!(rules.rule(place(1, 5), place(0, 0)), Rule::Pass);
}

#[test]
fn the_highest_rule_holds() {
    let mut rules = Rules::default();
    rules.set_cross_domain(Rule::Delay(500));
    rules.set_vm(3, Rule::Cut);
    assert_eq!(rules.rule(place(0, 0), place(1, 5)), Rule::Delay(500));
    assert_eq!(rules.rule(place(0, 0), place(0, 1)), Rule::Pass);
    assert_eq!(rules.rule(place(0, 3), place(1, 5)), Rule::Cut);
    rules.heal();
    assert_eq!(rules.rule(place(0, 3), place(1, 5)), Rule::Delay(500));
}
