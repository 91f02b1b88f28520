use super::*;

fn names(parts: &[RenewalsRecord]) -> Vec<String> {
    parts.iter().flat_map(RenewalsRecord::machines).collect()
}

/// Guards against a new machine pushing one out of a full record whose lease has been renewed: the leader would end it.
#[test]
fn full_record_names_the_first_machines_and_respects_the_limits() {
    let machines: Vec<String> = (0..400).map(|n| format!("n-{n:06}")).collect();
    // The machines with the highest names come first.
    let in_order: Vec<&String> = machines.iter().rev().collect();
    let all = fitting_parts(3, &in_order, 100_000, 1);
    assert_eq!(names(&all), machines);
    let some = fitting_parts(3, &in_order, 1_000, 2);
    let named = names(&some);
    assert!(some.len() <= 2 && !named.is_empty() && named.len() < machines.len());
    assert_eq!(named, machines[machines.len() - named.len()..]);
    assert!(names(&fitting_parts(3, &[], 1_000, 2)).is_empty());
}
