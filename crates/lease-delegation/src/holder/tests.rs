//! Tests.

use super::*;

/// A process that had just started took "never" for the moment of its start, and renewed leases by it.
#[test]
fn what_was_never_known_is_not_known_since_the_process_began() {
    let lead = KnownLeader {
        term: 7,
        run: 1,
        ended: true,
    };
    let holder = LeaseGrantee::default();
    assert!(!holder.may(&lead, 0, 5, 100));
    assert!(holder.may(&lead, 1, 5, 100));
}
