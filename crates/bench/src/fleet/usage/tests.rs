use super::*;

#[test]
fn parses_cpu_time_after_a_command_name_with_spaces_and_parentheses() {
    let stat = "17 (a ) b) S 1 17 17 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 1 0";
    assert_eq!(parse_cpu(stat), Some(Duration::from_secs(2)));
}

#[test]
fn reads_the_usage_of_the_current_process() {
    let usage = Usage::of(std::process::id()).unwrap();
    assert!(usage.rss > 1 << 20);
}
