//! Process of an entry host.

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
        Err(errors) => {
            for error in errors {
                eprintln!("{}: {error}", flags.settings.display());
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

/// Runs the host until SIGTERM or SIGINT and shuts it down gracefully.
///
/// A second signal ends the wait for running requests. The exit code reports a failure if a request
/// was cut or the host could not start.
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
    let second_signal = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let shutdown = host.shutdown(second_signal).await;
    Ok(if shutdown.cut_requests == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
