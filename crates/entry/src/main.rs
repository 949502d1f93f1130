//! The entry host's process.

use std::{path::PathBuf, process::ExitCode};

use kingcupford_entry::{EntryHost, Settings};
use kingcupford_telemetry::{Event, LogSettings, init_logs};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    #![allow(missing_docs)]

    use super::PathBuf;

    xflags::xflags! {
        /// An entry host: answers lookups and forwards requests.
        cmd kingcupford-entry {
            /// YAML file with the settings; docs/settings.md lists every field.
            required --settings file: PathBuf
            /// Checks the settings and exits.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::KingcupfordEntry::from_env_or_exit();
    let settings = match Settings::load(&flags.settings) {
        Ok(it) => it,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", flags.settings.display());
            }
            return ExitCode::from(2);
        }
    };
    if flags.check {
        println!("{}: settings are valid", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("kingcupford-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the host until a signal ends it.
#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<ExitCode> {
    init_logs(&LogSettings { level: settings.log_level.clone(), source: settings.name.clone() })?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let host = match EntryHost::start(settings).await {
        Ok(it) => it,
        Err(error) => {
            Event::SettingsRejected.log(format_args!("{error:#}"));
            return Ok(ExitCode::FAILURE);
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let hurry = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let shutdown = host.shutdown(hurry).await;
    Ok(if shutdown.cut_requests == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
