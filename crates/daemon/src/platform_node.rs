//! The node that serves a platform's callers: signals, reload and the end of the process.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use config::settings::entry::Settings;
use entry::Handle;
use eyre::{Result, eyre};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::{Front, read};

/// Interval of the checks for a settings file that changed without a signal.
const FILE_POLL: Duration = Duration::from_secs(1);

/// What ends the wait.
enum Event {
    Stop,
    Reload,
}

/// Runs the node until it is told to stop.
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
        _ => Err(eyre!("the stop reached its bound: {cut} requests were cut off")),
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
            () = sleep(FILE_POLL) => {
                let present = modification(file);
                if present != *modified {
                    *modified = present;
                    return Event::Reload;
                }
            }
        }
    }
}

fn modification(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|it| it.modified()).ok()
}

/// Reads the settings again; faulty ones leave the present ones in force.
fn reload(handle: &Handle, file: &Path) {
    match read(file) {
        Ok(Front::Platform(settings)) => {
            handle.reload(*settings);
            log::info!(file:% = file.display(); "settings reloaded");
        }
        Ok(Front::Own(_)) => log::error!("settings of another kind of node are ignored until the next start"),
        Err(err) => log::error!(error:% = err; "settings not reloaded"),
    }
}
