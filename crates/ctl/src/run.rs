//! Parsing and dispatch of a command line.

use std::ffi::OsString;

use crate::{
    apply,
    console::{CommandError, Console},
    drain,
    exit::ExitStatus,
    flags::{
        DrainCmd, KeyCmd, KingcupfordCtl, KingcupfordCtlCmd as Cmd, PresetCmd, RolloutCmd,
        format_help,
    },
    keys, presets, rollout,
    session::Session,
    status,
};

/// Runs a command line and returns the status with which the process should exit.
///
/// `args` does not include the name of the program.
pub async fn run(args: Vec<OsString>, console: &mut Console) -> ExitStatus {
    let flags = match KingcupfordCtl::from_vec(args) {
        Ok(it) => it,
        Err(error) if error.is_help() => {
            console.print_line(format_help(&error.to_string()).trim_end());
            return ExitStatus::Done;
        }
        Err(error) => {
            let message = error.to_string();
            let hint = "kingcupford-ctl --help shows every command";
            return console.print_command_error(&CommandError::new(
                ExitStatus::Usage,
                message.trim(),
                hint,
            ));
        }
    };
    console.format = flags.format.unwrap_or_default();
    let session = match Session::new(&flags) {
        Ok(it) => it,
        Err(it) => return console.print_command_error(&it),
    };
    match dispatch(&session, flags.subcommand, console).await {
        Ok(it) => it,
        Err(it) => console.print_command_error(&it),
    }
}

async fn dispatch(
    session: &Session,
    command: Cmd,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    match command {
        Cmd::Plan(it) => apply::plan(session, console, &it.folder).await,
        Cmd::Apply(it) => apply::apply(session, console, &it).await,
        Cmd::Show(_) => apply::show(session, console).await,
        Cmd::Preset(it) => match it.subcommand {
            PresetCmd::PresetList(_) => presets::list(session, console).await,
            PresetCmd::PresetSwitch(it) => presets::switch(session, console, &it.name).await,
        },
        Cmd::Key(it) => match it.subcommand {
            KeyCmd::KeyIssue(it) => keys::issue(session, console, it).await,
            KeyCmd::KeyRevoke(it) => keys::revoke(session, console, &it.id).await,
            KeyCmd::KeyList(_) => keys::list(session, console).await,
        },
        Cmd::Rollout(it) => match it.subcommand {
            RolloutCmd::RolloutStart(it) => rollout::start(session, console, &it).await,
            RolloutCmd::RolloutWatch(it) => rollout::watch(session, console, it.service).await,
            RolloutCmd::RolloutRollback(it) => rollout::roll_back(session, console, &it).await,
            RolloutCmd::RolloutList(_) => rollout::list(session, console).await,
        },
        Cmd::Drain(it) => match it.subcommand {
            DrainCmd::DrainAdd(it) => {
                drain::edit(session, console, it.target, &it.name, true).await
            }
            DrainCmd::DrainRemove(it) => {
                drain::edit(session, console, it.target, &it.name, false).await
            }
            DrainCmd::DrainStatus(_) => drain::status(session, console).await,
        },
        Cmd::Status(_) => status::status(session, console).await,
        Cmd::Watch(it) => status::watch(session, console, it.every_s, it.count).await,
    }
}
