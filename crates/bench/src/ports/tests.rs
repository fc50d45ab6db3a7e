use super::*;

#[test]
fn blocks_do_not_overlap() {
    let first = PortBlock::reserve().unwrap();
    let second = PortBlock::reserve().unwrap();
    assert!(first.base.abs_diff(second.base) >= BLOCK_PORTS);
    assert!(PortBlock::try_reserve(first.base).is_none());
}
