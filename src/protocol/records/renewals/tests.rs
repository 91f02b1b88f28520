//! Tests of the renewals record.

use super::*;
use std::collections::BTreeSet;

#[test]
fn six_hundred_machines_fit_into_four_small_values() {
    let names: BTreeSet<String> = (40..700)
        .filter(|i| i % 11 != 0)
        .map(|i| format!("n-{i:06}"))
        .chain(["é1".into(), "éa".into(), "x".into(), "xy".into()])
        .collect();
    let record = RenewalsRecord::new(7, names.iter());
    let size = crate::protocol::codec::encode(&record).len();
    assert!(
        size < 4096,
        "record of {size} bytes, expected fewer than 4096"
    );
    assert_eq!(record.machines(), names.iter().cloned().collect::<Vec<_>>());
    let records = RenewalsRecord::split(7, names.iter(), 1843);
    let sizes: Vec<usize> = records.iter().map(json_len).collect();
    assert!(
        sizes.len() <= 4 && sizes.iter().all(|size| *size <= 1843),
        "expected at most 4 records of at most 1843 bytes, got sizes {sizes:?}"
    );
    let all: Vec<String> = records.iter().flat_map(RenewalsRecord::machines).collect();
    assert_eq!(all, names.into_iter().collect::<Vec<_>>());
    assert_eq!(RenewalsRecord::split(7, [].into_iter(), 1843).len(), 1);
}
