//! Short stories about failures, against a world in memory whose checker asserts the rules of
//! PROTOCOL after every step.

#[path = "../world/mod.rs"]
mod world;

mod cuts;
mod machines;
mod outages;
mod pipelines;
mod users;
mod versions;

use world::{Cut, Party, World};

/// Cuts everything between the zones; the state service stays reachable.
pub fn cut_zones(w: &mut World, dt: u64) {
    let zone = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    for i in 0..3 {
        for j in (0..3).filter(|j| zone(*j) != zone(i)) {
            w.cut(Party::Controller(i), Party::Controller(j), Cut::Drop, dt);
        }
        let far: Vec<String> = w
            .agents
            .values()
            .filter(|x| x.zone != zone(i))
            .map(|x| x.name.clone())
            .collect();
        for m in far {
            w.cut(Party::Controller(i), Party::Agent(m), Cut::Drop, dt);
        }
    }
}

/// Who leads, and the two others.
pub fn parties(w: &World) -> (usize, usize, usize) {
    let l = w.leader().expect("a leader");
    (l, (l + 1) % 3, (l + 2) % 3)
}

pub fn cut_from_workers(w: &mut World, node: usize, names: &[String], dt: u64) {
    for m in names {
        w.cut(
            Party::Controller(node),
            Party::Agent(m.clone()),
            Cut::Drop,
            dt,
        );
    }
}
