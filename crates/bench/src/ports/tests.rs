use super::*;

#[test]
fn two_blocks_share_no_port() {
    let first = PortBlock::reserve().unwrap();
    let second = PortBlock::reserve().unwrap();
    assert!(first.base.abs_diff(second.base) >= BLOCK);
    assert!(PortBlock::try_take(first.base).is_none());
}
