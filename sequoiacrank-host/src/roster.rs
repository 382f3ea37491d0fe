//! Keeps this host registered in the platform's host list and reads the list.

use crossbeam::channel;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::traffic;
use sequoiacrank_platform::hosts;

use crate::engine;
use crate::platform;

/// Renews the entry of this host and reads the list until `stop` closes, then removes the entry.
pub fn run(
    roster: &dyn platform::Roster,
    engine: &engine::Engine,
    mut own: hosts::Entry,
    stop: &channel::Receiver<()>,
) {
    let ticks = channel::tick(engine.settings.platform.refresh);
    loop {
        own.leaving = engine.leaving();
        if let Err(error) = roster.register(&own) {
            log::warn!(error; "registering this host in the host list failed");
        }
        match roster.list() {
            Ok(hosts) => apply_hosts(engine, hosts),
            Err(error) => log::warn!(error; "reading the host list failed"),
        }
        channel::select! {
            recv(ticks) -> _ => {}
            recv(stop) -> _ => break,
        }
    }
    if let Err(error) = roster.deregister(&own.id) {
        log::warn!(error; "removing this host from the host list failed");
    }
}

fn apply_hosts(engine: &engine::Engine, hosts: Vec<hosts::Entry>) {
    let ids = hosts.iter().filter(|host| !host.leaving).map(|host| host.id.clone()).collect();
    let list = hosts.iter().map(traffic::Host::from).collect();
    engine.peers.set_hosts(hosts);
    engine.handle_traffic(traffic::Event::Hosts(list));
    engine.notify_agreement(agree::Event::Hosts(ids));
}
