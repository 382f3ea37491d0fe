//! Duties that one host performs for all.

use sequoiacrank_kernel::edge::members;

use crate::mesh;
use crate::site;

/// Guards against two hosts that perform one duty for all: a host that had work waiting at a silent
/// one took another host for the one that grants the requests to a limited endpoint.
#[test]
fn back_off_moves_no_duty() {
    let mut world = mesh::World::new(5, 1);
    world.run(site::ms(4000));
    let hosts: Vec<_> =
        (0..5).map(|own| world.host(own).expect("host not started").0.clone()).collect();
    let holder = |own: usize, host: &members::Members, name: &str| {
        host.assigned_host(name, false).unwrap_or(mesh::address(own))
    };
    let positions = |hosts: &[members::Members]| -> Vec<_> {
        hosts.iter().map(|it| (it.store_position(), it.stable_position())).collect()
    };
    for (own, silent) in (0..5).flat_map(|own| (0..5).map(move |silent| (own, silent))) {
        let (now, address) = (site::ms(4000), mesh::address(silent));
        let mut seen = hosts.clone();
        seen[own].back_off(now, address);
        assert_eq!(positions(&seen), positions(&hosts));
        assert_eq!(seen[own].first_hosts(3), hosts[own].first_hosts(3));
        for name in (0..40).map(|number| format!("endpoint-{number}")) {
            let holders: Vec<_> = (0..5).map(|it| holder(it, &seen[it], &name)).collect();
            assert!(holders.iter().all(|it| *it == holders[0]), "{name} {holders:?}");
            let work = seen[own].work_host(now, &name, false, &[]);
            assert!(own == silent || work != Some(address), "{name}");
        }
    }
}
