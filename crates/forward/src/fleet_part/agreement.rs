//! How nodes find out that all of them count as many hosts.
//!
//! Membership passes the number of hosts that a member counts only in the member's own record, so a node of a fleet of
//! some hundred learns the numbers of all others within minutes. A [`Statement`] is a small message of its own. A node
//! sends it in rounds while its number has changed lately or is not known to be agreed: to a seed, and to random members.
//!
//! - The largest number spreads with the time since a node counted it itself, so it expires everywhere at once.
//! - Seeds are met by all nodes, so they collect the numbers of all. One that has collected them replies that they agree.
//!   Only the process that asked may rely on the reply, as it is among the hosts that are counted. It is not passed on.
//!
//! Statements that are lost, late or repeated delay the agreement only.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use model::{Host, Incarnation};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::FleetPart;
use crate::BootTime;

/// What a node tells about the size of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Process that tells.
    pub process: Incarnation,
    /// Hosts that it divides by.
    pub hosts: usize,
    /// Time since a node has counted as many itself.
    pub age: Duration,
    /// Seeds that the process knows, and which of them it has not met; see [`Agreement::is_agreed`].
    pub seeds: u64,
    /// Hosts that all nodes were seen to count, among them the receiver; 0 in statements that are no reply.
    pub agreed: usize,
}

/// Another process that is not declared dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its host.
    pub host: Host,
    /// The process.
    pub process: Incarnation,
    /// Hosts that it has observed, by its member record; 0 if its build doesn't tell.
    pub observed: usize,
}

/// Seeds of the settings, as a node knows them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seeds {
    /// All of them.
    pub all: usize,
    /// Those that were not met, and that count as hosts.
    pub unmet: usize,
    /// Hash over the addresses of all seeds and of those that were not met.
    pub hash: u64,
}

impl Seeds {
    /// Seeds with their addresses and whether each was met. `are_counted` is whether those that were not met still count.
    pub fn new(seeds: impl Iterator<Item = (SocketAddr, bool)>, are_counted: bool) -> Self {
        let mut seeds: Vec<_> = seeds.collect();
        seeds.sort_unstable();
        seeds.dedup();
        let unmet = seeds.iter().filter(|it| !it.1).count();
        let texts = seeds
            .iter()
            .map(|(address, is_met)| format!("{address} {is_met} "));
        Self {
            all: seeds.len(),
            unmet: if are_counted { unmet } else { 0 },
            hash: model::hash::stable(texts.collect::<String>().as_bytes()),
        }
    }
}

/// What a process has told about itself.
#[derive(Debug, Clone, Copy)]
struct Claim {
    hosts: usize,
    seeds: u64,
    at: BootTime,
}

/// Statements of other processes, and when this node sends its own.
#[derive(Debug, Clone, Default)]
pub struct Agreement {
    claims: HashMap<Incarnation, Claim>,
    /// Number of hosts and hash of the seeds at the last round.
    told: (usize, u64),
    /// Whether the number is agreed.
    is_settled: bool,
    /// Rounds since the number has changed.
    rounds: u32,
    next_round: BootTime,
}

impl Agreement {
    /// Age from which on a number is asked for again that this node has not observed itself.
    const REFRESH_AGE: Duration = Duration::from_secs(20);

    /// Time for which a statement of a process counts that is no member.
    const RETENTION: Duration = Duration::from_secs(15);

    /// Processes whose statements are kept.
    const MAX_CLAIMS: usize = 2000;

    /// Time between the first rounds after a change of the number, and its growth from each round to the next.
    const INTERVAL: Duration = Duration::from_millis(400);
    const BACK_OFF: f64 = 1.2;
    const MAX_INTERVAL: Duration = Duration::from_secs(4);

    /// Rounds in which a node sends to several random members, so that all learn of a change within about two seconds, and
    /// turns to the first seed only. The same one needs the numbers of all; later rounds turn to the others by turns, as it
    /// may not be reached.
    const FIRST_ROUNDS: u32 = 4;
    const FIRST_RECEIVERS: usize = 2;

    /// Shortest time between two rounds while the number of hosts changes.
    const MIN_PAUSE: Duration = Duration::from_millis(300);

    /// Records what another process tells.
    pub fn record(&mut self, statement: &Statement, now: BootTime) {
        if self.claims.len() >= Self::MAX_CLAIMS && !self.claims.contains_key(&statement.process) {
            return;
        }
        let claim = Claim {
            hosts: statement.hosts,
            seeds: statement.seeds,
            at: now,
        };
        self.claims.insert(statement.process, claim);
    }

    /// Forgets what processes have told that are not among the members. One that is about to become a member is kept for
    /// a while.
    pub fn forget_others(&mut self, is_member: impl Fn(Incarnation) -> bool, now: BootTime) {
        let is_recent = |it: &Claim| now.saturating_sub(it.at) < Self::RETENTION;
        self.claims
            .retain(|process, claim| is_recent(claim) || is_member(*process));
    }

    /// Whether all of `hosts` hosts count as many.
    ///
    /// What a member has told counts until it tells something else, which it does several times as soon as its number
    /// changes. Hosts that were lost are no peers, so that there is no agreement until they are forgotten. Seeds that
    /// were not met may never be. They count as hosts, but need not agree if more than half of the seeds were met, and if
    /// all nodes have the same seeds and have met the same ones: then no other part of the fleet has met as many.
    pub fn is_agreed(&self, hosts: usize, seeds: Seeds, peers: &[Peer]) -> bool {
        let mut agreeing: BTreeMap<&Host, bool> = BTreeMap::new();
        let mut same_seeds = true;
        for peer in peers {
            let claim = self.claims.get(&peer.process);
            same_seeds &= claim.is_some_and(|it| it.seeds == seeds.hash);
            let told = claim.map_or(0, |it| it.hosts);
            // Nodes of older builds tell nothing and count a new host as soon as they know of it.
            let is_older = claim.is_none() && peer.observed == 0;
            let agrees = match claim {
                Some(_) => told >= hosts,
                None => is_older || peer.observed >= hosts,
            };
            *agreeing.entry(&peer.host).or_insert(true) &= agrees;
        }
        let may_lack = match same_seeds && seeds.unmet * 2 < seeds.all {
            true => seeds.unmet,
            false => 0,
        };
        // A host may have been met since the node has counted.
        let reached = 1 + agreeing.len();
        agreeing.values().all(|it| *it) && reached <= hosts && reached + may_lack >= hosts
    }

    /// Whether to send statements now; called several times a second.
    pub fn is_round_due(
        &mut self,
        part: &FleetPart,
        seeds: Seeds,
        now: BootTime,
        rng: &mut impl Rng,
    ) -> bool {
        let (hosts, age) = part.largest(now);
        let is_agreed = part.is_settled(now) && age < Self::REFRESH_AGE;
        if self.told != (hosts, seeds.hash) {
            self.told = (hosts, seeds.hash);
            self.is_settled = false;
            self.rounds = 0;
            self.next_round = self.next_round.min(now + Self::MIN_PAUSE);
        }
        self.is_settled &= is_agreed;
        if now < self.next_round || self.is_settled {
            return false;
        }
        // One more round follows the agreement, with which the others learn of this node's number.
        self.is_settled = is_agreed;
        let growth = Self::BACK_OFF.powi(self.rounds.saturating_sub(Self::FIRST_ROUNDS).min(100) as i32);
        let interval = Self::INTERVAL.mul_f64(growth).min(Self::MAX_INTERVAL);
        self.next_round = now + interval.mul_f64(rng.random_range(0.75..1.25));
        self.rounds += 1;
        true
    }

    /// Receivers of a round: a seed that collects the numbers, random members, and a seed that was not met, as it may have
    /// started later than this node.
    pub fn receivers(
        &self,
        seeds: &[(SocketAddr, bool)],
        members: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut met: Vec<_> = seeds.iter().filter(|it| it.1).map(|it| it.0).collect();
        met.sort_unstable();
        let unmet = seeds.iter().filter(|it| !it.1);
        let is_first = self.rounds <= Self::FIRST_ROUNDS || self.rounds.is_multiple_of(2);
        let collector = match is_first {
            true => met.first(),
            false => met.get((self.rounds / 2) as usize % met.len().max(1)),
        };
        let count = match self.rounds <= Self::FIRST_ROUNDS {
            true => Self::FIRST_RECEIVERS,
            false => 1,
        };
        let unmet = unmet.choose(rng).map(|it| it.0);
        let random = members.iter().copied().choose_multiple(rng, count);
        collector
            .copied()
            .into_iter()
            .chain(unmet)
            .chain(random)
            .collect()
    }

    /// Whether to reply to a statement: the sender lacks something that this node knows.
    pub fn is_reply_due(part: &FleetPart, agreed: usize, statement: &Statement, now: BootTime) -> bool {
        let (hosts, age) = part.largest(now);
        let is_newer = age + Self::REFRESH_AGE / 2 < statement.age;
        let knows_more = hosts > statement.hosts || hosts == statement.hosts && is_newer;
        statement.agreed == 0 && (knows_more || agreed > 0 && agreed >= statement.hosts)
    }
}
