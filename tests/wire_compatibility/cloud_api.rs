//! Encoding of requests to the cloud and of its responses.

use crate::fixtures::{Fixtures, array, map, strings};
use crate::samples::machine_types;
use walnuttrestle::protocol::cloud_api::{
    ListedMachine, MachineNames, MachinePage, MachineState, RentRequest,
};

fn listed(state: MachineState) -> ListedMachine {
    ListedMachine {
        id: "n-000017".into(),
        address: None,
        machine_type: "big".into(),
        zone: "a".into(),
        spot: false,
        state,
        age_s: 0.0,
    }
}

#[test]
fn cloud_message_encoding_is_stable() {
    let mut fixtures = Fixtures::open("cloud_api.hex");
    let rent = RentRequest {
        request_id: "kernel-1-7-12".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: true,
        count: 50,
    };
    fixtures.check_round_trip("rent", &rent);
    let names = MachineNames {
        machines: strings(["n-000017", "n-000018"]),
    };
    fixtures.check_round_trip("machine_names", &names);
    let page = MachinePage {
        machines: vec![
            listed(MachineState::Booting),
            ListedMachine {
                address: Some("10.1.4.17:9000".into()),
                spot: true,
                age_s: 61.5,
                ..listed(MachineState::Running)
            },
            listed(MachineState::Failed),
        ],
        has_more: true,
    };
    fixtures.check_round_trip("machine_page", &page);
    fixtures.check_round_trip("machine_types", &machine_types());
    check_cloud_responses(&mut fixtures);
    fixtures.finish();
}

/// Checks responses as the cloud writes them, with and without optional fields.
fn check_cloud_responses(fixtures: &mut Fixtures) {
    let big = map([
        ("name", "big".into()),
        ("cpus", 64.into()),
        ("cards", 8.into()),
        ("memory_gb", 256.into()),
        ("local_gb", 20.into()),
        ("fetch_gb_per_s", 0.4.into()),
        ("price", 9.75.into()),
        ("low_price", 3.5.into()),
        ("startup_s", 45.into()),
        ("yards", array(["a".into(), "b".into()])),
    ]);
    let small = map([
        ("name", "small".into()),
        ("cpus", 4.into()),
        ("cards", 0.into()),
        ("memory_gb", 8.into()),
    ]);
    let types = map([("presses", array([big, small]))]);
    fixtures.check_decoding("types_of_the_cloud", &types, &machine_types());
    let machine = map([
        ("id", "n-000017".into()),
        ("press", "big".into()),
        ("yard", "a".into()),
        ("loaners", false.into()),
        ("status", "booting".into()),
    ]);
    let page = map([("kernels", array([machine])), ("more", false.into())]);
    let value = MachinePage {
        machines: vec![listed(MachineState::Booting)],
        has_more: false,
    };
    fixtures.check_decoding("page_of_the_cloud", &page, &value);
}
