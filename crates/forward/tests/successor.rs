//! Guards against an old configuration that counts as current because the store has lost a newer one, and against one that
//! does not while a newer one spreads.

use std::time::Duration;

use forward::BootTime;
use forward::successor::{Standing, Successor};

fn at(millis: u64) -> BootTime {
    Duration::from_millis(millis)
}

#[test]
fn version_of_all_is_the_newest() {
    let mut successor = Successor::default();
    assert_eq!(successor.standing(2, 2, at(100), at(110)), Standing::Newest);
    assert_eq!(successor.standing(2, 0, at(200), at(210)), Standing::Newest);
}

#[test]
fn read_before_the_statement_does_not_show_a_loss() {
    let mut successor = Successor::default();
    assert_eq!(successor.standing(1, 2, at(100), at(110)), Standing::Behind);
    assert_eq!(successor.standing(1, 2, at(105), at(120)), Standing::Behind);
    assert_eq!(successor.standing(2, 2, at(115), at(130)), Standing::Newest);
}

#[test]
fn read_after_the_statement_shows_a_loss() {
    let mut successor = Successor::default();
    assert_eq!(successor.standing(1, 2, at(100), at(110)), Standing::Behind);
    assert_eq!(successor.standing(1, 2, at(120), at(130)), Standing::Lost);
    // A newer version does not make up for the lost one.
    assert_eq!(successor.standing(1, 3, at(140), at(150)), Standing::Lost);
    assert_eq!(successor.standing(3, 3, at(160), at(170)), Standing::Newest);
}

#[test]
fn version_that_follows_while_one_is_read_is_not_lost() {
    let mut successor = Successor::default();
    for it in 1..20 {
        let now = at(it * 100);
        assert_eq!(
            successor.standing(it, it + 1, now - at(10), now),
            Standing::Behind
        );
    }
}

/// Guards against a statement that holds after the only node that had the version is forgotten.
#[test]
fn withdrawn_statement_is_forgotten() {
    let mut successor = Successor::default();
    assert_eq!(successor.standing(1, 2, at(100), at(110)), Standing::Behind);
    assert_eq!(successor.standing(1, 1, at(120), at(130)), Standing::Newest);
    assert_eq!(successor.standing(1, 2, at(140), at(150)), Standing::Behind);
}
