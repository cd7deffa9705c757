//! Exchanges with other nodes how many hosts each counts, until all are known to count as many.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use forward::BootTime;
use forward::fleet_part::FleetPart;
use forward::fleet_part::agreement::{Agreement, Peer, Seeds, Statement};
use membership::{Event, Member, State};
use model::Incarnation;
use rand::rng;
use serde::{Deserialize, Serialize};

use crate::shared::{Shared, lock};
use crate::{clock, datagrams};

/// What a node tells about the size of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    process: String,
    hosts: usize,
    age_ms: u64,
    seeds: u64,
    #[serde(default)]
    agreed: usize,
}

/// Sends statements if a round is due.
pub(crate) fn tick(shared: &Shared) {
    let now = clock::now();
    let (seeds, addresses, members) = {
        let members = lock(&shared.members);
        let own = members.local().addresses.gossip;
        let addresses: Vec<_> = members.seeds().filter(|it| it.0 != own).collect();
        let present: Vec<_> = members.present().map(|it| it.addresses.gossip).collect();
        (seeds(&members, now), addresses, present)
    };
    let message = {
        let fleet = lock(&shared.retries.fleet);
        if !lock(&shared.retries.agreement).is_round_due(&fleet, seeds, now, &mut rng()) {
            return;
        }
        message(shared, &fleet, seeds, 0, now)
    };
    let to = lock(&shared.retries.agreement).receivers(&addresses, &members, &mut rng());
    for to in to {
        datagrams::send_host_count(&shared.socket, &message, to);
        shared.metrics.host_counts_sent.inc();
    }
}

/// Applies what another node tells, and replies if that node lacks something.
pub(crate) fn receive(shared: &Shared, message: &Message, from: SocketAddr) {
    let Ok(process) = message.process.parse::<Incarnation>() else {
        log::debug!("host count of {from} without a process");
        return;
    };
    let now = clock::now();
    let statement = Statement {
        process,
        hosts: message.hosts,
        age: Duration::from_millis(message.age_ms),
        seeds: message.seeds,
        agreed: message.agreed,
    };
    let (seeds, peers, is_seed) = {
        let members = lock(&shared.members);
        let own = members.local().addresses.gossip;
        let is_seed = members.seeds().any(|it| it.0 == own);
        (seeds(&members, now), peers(members.members()), is_seed)
    };
    let is_member = peers.iter().any(|it| it.process == process);
    // A node that has met other seeds may not have met this one.
    if !is_member || is_seed && statement.seeds != seeds.hash {
        datagrams::handle(shared, Event::Contacted(from));
    }
    let reply = {
        let mut fleet = lock(&shared.retries.fleet);
        let mut agreement = lock(&shared.retries.agreement);
        agreement.record(&statement, now);
        fleet.record_told(statement.hosts, now.saturating_sub(statement.age), now);
        if statement.agreed > 0 {
            confirm(&mut fleet, statement.agreed, now);
        }
        let hosts = fleet.hosts(now);
        let agreed = match is_member && agreement.is_agreed(hosts, seeds, &peers) {
            true => hosts,
            false => 0,
        };
        let is_due = Agreement::is_reply_due(&fleet, agreed, &statement, now);
        is_due.then(|| self::message(shared, &fleet, seeds, agreed, now))
    };
    if let Some(reply) = reply {
        datagrams::send_host_count(&shared.socket, &reply, from);
        shared.metrics.host_counts_sent.inc();
    }
}

/// Confirms the number of hosts by what the others have told this node itself.
pub(crate) fn update(shared: &Shared, now: BootTime) {
    let (seeds, peers) = {
        let members = lock(&shared.members);
        (seeds(&members, now), peers(members.members()))
    };
    let processes: HashSet<_> = peers.iter().map(|it| it.process).collect();
    let mut fleet = lock(&shared.retries.fleet);
    let mut agreement = lock(&shared.retries.agreement);
    agreement.forget_others(|it| processes.contains(&it), now);
    let hosts = fleet.hosts(now);
    if agreement.is_agreed(hosts, seeds, &peers) {
        confirm(&mut fleet, hosts, now);
    }
}

/// Records that all nodes count as many hosts.
fn confirm(fleet: &mut FleetPart, hosts: usize, now: BootTime) {
    let was_settled = fleet.is_settled(now);
    fleet.confirm(hosts, now);
    if !was_settled && fleet.is_settled(now) {
        log::info!(hosts; "all nodes count as many hosts");
    }
}

fn message(shared: &Shared, fleet: &FleetPart, seeds: Seeds, agreed: usize, now: BootTime) -> Message {
    let (hosts, age) = fleet.largest(now);
    Message {
        process: shared.incarnation.to_string(),
        hosts,
        age_ms: age.as_millis() as u64,
        seeds: seeds.hash,
        agreed,
    }
}

fn seeds(members: &membership::Table, now: BootTime) -> Seeds {
    let are_counted = members.counts_unmet_seeds(FleetPart::LOST_RETENTION, now);
    Seeds::new(members.seeds(), are_counted)
}

fn peers<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<Peer> {
    let others = members.filter(|it| it.state != State::Dead);
    let peer = |it: &Member| Peer {
        host: it.host.clone(),
        process: it.incarnation,
        observed: it.observed_hosts as usize,
    };
    others.map(peer).collect()
}
