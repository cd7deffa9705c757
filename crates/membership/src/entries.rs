//! Entry lists: the addresses that callers connect to.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Domain, Host, Incarnation};
use rand::Rng;

use crate::member::Member;
use crate::table::Table;

/// Entry addresses for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryList {
    /// Addresses in the order in which the caller should try them.
    pub entries: Vec<Entry>,
    /// Time for which the caller may use the list.
    pub lifetime: Duration,
}

/// Entry address of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the host.
    pub host: Host,
    /// Identity of the process, which prefixes idempotency keys.
    pub incarnation: Incarnation,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Relative share of the caller's requests; [`Self::MIN_WEIGHT`] for a member without spare capacity.
    pub weight: u16,
}

impl Entry {
    /// Smallest weight.
    pub const MIN_WEIGHT: u16 = 1;
}

impl Table {
    /// Returns the addresses of members that are alive and ready, those in the caller's failure domain first
    /// and members without spare capacity last. Each group is in random order, weighted by spare capacity.
    ///
    /// The list is empty if no member is available.
    pub fn entries(&self, caller: Option<&Domain>, rng: &mut impl Rng) -> EntryList {
        let settings = self.settings();
        let members = std::iter::once(self.local()).chain(self.members());
        let available = members.filter(|it| it.is_available() && !self.is_listed_leaving(&it.host));
        let mut ranked: Vec<_> = available
            .map(|it| (group(it, caller), sampling_key(it, rng), it))
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        ranked.truncate(settings.max_entries);
        EntryList {
            entries: ranked.into_iter().map(|(_, _, member)| entry(member)).collect(),
            lifetime: settings.entry_lifetime,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    SameDomain,
    OtherDomain,
    Full,
}

fn group(member: &Member, caller: Option<&Domain>) -> Group {
    if member.spare_capacity() == 0 {
        return Group::Full;
    }
    if Some(&member.domain) == caller {
        return Group::SameDomain;
    }
    Group::OtherDomain
}

/// Key of weighted sampling without replacement (Efraimidis and Spirakis): the highest keys are the sample.
fn sampling_key(member: &Member, rng: &mut impl Rng) -> f64 {
    let uniform: f64 = rng.random();
    uniform.powf(1.0 / f64::from(weight(member)))
}

fn weight(member: &Member) -> u16 {
    member.spare_capacity().max(Entry::MIN_WEIGHT)
}

fn entry(member: &Member) -> Entry {
    Entry {
        host: member.host.clone(),
        incarnation: member.incarnation,
        address: member.addresses.entry,
        domain: member.domain.clone(),
        weight: weight(member),
    }
}
