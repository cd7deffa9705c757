//! Selection of members for copies, trial traffic and snapshots.
//!
//! All selections use rendezvous hashing: nodes with the same members agree, and a change of one member moves
//! only what was assigned to it. Nodes with different views may select differently, which the callers must
//! tolerate.

use model::{Host, Revision, hash};

use crate::member::{Member, State};
use crate::table::Table;

impl Table {
    /// Selects up to `count` members to hold copies for this node. Members outside the node's failure domain
    /// are preferred, and among them those in domains that have no copy yet. Leaving members are not
    /// selected.
    pub fn copy_holders(&self, count: usize) -> Vec<&Member> {
        let local = self.local();
        let key = local.incarnation.to_string();
        let mut ranked: Vec<_> = self.members().filter(|it| it.state == State::Alive).collect();
        ranked
            .sort_by_cached_key(|it| std::cmp::Reverse(hash::rendezvous(&key, &it.incarnation.to_string())));
        let mut chosen = Vec::<&Member>::new();
        while chosen.len() < count {
            // `min_by_key` returns the first minimum, so members of equal preference keep the order of the
            // hash.
            let candidates = ranked.iter().filter(|it| !chosen.contains(it));
            let preference = |it: &&&Member| {
                let own_domain = it.domain == local.domain;
                let domain_used = chosen.iter().any(|other| other.domain == it.domain);
                (own_domain, domain_used)
            };
            let Some(next) = candidates.min_by_key(preference) else {
                break;
            };
            chosen.push(next);
        }
        chosen
    }

    /// Hosts that receive the trial traffic of a roll-out in its early stages.
    pub fn trial_hosts(&self, rollout: &str, count: usize) -> Vec<Host> {
        self.highest_ranked(rollout, count)
    }

    /// Whether this node receives trial traffic of a roll-out.
    pub fn is_trial_host(&self, rollout: &str, count: usize) -> bool {
        self.trial_hosts(rollout, count).contains(&self.local().host)
    }

    /// Whether this node writes the snapshot for a revision.
    pub fn is_snapshot_writer(&self, revision: Revision) -> bool {
        let key = format!("snapshot/{revision}");
        self.highest_ranked(&key, 1).first() == Some(&self.local().host)
    }

    fn highest_ranked(&self, key: &str, count: usize) -> Vec<Host> {
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
