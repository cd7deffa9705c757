//! Entry answers: the addresses that callers connect to.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Domain, Host, Incarnation};
use rand::Rng;

use crate::member::Member;
use crate::table::Table;

/// Addresses for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Addresses in the order in which the caller should try them.
    pub entries: Vec<Entry>,
    /// Time for which the caller may use them.
    pub lifetime: Duration,
}

/// One address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the host.
    pub host: Host,
    /// Identity of the process, which prefixes idempotency keys.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Relative share of the caller's requests, at least 1.
    pub weight: u16,
}

impl Table {
    /// Addresses of members that are alive and ready: those in the caller's failure domain first, each group in a
    /// random order weighted by spare capacity. Members without spare capacity come last.
    ///
    /// The list is empty if no member is available.
    pub fn entries(&self, caller: Option<&Domain>, rng: &mut impl Rng) -> Answer {
        let settings = self.settings();
        let members = std::iter::once(self.local()).chain(self.members());
        let available = members.filter(|it| it.is_available() && !self.is_listed_leaving(&it.host));
        let mut ranked: Vec<_> = available
            .map(|it| (group(it, caller), key(it, rng), it))
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        ranked.truncate(settings.max_entries);
        Answer {
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
    if member.spare() == 0 {
        return Group::Full;
    }
    if Some(&member.domain) == caller {
        return Group::SameDomain;
    }
    Group::OtherDomain
}

/// Key of weighted sampling without replacement (Efraimidis and Spirakis): the highest keys are the sample.
fn key(member: &Member, rng: &mut impl Rng) -> f64 {
    let uniform: f64 = rng.random();
    uniform.powf(1.0 / f64::from(weight(member)))
}

fn weight(member: &Member) -> u16 {
    member.spare().max(1)
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
