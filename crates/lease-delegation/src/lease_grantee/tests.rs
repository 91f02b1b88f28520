//! Tests of the permission to renew.

use super::*;

/// A coverage of 0 means "never". If it is read as the start of the process, a process that has just started renews
/// leases without any coverage.
#[test]
fn a_coverage_of_zero_permits_no_renewal() {
    let leader = KnownLeader {
        term: 7,
        incarnation: 1,
        process_ended: true,
    };
    let grantee = LeaseGrantee::default();
    assert!(
        !grantee.may_renew(&leader, 0, 5, 100),
        "renewal without coverage"
    );
    assert!(
        grantee.may_renew(&leader, 1, 5, 100),
        "no renewal within the staleness bound"
    );
}
