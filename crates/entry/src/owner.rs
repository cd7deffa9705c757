//! The one node of the fleet that decides about a matter, chosen by rendezvous hashing.

use std::net::SocketAddr;

use membership::Member;
use model::hash;

use crate::shared::{Shared, lock};

/// The node that decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This node.
    Local,
    /// The node with this address for datagrams.
    Remote(SocketAddr),
}

/// The owner of a matter, as far as this node knows. A node that is about to stop owns none.
pub(crate) fn of(shared: &Shared, matter: &str) -> Owner {
    let table = lock(&shared.members);
    let own = Some(&*table.local().host).filter(|_| !shared.is_leaving());
    let others: Vec<&Member> = table.present().collect();
    let hosts = others.iter().map(|it| &*it.host).chain(own);
    let chosen = hash::highest(matter, hosts, 1);
    let Some(host) = chosen.first().filter(|it| Some(**it) != own) else {
        return Owner::Local;
    };
    // A process that was replaced may still be listed as suspected.
    let member = others
        .iter()
        .filter(|it| *it.host == **host)
        .min_by_key(|it| it.state);
    member.map_or(Owner::Local, |it| Owner::Remote(it.addresses.gossip))
}
