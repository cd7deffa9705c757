//! Reload of changed key files.

use std::sync::PoisonError;
use std::time::Duration;

use config::view::hash_key;

use crate::phase::Phase;
use crate::secrets::Secrets;
use crate::shared::Shared;

/// Interval between reads; the files are small enough to be read in full.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changed keys until the node stops.
pub(crate) fn run(shared: &Shared, mut secrets: Secrets) {
    while shared.phase.get() < Phase::Stopped {
        shared.sleep(READ_INTERVAL);
        // A file that is missing or partially written is retried later; the current keys stay active.
        let Ok(loaded) = Secrets::load(&shared.settings.keys) else {
            continue;
        };
        if loaded == secrets {
            continue;
        }
        secrets = loaded;
        apply(shared, &secrets);
        shared.metrics.key_changes.inc();
        log::info!("reloaded changed key files");
    }
}

fn apply(shared: &Shared, secrets: &Secrets) {
    shared.sessions.replace(secrets.session_keys());
    shared.cluster_key.replace(secrets.cluster.clone());
    let admin = secrets.admin.as_deref().map(hash_key);
    *shared.admin_key.lock().unwrap_or_else(PoisonError::into_inner) = admin;
}
