//! Tests of the estimate of cached images.

use super::*;

fn cached(images: &ImageCaches, machine: &str, gb: f64) -> Vec<String> {
    images.images_of(machine, gb).map(str::to_string).collect()
}

#[test]
fn the_most_recently_used_images_that_fit_into_the_cache_are_kept() {
    let mut images = ImageCaches::default();
    for (image, gb) in [("a", 10.0), ("b", 20.0), ("c", 5.0), ("a", 10.0)] {
        images.record_use("n-1", image, gb);
    }
    assert_eq!(cached(&images, "n-1", 100.0), ["a", "c", "b"]);
    assert_eq!(cached(&images, "n-1", 15.0), ["a", "c"]);
    assert_eq!(cached(&images, "n-1", 9.0), [""; 0]);
    images.remove_image("n-1", "a");
    assert_eq!(cached(&images, "n-1", 100.0), ["c", "b"]);
    assert_eq!(cached(&images, "n-2", 100.0), [""; 0]);
}

#[test]
fn the_number_of_remembered_images_and_machines_is_bounded() {
    let mut images = ImageCaches::default();
    for number in 0..3 * MAX_MACHINES {
        images.record_use(&format!("n-{number}"), "a", 1.0);
    }
    for number in 0..100 {
        images.record_use("n-0", &format!("image-{number}"), 1.0);
    }
    assert!(images.machines.len() <= MAX_MACHINES + MAX_MACHINES / 4);
    assert_eq!(cached(&images, "n-0", 1e9).len(), MAX_IMAGES_PER_MACHINE);
    assert!(cached(&images, &format!("n-{}", 3 * MAX_MACHINES - 1), 10.0) == ["a"]);
}
