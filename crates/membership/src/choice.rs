//! Choice of members for copies, trial traffic and snapshots.
//!
//! All choices are by rendezvous hash: nodes with the same members agree, and a change of one member moves only what
//! that member had. Nodes with different views may choose differently, which the callers of these functions must
//! tolerate.

use model::{Host, Revision, hash};

use crate::member::{Member, State};
use crate::table::Table;

impl Table {
    /// Up to `count` members that hold copies for this node: in failure domains other than its own and each other's
    /// as far as there are any, then in other domains, then in its own. Leaving members are not chosen.
    pub fn holders(&self, count: usize) -> Vec<&Member> {
        let local = self.local();
        let key = local.incarnation.to_string();
        let mut ranked: Vec<_> = self.members().filter(|it| it.state == State::Alive).collect();
        ranked
            .sort_by_cached_key(|it| std::cmp::Reverse(hash::rendezvous(&key, &it.incarnation.to_string())));
        let mut chosen = Vec::<&Member>::new();
        while chosen.len() < count {
            // The first one of the least rank, since equal ranks keep the order of the hash.
            let open = ranked.iter().filter(|it| !chosen.contains(it));
            let nearness = |it: &&&Member| {
                let own = it.domain == local.domain;
                let taken = chosen.iter().any(|other| other.domain == it.domain);
                (own, taken)
            };
            let Some(next) = open.min_by_key(nearness) else {
                break;
            };
            chosen.push(next);
        }
        chosen
    }

    /// Hosts that carry the trial traffic of a roll-out in its early stages.
    pub fn trial_hosts(&self, rollout: &str, count: usize) -> Vec<Host> {
        self.highest(rollout, count)
    }

    /// Whether this node carries trial traffic of a roll-out.
    pub fn is_trial_host(&self, rollout: &str, count: usize) -> bool {
        self.trial_hosts(rollout, count).contains(&self.local().host)
    }

    /// Whether this node writes the snapshot for a revision.
    pub fn is_snapshot_writer(&self, revision: Revision) -> bool {
        let key = format!("snapshot/{revision}");
        self.highest(&key, 1).first() == Some(&self.local().host)
    }

    fn highest(&self, key: &str, count: usize) -> Vec<Host> {
        let members = std::iter::once(self.local()).chain(self.members());
        let alive = members.filter(|it| it.state == State::Alive);
        let mut ranked: Vec<_> = alive
            .map(|it| (hash::rendezvous(key, &it.host), &it.host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        // Two processes of one host can both count as alive shortly after a restart.
        ranked.dedup();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, host)| host.clone()).collect()
    }
}
