//! Node that serves the callers of a platform: signals, reload of the settings and shutdown.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use config::settings::entry::Settings;
use entry::Handle;
use eyre::{Result, eyre};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::{NodeSettings, read};

/// Interval of the checks for a settings file that changed without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Event that the main loop handles.
enum Event {
    Stop,
    Reload,
}

/// Runs the node until it is signalled to stop.
pub fn run(settings: Settings, file: &Path) -> Result<ExitCode> {
    let (host, domain) = (settings.node.host.clone(), settings.node.failure_domain.clone());
    let handle = entry::spawn(settings, Arc::new(platform::Adapter))?;
    log::info!(host = *host, domain = *domain, version = env!("CARGO_PKG_VERSION"); "started");
    let mut signals = handle.run_until(async { Signals::register() })?;
    let mut modified = modification(file);
    loop {
        match handle.run_until(wait(&mut signals, file, &mut modified)) {
            Event::Stop => break,
            Event::Reload => reload(&handle, file),
        }
    }
    log::info!(host = *host; "stopping");
    let cut = handle.stop();
    log::info!(host = *host, cut; "stopped");
    log::logger().flush();
    match cut {
        0 => Ok(ExitCode::SUCCESS),
        _ => Err(eyre!("the grace period ended: {cut} requests were cut off")),
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

async fn wait(signals: &mut Signals, file: &Path, modified: &mut Option<SystemTime>) -> Event {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return Event::Stop,
            _ = signals.interrupt.recv() => return Event::Stop,
            _ = signals.hangup.recv() => {
                *modified = modification(file);
                return Event::Reload;
            }
            () = sleep(FILE_POLL_INTERVAL) => {
                let current = modification(file);
                if current != *modified {
                    *modified = current;
                    return Event::Reload;
                }
            }
        }
    }
}

fn modification(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|it| it.modified()).ok()
}

/// Reloads the settings; invalid ones leave the current settings in force.
fn reload(handle: &Handle, file: &Path) {
    match read(file) {
        Ok(NodeSettings::Platform(settings)) => {
            handle.reload(*settings);
            log::info!(file:% = file.display(); "settings reloaded");
        }
        Ok(NodeSettings::Own(_)) => {
            log::error!("the settings are for another kind of node; they are ignored until the next start");
        }
        Err(err) => log::error!(error:% = err; "settings not reloaded"),
    }
}
