//! An in-memory cloud that offers one machine type, rents machines and deletes them.

use super::*;

/// The cloud rents a machine only while fewer than this many exist or boot.
const CAPACITY: usize = 12;
/// A request to rent may be repeated under the same identifier for this long.
const RENTAL_RETRY_TIME: u64 = 60 * SECOND;

fn machine_type() -> MachineType {
    MachineType {
        name: "box".into(),
        cpus: 8.0,
        gpus: 8.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 5.0,
        zones: vec!["a".into(), "b".into()],
    }
}

impl Simulation {
    /// Handles a call to the cloud; returns the status and the body of the answer.
    pub(super) fn handle_cloud_call(&mut self, call: &Call) -> (u16, Vec<u8>) {
        if self.cloud_unavailable {
            return (503, Vec::new());
        }
        let route = call.path.split('?').next().unwrap_or("");
        match (call.method, route) {
            ("GET", "/flavors") => {
                let types = vec![machine_type()];
                (200, encode(&MachineTypes { types }))
            }
            ("GET", _) => (200, encode(&self.list_machines())),
            ("POST", "/machines") => self.rent(decode(&call.body).expect("body is a rent request")),
            _ => {
                let names: MachineNames =
                    decode(&call.body).expect("body is a list of machine names");
                self.delete_machines(names);
                (200, Vec::new())
            }
        }
    }

    fn list_machines(&self) -> MachinePage {
        let mut machines: Vec<ListedMachine> = self
            .agents
            .values()
            .map(|agent| ListedMachine {
                id: agent.name.clone(),
                address: None,
                machine_type: "box".into(),
                zone: agent.zone.clone(),
                spot: agent.spot,
                state: if self.failed_machines.contains(&agent.name) {
                    MachineState::Failed
                } else {
                    MachineState::Running
                },
                age_s: 10.0,
            })
            .collect();
        machines.sort_by(|first, second| first.id.cmp(&second.id));
        MachinePage {
            machines,
            has_more: false,
        }
    }

    fn rent(&mut self, request: RentRequest) -> (u16, Vec<u8>) {
        if let Some(rental) = self.rentals.get(&request.request_id) {
            let machines = rental.machines.clone();
            if self.now > rental.requested_at + RENTAL_RETRY_TIME {
                let details = format!(
                    "{} repeated more than {} s after the rental",
                    request.request_id,
                    RENTAL_RETRY_TIME / SECOND
                );
                self.report_violation("rental_id_reused", details);
            }
            return (200, encode(&MachineNames { machines }));
        }
        let available = CAPACITY.saturating_sub(self.agents.len() + self.booting.len());
        if available == 0 || self.no_capacity {
            return (503, Vec::new());
        }
        let mut machines = Vec::new();
        for _ in 0..(request.count as usize).min(available) {
            let name = self.next_machine_name();
            self.booting.push(BootingMachine {
                ready_at: self.now + self.machine_boot_time,
                name: name.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
            });
            machines.push(name);
        }
        let rental = Rental {
            machines: machines.clone(),
            requested_at: self.now,
        };
        self.rentals.insert(request.request_id, rental);
        (200, encode(&MachineNames { machines }))
    }

    fn delete_machines(&mut self, names: MachineNames) {
        for name in names.machines {
            let agent = self.agents.remove(&name);
            self.failed_tasks_on_deleted_machines += agent.map_or(0, |agent| agent.failed_tasks);
            self.booting.retain(|machine| machine.name != name);
            self.deleted_machines.insert(name);
        }
    }

    /// Starts the agents of rented machines whose boot time has elapsed.
    pub(super) fn start_booted_machines(&mut self) {
        let now = self.now;
        let (ready, booting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.booting)
            .into_iter()
            .partition(|machine| machine.ready_at <= now);
        self.booting = booting;
        for machine in ready {
            let index = machine.name.trim_start_matches("n-").parse().unwrap();
            let mut agent = FakeAgent::new(&machine.name, &machine.zone, index, now);
            agent.spot = machine.spot;
            self.agents.insert(machine.name, agent);
        }
    }
}
