//! Tests of the permission to renew.

use super::*;

/// A process that had just started took "never" for the moment of its start, and renewed leases by it.
#[test]
fn a_coverage_of_zero_permits_no_renewal() {
    let leader = KnownLeader {
        term: 7,
        incarnation: 1,
        process_ended: true,
    };
    let grantee = LeaseGrantee::default();
    assert!(!grantee.may_renew(&leader, 0, 5, 100));
    assert!(grantee.may_renew(&leader, 1, 5, 100));
}
