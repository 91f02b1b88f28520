//! Tests of the comparison of infeasible requests.

use super::*;

#[test]
fn a_request_for_as_much_or_more_is_infeasible_as_well() {
    let mut infeasible = InfeasibleRequests::default();
    infeasible.add(&[4.0, 1.0, 8.0], 2);
    assert!(infeasible.covers(&[4.0, 1.0, 8.0], 2) && infeasible.covers(&[5.0, 1.0, 9.0], 7));
    assert!(!infeasible.covers(&[4.0, 1.0, 8.0], 1) && !infeasible.covers(&[3.0, 2.0, 8.0], 2));
    // A smaller request replaces the recorded ones that contain it.
    infeasible.add(&[1.0, 1.0, 1.0], 1);
    assert_eq!(infeasible.requests.len(), 1);
    infeasible.clear();
    assert!(!infeasible.covers(&[9.0; 3], 9));
}
