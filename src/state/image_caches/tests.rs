//! Tests.

use super::*;

fn held(images: &ImageCaches, machine: &str, gb: f64) -> Vec<String> {
    images.of(machine, gb).map(str::to_string).collect()
}

#[test]
fn what_was_used_last_stays_as_far_as_the_cache_goes() {
    let mut i = ImageCaches::default();
    for (image, gb) in [("a", 10.0), ("b", 20.0), ("c", 5.0), ("a", 10.0)] {
        i.used("n-1", image, gb);
    }
    assert_eq!(held(&i, "n-1", 100.0), ["a", "c", "b"]);
    assert_eq!(held(&i, "n-1", 15.0), ["a", "c"]);
    assert_eq!(held(&i, "n-1", 9.0), [""; 0]);
    i.given_up("n-1", "a");
    assert_eq!(held(&i, "n-1", 100.0), ["c", "b"]);
    assert_eq!(held(&i, "n-2", 100.0), [""; 0]);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut i = ImageCaches::default();
    for n in 0..3 * MOST_MACHINES {
        i.used(&format!("n-{n}"), "a", 1.0);
    }
    for n in 0..100 {
        i.used("n-0", &format!("image-{n}"), 1.0);
    }
    assert!(i.machines.len() <= MOST_MACHINES + MOST_MACHINES / 4);
    assert_eq!(held(&i, "n-0", 1e9).len(), MOST_IMAGES);
    assert!(held(&i, &format!("n-{}", 3 * MOST_MACHINES - 1), 10.0) == ["a"]);
}
