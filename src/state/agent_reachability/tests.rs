//! Tests.

use super::*;

const fn at(s: u64) -> Micros {
    Micros::millis(s * 1000)
}

#[test]
fn reports_alone_do_not_show_that_a_machine_hears() {
    let mut h = AgentReachability::default();
    h.reported(at(1));
    assert!(h.hears());
    // Its lease has run out under our answers.
    h.began(at(12));
    h.reported(at(13));
    h.reported(at(15));
    assert_eq!((h.hears(), h.suspected_since()), (false, Some(at(12))));
    h.answered(at(16));
    assert_eq!((h.hears(), h.suspected_since()), (true, None));
}

#[test]
fn a_silent_machine_is_not_deaf_and_one_that_goes_on_reporting_is() {
    let mut h = AgentReachability::default();
    h.reported(at(1));
    h.unanswered(at(4));
    // It may be off, or only we may be cut off from it: its reports come by others.
    assert!(h.hears());
    h.reported(at(6));
    assert_eq!(h.suspected_since(), Some(at(6)));
    h.unanswered(at(9));
    assert_eq!(h.suspected_since(), Some(at(6)));
    h.answered(at(10));
    assert!(h.hears());
}
