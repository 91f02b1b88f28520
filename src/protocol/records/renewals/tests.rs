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
    let rec = RenewalsRecord::new(7, names.iter());
    assert!(crate::protocol::codec::encode(&rec).len() < 4096);
    assert_eq!(rec.machines(), names.iter().cloned().collect::<Vec<_>>());
    let parts = RenewalsRecord::split(7, names.iter(), 1843);
    assert!(parts.len() <= 4 && parts.iter().all(|p| json_len(p) <= 1843));
    let all: Vec<String> = parts.iter().flat_map(RenewalsRecord::machines).collect();
    assert_eq!(all, names.into_iter().collect::<Vec<_>>());
    assert_eq!(RenewalsRecord::split(7, [].into_iter(), 1843).len(), 1);
}
