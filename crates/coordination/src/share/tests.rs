use proptest::prelude::*;

use super::*;

#[test]
fn a_single_caller_gets_half_of_the_limit() {
    let mut shares = CallShares::new(8);
    let greedy: Arc<str> = "greedy".into();
    let acquired = (0..8).filter(|_| shares.try_acquire(&greedy)).count();
    assert_eq!(acquired, 4);
    assert!(shares.try_acquire(&"other".into()));
}

proptest! {
    #[test]
    fn the_limit_holds_and_a_new_caller_has_room(
        steps in proptest::collection::vec((0usize..4, any::<bool>()), 0..400),
        limit in 16usize..64,
    ) {
        let callers: Vec<Arc<str>> = (0..4).map(|i| format!("c{i}").into()).collect();
        let mut held = [0usize; 4];
        let mut shares = CallShares::new(limit);
        for (i, is_acquire) in steps {
            if is_acquire {
                held[i] += usize::from(shares.try_acquire(&callers[i]));
            } else if held[i] > 0 {
                shares.release(&callers[i]);
                held[i] -= 1;
            }
            prop_assert_eq!(shares.total(), held.iter().sum::<usize>());
            prop_assert!(shares.total() < limit);
        }
        prop_assert!(shares.try_acquire(&"new".into()));
    }
}
