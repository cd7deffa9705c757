//! Reads the key files again when they change.

use std::sync::PoisonError;
use std::time::Duration;

use config::view::hash_key;

use crate::phase::Phase;
use crate::secrets::Secrets;
use crate::shared::Shared;

/// Interval between reads of the files, which are small.
const INTERVAL: Duration = Duration::from_secs(2);

/// Takes over changed keys until the node stops.
pub(crate) fn run(shared: &Shared, mut secrets: Secrets) {
    while shared.phase.get() < Phase::Stopped {
        shared.pause(INTERVAL);
        // A file that is missing or half written is read again later; the keys in force stay.
        let Ok(read) = Secrets::load(&shared.settings.keys) else {
            continue;
        };
        if read == secrets {
            continue;
        }
        secrets = read;
        put_in_force(shared, &secrets);
        shared.metrics.key_changes.inc();
        log::info!("the key files changed");
    }
}

fn put_in_force(shared: &Shared, secrets: &Secrets) {
    shared.sessions.replace(secrets.session_keys());
    shared.cluster_key.replace(secrets.cluster.clone());
    let admin = secrets.admin.as_deref().map(hash_key);
    *shared.admin_key.lock().unwrap_or_else(PoisonError::into_inner) = admin;
}
