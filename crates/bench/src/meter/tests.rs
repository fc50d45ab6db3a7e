use super::*;

#[test]
fn control_bytes_are_parsed_by_direction() {
    let metrics = "# TYPE control_bytes_total counter\n\
                   control_bytes_total{direction=\"sent\"} 70\n\
                   control_bytes_total{direction=\"received\"} 40\n\
                   other_total{direction=\"sent\"} 5\n";
    let expected = ControlBytes {
        received: 40,
        sent: 70,
    };
    assert_eq!(ControlBytes::parse(metrics), expected);
}
