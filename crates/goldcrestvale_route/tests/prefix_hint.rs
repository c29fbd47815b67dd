//! Hints about cached prefixes when events are late, lost, repeated or wrong.

use goldcrestvale_base::id::Upstream;
use goldcrestvale_route::prefix::{BLOCK_POSITIONS, Index};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn engine(name: &str) -> Upstream {
    name.parse().expect("a valid name")
}

#[test]
fn longest_match() {
    let (a, b) = (engine("a"), engine("b"));
    let mut index = Index::new(10);
    for prefix in [1, 2] {
        index.insert(&a, prefix);
    }
    for prefix in [1, 2, 3] {
        index.insert(&b, prefix);
    }
    let table: [(&[u64], u32, u32); 5] =
        [(&[1, 2, 3, 4], 2, 3), (&[1, 2], 2, 2), (&[1, 9], 1, 1), (&[9], 0, 0), (&[], 0, 0)];
    for (prompt, at_a, at_b) in table {
        assert_eq!(index.positions(&a, prompt), at_a * BLOCK_POSITIONS, "{prompt:?} at a");
        assert_eq!(index.positions(&b, prompt), at_b * BLOCK_POSITIONS, "{prompt:?} at b");
    }
    let longest = index.longest_matches(&[1, 2, 3, 4]);
    assert_eq!((longest.len(), &longest[0].upstream), (1, &b));
    assert_eq!(index.longest_matches(&[1, 2]).len(), 2);
}

#[test]
fn lost_and_repeated() {
    let a = engine("a");
    let mut index = Index::new(10);
    // The event of the first block was lost, and that of the second arrived twice.
    index.insert(&a, 2);
    index.insert(&a, 2);
    assert_eq!(index.positions(&a, &[1, 2]), 2 * BLOCK_POSITIONS);
    index.remove(&a, 1);
    index.remove(&a, 2);
    index.remove(&a, 2);
    assert!(index.is_empty());
}

#[test]
fn restarted_engine() {
    let (a, b) = (engine("a"), engine("b"));
    let mut index = Index::new(10);
    index.insert(&a, 1);
    index.insert(&b, 1);
    index.clear(&a);
    assert_eq!(index.positions(&a, &[1]), 0);
    assert_eq!(index.longest_matches(&[1]).len(), 1);
}

#[test]
fn bounded_memory() {
    let a = engine("a");
    let mut index = Index::new(100);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..100_000 {
        let prefix = rng.random_range(0..500);
        if rng.random() {
            index.insert(&a, prefix);
        } else {
            index.remove(&a, prefix);
        }
        assert!(index.len() <= 100);
    }
    index.insert(&a, 1_000);
    assert_eq!(index.positions(&a, &[1_000]), BLOCK_POSITIONS, "the newest hint stays");
}
