use log::{Level, Record, kv::Value};

use super::write_record;

#[track_caller]
fn check_line(pairs: &[(&str, Value<'_>)], expected: &str) {
    let mut line = Vec::new();
    let args = format_args!("something happened");
    let record = Record::builder()
        .level(Level::Info)
        .target("node")
        .args(args)
        .key_values(&pairs)
        .build();
    write_record(&mut line, &record, "vm=vm-1 domain=modica", 7).unwrap();
    assert_eq!(String::from_utf8(line).unwrap(), expected);
}

#[test]
fn lines_contain_the_identity_and_the_note_in_force() {
    check_line(
        &[],
        "INFO  vm=vm-1 domain=modica note=7 node: something happened\n",
    );
}

#[test]
fn lines_contain_the_key_values_of_the_record() {
    check_line(
        &[("note", Value::from(9)), ("call", Value::from("c-1"))],
        "INFO  vm=vm-1 domain=modica note=9 call=c-1 node: something happened\n",
    );
    check_line(
        &[("reason", Value::from("two\nwords"))],
        "INFO  vm=vm-1 domain=modica note=7 reason=\"two\\nwords\" node: something happened\n",
    );
}
